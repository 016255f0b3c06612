package controller

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// defaultZones divides the first half of a budget if no configuration has
// named the zones.
const defaultZones = 3

// pool is the division of the tokens of one account. Always
// prepaid + topups = unassigned + assigned to zones + refunded.
type pool struct {
	prepaid    int64
	topups     int64
	unassigned int64
	refunded   int64
	shares     []share // by zone; a zone has one from its first grant on
	stopped    bool    // an invariant was violated
}

type share struct {
	zone   string
	amount int64
}

// share returns the share of a zone, or nil if it has none yet.
func (p *pool) share(zone string) *share {
	i, ok := p.search(zone)
	if !ok {
		return nil
	}
	return &p.shares[i]
}

func (p *pool) search(zone string) (int, bool) {
	return slices.BinarySearchFunc(p.shares, zone, func(s share, z string) int { return cmp.Compare(s.zone, z) })
}

func (p *pool) assigned() int64 {
	var sum int64
	for _, s := range p.shares {
		sum += s.amount
	}
	return sum
}

// isSound tells whether the pool keeps its invariants.
func (p *pool) isSound() bool {
	if min(p.prepaid, p.topups, p.unassigned, p.refunded) < 0 || max(p.prepaid, p.topups, p.unassigned, p.refunded) > maxTotal {
		return false
	}
	rest := p.prepaid + p.topups - p.unassigned - p.refunded
	for _, s := range p.shares {
		if s.amount < 0 || s.amount > rest {
			return false
		}
		rest -= s.amount
	}
	return rest == 0
}

func (p *pool) message(account string) *wire.Pool {
	m := &wire.Pool{
		Account: account, Prepaid: p.prepaid, Topups: p.topups, Unassigned: p.unassigned,
		Refunded: p.refunded, Stopped: p.stopped, Zones: make(map[string]int64, len(p.shares)),
	}
	for _, s := range p.shares {
		m.Zones[s.zone] = s.amount
	}
	return m
}

// pool returns the pool of an account that may get and give tokens.
func (s *state) pool(account string) (*pool, error) {
	p := s.pools[account]
	if p == nil {
		return nil, eris.Wrapf(fault.Missing, "account %s", account)
	}
	if p.stopped {
		return nil, eris.Wrapf(fault.Broken, "account %s is stopped", account)
	}
	return p, nil
}

// active is pool for an account that the configuration has not removed.
func (s *state) active(account string) (*pool, error) {
	if _, ok := s.current.Account(account); !ok {
		return nil, eris.Wrapf(fault.Missing, "account %s", account)
	}
	return s.pool(account)
}

// verify stops the account if its invariants are violated after a command. The
// error wraps fault.Broken, so that no rights are handed out from such books.
func (s *state) verify(account string, p *pool, command fmt.Stringer) error {
	if p.isSound() {
		return nil
	}
	if !p.stopped {
		s.stop(account, p, command)
	}
	return eris.Wrapf(fault.Broken, "account %s is stopped", account)
}

func (s *state) stop(account string, p *pool, command fmt.Stringer) {
	p.stopped = true
	s.logger.Error("Invariant violated, account stopped.", zap.String("account", account),
		zap.Stringer("command", command), zap.Uint64("index", s.index), zap.Stringer("pool", p.message(account)))
}

// grant moves unassigned tokens to a zone.
func (s *state) grant(m *wire.Grant) (proto.Message, error) {
	if m.Zone == "" || m.Need < 0 || m.Want < 0 {
		return nil, eris.Wrap(fault.Malformed, "grant without a zone or with a negative amount")
	}
	l, err := s.ledger(m.Zone, m.Epoch)
	if err != nil {
		return nil, err
	}
	r := l.known(m.Epoch)
	if known, ok := r.grants[m.Sequence]; ok {
		if known.account != m.Account {
			return nil, eris.Wrapf(fault.Conflict, "grant %d of zone %s was for account %s", m.Sequence, m.Zone, known.account)
		}
		return &wire.GrantResult{Amount: known.amount, Unassigned: known.unassigned, Sequence: m.Sequence}, nil
	}
	if m.Sequence <= r.grantFloor && r.grantFloor > 0 {
		return nil, eris.Wrapf(fault.Conflict, "grant %d of zone %s was confirmed", m.Sequence, m.Zone)
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	p, err := s.active(m.Account)
	if err != nil {
		return nil, err
	}
	amount := s.portion(p, m)
	if p.share(m.Zone) == nil {
		i, _ := p.search(m.Zone)
		if p.shares == nil {
			p.shares = make([]share, 0, len(s.zones)) // growing step by step takes twice the memory
		}
		p.shares = slices.Insert(p.shares, i, share{zone: s.intern(m.Zone)})
	}
	p.share(m.Zone).amount += amount
	p.unassigned -= amount
	s.ledgers[m.Zone] = l
	if err := s.verify(m.Account, p, m); err != nil {
		return nil, err
	}
	l.receipts(m.Epoch).grants[m.Sequence] = receipt{account: m.Account, amount: amount, unassigned: p.unassigned}
	l.receipts(m.Epoch).confirm(m.Confirmed, 0)
	return &wire.GrantResult{Amount: amount, Unassigned: p.unassigned, Sequence: m.Sequence}, nil
}

// portion returns the amount of a grant. The first grant of a zone is at
// least its equal part of half of the budget. On demand a zone gets what it
// wants up to half of the unassigned tokens, or all that it needs if that is
// more and available.
func (s *state) portion(p *pool, m *wire.Grant) int64 {
	amount := min(max(m.Want, m.Need), p.unassigned/2)
	if m.Need > amount && m.Need <= p.unassigned {
		amount = m.Need
	}
	if p.share(m.Zone) == nil && (len(s.zones) == 0 || slices.Contains(s.zones, m.Zone)) {
		zones := int64(len(s.zones))
		if zones == 0 {
			zones = defaultZones
		}
		amount = max(amount, min(p.prepaid/2/zones, p.unassigned))
	}
	return amount
}

// release moves rights of a zone back to the unassigned tokens.
func (s *state) release(m *wire.Released) error {
	if m.Zone == "" || m.Amount <= 0 {
		return eris.Wrap(fault.Malformed, "release without a zone or an amount above 0")
	}
	if done, err := s.isReleased(m); done || err != nil {
		return err
	}
	l, err := s.ledger(m.Zone, m.Epoch)
	if err != nil {
		return err
	}
	if s.phase == Closed {
		return eris.Wrap(fault.Closed, "the venture is closed")
	}
	p, err := s.pool(m.Account)
	if err != nil {
		return err
	}
	have := p.share(m.Zone)
	if have == nil || have.amount < m.Amount {
		s.stop(m.Account, p, m)
		return eris.Wrapf(fault.Broken, "account %s: zone %s releases more than it was granted", m.Account, m.Zone)
	}
	have.amount -= m.Amount
	p.unassigned += m.Amount
	r := l.receipts(m.Epoch)
	r.releases[m.Sequence] = receipt{account: m.Account, amount: m.Amount}
	r.confirm(0, m.Confirmed)
	return s.verify(m.Account, p, m)
}

// isReleased tells whether a release was applied before, also under an epoch
// that has been replaced.
func (s *state) isReleased(m *wire.Released) (bool, error) {
	l := s.ledgers[m.Zone]
	if l == nil {
		return false, nil
	}
	r := l.known(m.Epoch)
	if known, ok := r.releases[m.Sequence]; ok {
		if known.account != m.Account || known.amount != m.Amount {
			return false, eris.Wrapf(fault.Conflict, "release %d of zone %s was %d tokens of account %s", m.Sequence, m.Zone, known.amount, known.account)
		}
		return true, nil
	}
	return m.Sequence <= r.releaseFloor && r.releaseFloor > 0, nil
}
