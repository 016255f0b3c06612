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

// defaultZoneCount is the number of zones assumed for the first grants if no
// configuration has listed the zones.
const defaultZoneCount = 3

// pool tracks the tokens of one account. The invariant is
// prepaid + topups = unassigned + sum of shares + refunded.
type pool struct {
	prepaid    int64
	topups     int64
	unassigned int64
	refunded   int64
	shares     []share // sorted by zone; added by the first grant to a zone
	stopped    bool    // set after an invariant violation
}

type share struct {
	zone   string
	amount int64
}

// share returns the share of a zone, or nil if the zone has none yet.
func (p *pool) share(zone string) *share {
	i, ok := p.searchShare(zone)
	if !ok {
		return nil
	}
	return &p.shares[i]
}

func (p *pool) searchShare(zone string) (int, bool) {
	return slices.BinarySearchFunc(p.shares, zone, func(s share, z string) int { return cmp.Compare(s.zone, z) })
}

func (p *pool) assigned() int64 {
	var sum int64
	for _, s := range p.shares {
		sum += s.amount
	}
	return sum
}

// isConsistent reports whether the pool satisfies its invariants.
func (p *pool) isConsistent() bool {
	if min(p.prepaid, p.topups, p.unassigned, p.refunded) < 0 || max(p.prepaid, p.topups, p.unassigned, p.refunded) > maxAccountTokens {
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

func (p *pool) toProto(account string) *wire.Pool {
	m := &wire.Pool{
		Account: account, Prepaid: p.prepaid, Topups: p.topups, Unassigned: p.unassigned,
		Refunded: p.refunded, Stopped: p.stopped, Zones: make(map[string]int64, len(p.shares)),
	}
	for _, s := range p.shares {
		m.Zones[s.zone] = s.amount
	}
	return m
}

// pool returns the pool of an account, or an error if the account is unknown
// or stopped.
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

// activePool is like pool, but fails if the current configuration doesn't
// contain the account.
func (s *state) activePool(account string) (*pool, error) {
	if _, ok := s.current.Account(account); !ok {
		return nil, eris.Wrapf(fault.Missing, "account %s", account)
	}
	return s.pool(account)
}

// verify stops the account if a command has violated its invariants. It then
// returns an error that wraps fault.Broken, so that no tokens are granted from
// an inconsistent pool.
func (s *state) verify(account string, p *pool, command fmt.Stringer) error {
	if p.isConsistent() {
		return nil
	}
	if !p.stopped {
		s.stopAccount(account, p, command)
	}
	return eris.Wrapf(fault.Broken, "account %s is stopped", account)
}

func (s *state) stopAccount(account string, p *pool, command fmt.Stringer) {
	p.stopped = true
	s.logger.Error("invariant violated, account stopped", zap.String("account", account),
		zap.Stringer("command", command), zap.Uint64("index", s.index), zap.Stringer("pool", p.toProto(account)))
}

// grant assigns unassigned tokens to a zone.
func (s *state) grant(m *wire.Grant) (proto.Message, error) {
	if m.Zone == "" || m.Need < 0 || m.Want < 0 {
		return nil, eris.Wrap(fault.Malformed, "grant requires a zone and non-negative amounts")
	}
	l, err := s.ledger(m.Zone, m.Epoch)
	if err != nil {
		return nil, err
	}
	r := l.findReceipts(m.Epoch)
	if known, ok := r.grants[m.Sequence]; ok {
		if known.account != m.Account {
			return nil, eris.Wrapf(fault.Conflict, "grant %d of zone %s was issued for account %s", m.Sequence, m.Zone, known.account)
		}
		return &wire.GrantResult{Amount: known.amount, Unassigned: known.unassigned, Sequence: m.Sequence}, nil
	}
	if m.Sequence <= r.grantFloor && r.grantFloor > 0 {
		return nil, eris.Wrapf(fault.Conflict, "grant %d of zone %s was already confirmed", m.Sequence, m.Zone)
	}
	if err := s.requireOpen(); err != nil {
		return nil, err
	}
	p, err := s.activePool(m.Account)
	if err != nil {
		return nil, err
	}
	amount := s.grantAmount(p, m)
	if p.share(m.Zone) == nil {
		i, _ := p.searchShare(m.Zone)
		if p.shares == nil {
			p.shares = make([]share, 0, len(s.zones)) // growing by append would take twice the memory
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

// grantAmount returns the amount of a grant. A zone gets what it wants up to
// half of the unassigned tokens, or all that it needs if that is more and
// available. The first grant to a zone is at least an equal share of half of
// the budget, if available.
func (s *state) grantAmount(p *pool, m *wire.Grant) int64 {
	amount := min(max(m.Want, m.Need), p.unassigned/2)
	if m.Need > amount && m.Need <= p.unassigned {
		amount = m.Need
	}
	if p.share(m.Zone) == nil && (len(s.zones) == 0 || slices.Contains(s.zones, m.Zone)) {
		zones := int64(len(s.zones))
		if zones == 0 {
			zones = defaultZoneCount
		}
		amount = max(amount, min(p.prepaid/2/zones, p.unassigned))
	}
	return amount
}

// release returns tokens of a zone to the unassigned tokens.
func (s *state) release(m *wire.Released) error {
	if m.Zone == "" || m.Amount <= 0 {
		return eris.Wrap(fault.Malformed, "release requires a zone and a positive amount")
	}
	if done, err := s.isDuplicateRelease(m); done || err != nil {
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
		s.stopAccount(m.Account, p, m)
		return eris.Wrapf(fault.Broken, "account %s: zone %s released more tokens than it holds", m.Account, m.Zone)
	}
	have.amount -= m.Amount
	p.unassigned += m.Amount
	r := l.receipts(m.Epoch)
	r.releases[m.Sequence] = receipt{account: m.Account, amount: m.Amount}
	r.confirm(0, m.Confirmed)
	return s.verify(m.Account, p, m)
}

// isDuplicateRelease reports whether a release was already applied, even under
// an epoch that has since been replaced.
func (s *state) isDuplicateRelease(m *wire.Released) (bool, error) {
	l := s.ledgers[m.Zone]
	if l == nil {
		return false, nil
	}
	r := l.findReceipts(m.Epoch)
	if known, ok := r.releases[m.Sequence]; ok {
		if known.account != m.Account || known.amount != m.Amount {
			return false, eris.Wrapf(fault.Conflict, "release %d of zone %s was for %d tokens of account %s", m.Sequence, m.Zone, known.amount, known.account)
		}
		return true, nil
	}
	return m.Sequence <= r.releaseFloor && r.releaseFloor > 0, nil
}
