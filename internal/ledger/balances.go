package ledger

import (
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// windowSize is the number of recent sequences kept to tell reordered calls
// from duplicates.
const windowSize = 16

// balances are the amounts of one account in tokens. Amounts may be negative if
// the value is a change.
type balances struct {
	granted, free, allowances, billed, released, stranded int64
	requests                                              int64
}

func (b balances) plus(d balances) balances {
	return balances{
		granted:    b.granted + d.granted,
		free:       b.free + d.free,
		allowances: b.allowances + d.allowances,
		billed:     b.billed + d.billed,
		released:   b.released + d.released,
		stranded:   b.stranded + d.stranded,
		requests:   b.requests + d.requests,
	}
}

func (b balances) valid() bool {
	return b.free >= 0 && b.allowances >= 0 && b.billed >= 0 && b.released >= 0 && b.stranded >= 0 && b.requests >= 0 &&
		b.granted == b.free+b.allowances+b.billed+b.released+b.stranded
}

// account is the state of one account.
type account struct {
	balances
	name       string
	grants     window
	identities map[string]*entry
	bills      []*entry // in record order
	stopped    bool
	// recovering is set from BeginEpoch until FreeStranded. Meanwhile the
	// tokens of a cancelled bill are stranded, since the lost epoch may have
	// cancelled it and spent them too.
	recovering bool
	aligned    bool // Align has been called in this epoch
}

// instance is the state of one entry instance.
type instance struct {
	fenced       uint64 // incarnations up to this one are fenced
	incarnations map[uint64]map[string]*allowance
}

// allowance is the amount that one incarnation may still bill to one account.
type allowance struct {
	amount  int64
	returns window
}

// window holds the most recent sequences in increasing order.
type window []uint64

// has reports whether the sequence was seen. Sequences below a full window
// count as seen.
func (w window) has(sequence uint64) bool {
	i, found := slices.BinarySearch(w, sequence)
	return found || (i == 0 && len(w) == windowSize)
}

func (w *window) add(sequence uint64) {
	i, found := slices.BinarySearch(*w, sequence)
	if found {
		return
	}
	*w = slices.Insert(*w, i, sequence)
	if len(*w) > windowSize {
		*w = slices.Delete(*w, 0, 1)
	}
}

// account returns the state of an account and creates it if needed.
func (l *Ledger) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// activeAccount returns the account, or fault.Broken if it is stopped. For an
// unknown account it returns an empty one without storing it.
func (l *Ledger) activeAccount(name string) (*account, error) {
	a, ok := l.accounts[name]
	if !ok {
		return &account{name: name}, nil
	}
	if a.stopped {
		return a, eris.Wrapf(fault.Broken, "account %s is stopped", name)
	}
	return a, nil
}

// post changes the balances of an account, or stops the account if the result
// would violate an invariant.
func (l *Ledger) post(a *account, change balances, cause kind) error {
	next := a.plus(change)
	if !a.stopped && next.valid() {
		a.balances = next
		return nil
	}
	return l.stopAccount(a, change, cause)
}

// stopAccount rejects the change and all later changes of the account. The stop
// is stored after the records of the current call, which may contain earlier
// changes of the account.
func (l *Ledger) stopAccount(a *account, change balances, cause kind) error {
	if l.markStopped(a) {
		l.unstoredStops = append(l.unstoredStops, a.name)
	}
	l.violations.Add(1)
	l.cfg.Logger.Error("invariant violated, account stopped", zap.String("account", a.name),
		zap.Stringer("record", cause), zap.Any("books", amounts(a.balances)), zap.Any("change", amounts(change)))
	return eris.Wrapf(fault.Broken, "account %s is stopped", a.name)
}

// markStopped marks an account as stopped and reports whether it was active.
func (l *Ledger) markStopped(a *account) bool {
	if a.stopped {
		return false
	}
	a.stopped = true
	l.stoppedAccounts = append(l.stoppedAccounts, a.name)
	return true
}

func amounts(b balances) map[string]int64 {
	return map[string]int64{
		"granted": b.granted, "free": b.free, "allowances": b.allowances, "billed": b.billed,
		"released": b.released, "stranded": b.stranded, "requests": b.requests,
	}
}

func (l *Ledger) instance(name string) *instance {
	i, ok := l.instances[name]
	if !ok {
		i = &instance{incarnations: map[uint64]map[string]*allowance{}}
		l.instances[name] = i
	}
	return i
}

// allowance returns the allowance of an incarnation for an account, or nil.
func (l *Ledger) allowance(name string, incarnation uint64, account string) *allowance {
	if i, ok := l.instances[name]; ok {
		return i.incarnations[incarnation][account]
	}
	return nil
}

// ensureAllowance returns the allowance of an incarnation and creates it if
// needed.
func (l *Ledger) ensureAllowance(name string, incarnation uint64, account string) *allowance {
	i := l.instance(name)
	held, ok := i.incarnations[incarnation]
	if !ok {
		held = map[string]*allowance{}
		i.incarnations[incarnation] = held
	}
	al, ok := held[account]
	if !ok {
		al = &allowance{}
		held[account] = al
	}
	return al
}

func (l *Ledger) fenced(name string, incarnation uint64) bool {
	i, ok := l.instances[name]
	return ok && incarnation <= i.fenced
}
