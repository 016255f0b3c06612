package ledger

import (
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// windowSize is the number of latest sequences that are remembered, so that
// calls that overtake each other are still told from duplicates.
const windowSize = 16

// books are the amounts of one account in tokens. As a change, amounts may be
// negative.
type books struct {
	granted, free, allowances, billed, released, stranded int64
	requests                                              int64
}

func (b books) plus(d books) books {
	return books{
		granted:    b.granted + d.granted,
		free:       b.free + d.free,
		allowances: b.allowances + d.allowances,
		billed:     b.billed + d.billed,
		released:   b.released + d.released,
		stranded:   b.stranded + d.stranded,
		requests:   b.requests + d.requests,
	}
}

func (b books) valid() bool {
	return b.free >= 0 && b.allowances >= 0 && b.billed >= 0 && b.released >= 0 && b.stranded >= 0 && b.requests >= 0 &&
		b.granted == b.free+b.allowances+b.billed+b.released+b.stranded
}

// account is the state of one account.
type account struct {
	books
	name       string
	grants     window
	identities map[string]*entry
	bills      []*entry // in the order of their records
	broken     bool
	// recovering is set from Begin until Free. Meanwhile the tokens of a
	// cancelled bill are stranded, since the lost epoch may have cancelled it
	// too and spent them.
	recovering bool
	aligned    bool // Align has been called in this epoch
}

// instance is the state of one entry instance.
type instance struct {
	fenced       uint64 // incarnations up to this one are fenced
	incarnations map[uint64]map[string]*allowance
}

// allowance is what one incarnation may still bill to one account.
type allowance struct {
	amount  int64
	returns window
}

// window holds the latest sequences in increasing order.
type window []uint64

// has reports whether the sequence was seen. Sequences before a full window
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

// account returns the state of an account, which is created if needed.
func (l *Ledger) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// usable returns the account, or fault.Broken if it has been stopped. An
// unknown account is empty and not kept.
func (l *Ledger) usable(name string) (*account, error) {
	a, ok := l.accounts[name]
	if !ok {
		return &account{name: name}, nil
	}
	if a.broken {
		return a, eris.Wrapf(fault.Broken, "account %s", name)
	}
	return a, nil
}

// post changes the amounts of an account, or stops it if the result would
// violate an invariant.
func (l *Ledger) post(a *account, change books, cause kind) error {
	next := a.plus(change)
	if !a.broken && next.valid() {
		a.books = next
		return nil
	}
	return l.stop(a, change, cause)
}

// stop refuses a change and all later ones of the account. Its record is stored
// after those of the call, which may have made earlier changes of the account.
func (l *Ledger) stop(a *account, change books, cause kind) error {
	if l.mark(a) {
		l.stops = append(l.stops, a.name)
	}
	l.violations.Add(1)
	l.cfg.Logger.Error("Invariant violated, account stopped.", zap.String("account", a.name),
		zap.Stringer("record", cause), zap.Any("books", fields(a.books)), zap.Any("change", fields(change)))
	return eris.Wrapf(fault.Broken, "account %s", a.name)
}

// mark marks an account as stopped and tells whether it wasn't yet.
func (l *Ledger) mark(a *account) bool {
	if a.broken {
		return false
	}
	a.broken = true
	l.stopped = append(l.stopped, a.name)
	return true
}

func fields(b books) map[string]int64 {
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

// holding returns the allowance of an incarnation for an account, or nil.
func (l *Ledger) holding(name string, incarnation uint64, account string) *allowance {
	if i, ok := l.instances[name]; ok {
		return i.incarnations[incarnation][account]
	}
	return nil
}

// issue returns the allowance of an incarnation, which is created if needed.
func (l *Ledger) issue(name string, incarnation uint64, account string) *allowance {
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
