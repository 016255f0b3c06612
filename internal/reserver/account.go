package reserver

import (
	"time"

	"github.com/papayapond/papayapond/internal/counter"
	"github.com/papayapond/papayapond/internal/wire"
)

// source identifies the ledger and the incarnation of an allowance.
type source struct {
	holder      string
	instance    string
	incarnation uint64
	epoch       uint64
}

func (s source) holding() *wire.Holding {
	return &wire.Holding{Instance: s.instance, Incarnation: s.incarnation}
}

// allowance is the right to spend that one ledger gave to this instance for
// one account. It is protected by the mutex of the account's shard.
type allowance struct {
	source
	free     int64 // tokens that can be reserved
	reserved int64 // tokens of open tickets
	doubt    int64 // tokens of bills that were sent and have no outcome
	used     time.Time
	void     bool // the ledger refuses bills on it
}

// give ends a reservation of the given size and makes a part of it free.
func (l *allowance) give(reserved, free int64) {
	l.reserved -= reserved
	if !l.void {
		l.free += free
	}
}

// account is protected by the mutex of its shard.
type account struct {
	name       string
	shard      *shard
	index      uint64
	allowances []*allowance
	demand     counter.Counter // tokens reserved
	waiters    []*waiter
	drawing    bool
	early      time.Time            // no draw ahead of time before
	unsure     map[string]time.Time // holders whose last reply was lost, not asked for it before
}

// take reserves from the first allowance that has enough, without those of
// holders to be avoided: they couldn't settle the bill. The nearest holder
// comes first, because draws are made there first.
func (a *account) take(amount int64, now time.Time, avoided func(holder string) bool) (uint64, bool) {
	for _, l := range a.allowances {
		if !l.void && l.free >= amount && !avoided(l.holder) {
			l.free -= amount
			l.reserved += amount
			l.used = now
			s := a.shard
			s.last++
			id := s.last<<shardBits | a.index
			s.tickets[id] = ticket{account: a, allowance: l, amount: amount}
			return id, true
		}
	}
	return 0, false
}

// drop voids the allowances of earlier incarnations. Their ledgers have
// fenced them or will do so.
func (a *account) drop(h *wire.Holding) {
	for _, l := range a.allowances {
		if !l.void && (l.incarnation != h.Incarnation || l.instance != h.Instance) {
			l.void, l.free = true, 0
			clear(a.unsure)
		}
	}
}

// credit adds drawn tokens. An allowance of an older epoch of the same holder
// becomes void, since a ledger accepts bills of its current epoch only.
func (a *account) credit(s source, amount int64, now time.Time) {
	for _, l := range a.allowances {
		if l.source == s && !l.void {
			l.free += amount
			l.used = now
			return
		}
		if l.holder == s.holder && l.epoch < s.epoch {
			l.void, l.free = true, 0
		}
	}
	a.allowances = append(a.allowances, &allowance{source: s, free: amount, used: now})
}

// free returns the tokens that can be reserved, in all allowances or in those
// of one holder.
func (a *account) free(holder string) int64 {
	var sum int64
	for _, l := range a.allowances {
		if holder == "" || l.holder == holder {
			sum += l.free
		}
	}
	return sum
}

// known returns the latest epoch in which the incarnation has allowances of
// the holder, and what it may still bill, cancel or have billed on them.
func (a *account) known(holder string, h *wire.Holding) (epoch uint64, sum int64) {
	for _, l := range a.allowances {
		if l.holder != holder || l.instance != h.Instance || l.incarnation != h.Incarnation || l.epoch < epoch {
			continue
		}
		if l.epoch > epoch {
			epoch, sum = l.epoch, 0
		}
		sum += l.free + l.reserved + l.doubt
	}
	return epoch, sum
}

// prune removes allowances without tokens or tickets that were not used since
// the given time, and tells whether the account can be forgotten. Tokens in
// doubt are remembered, since a later draw would take them for its own.
func (a *account) prune(since time.Time) bool {
	kept := a.allowances[:0]
	for _, l := range a.allowances {
		if l.reserved > 0 || !l.void && (l.free > 0 || l.doubt > 0 || l.used.After(since)) {
			kept = append(kept, l)
		}
	}
	clear(a.allowances[len(kept):])
	a.allowances = kept
	return len(kept) == 0 && len(a.waiters) == 0 && len(a.unsure) == 0 && !a.drawing
}
