package reserver

import (
	"time"

	"github.com/papayapond/papayapond/internal/counter"
	"github.com/papayapond/papayapond/internal/wire"
)

// source identifies the ledger, incarnation and epoch of an allowance.
type source struct {
	holder      string
	instance    string
	incarnation uint64
	epoch       uint64
}

func (s source) holding() *wire.Holding {
	return &wire.Holding{Instance: s.instance, Incarnation: s.incarnation}
}

// allowance holds the tokens that one ledger has allotted to this instance for
// one account. It is protected by the mutex of the account's shard.
type allowance struct {
	source
	free      int64 // tokens that can be reserved
	reserved  int64 // tokens of open reservations
	uncertain int64 // tokens of bills that were sent and have no known outcome
	lastUsed  time.Time
	revoked   bool // the ledger no longer accepts bills on it
}

// release ends a reservation of the given size and frees part of its tokens.
func (l *allowance) release(reserved, free int64) {
	l.reserved -= reserved
	if !l.revoked {
		l.free += free
	}
}

// account is protected by the mutex of its shard.
type account struct {
	name          string
	shard         *shard
	index         uint64
	allowances    []*allowance
	demand        counter.Counter // tokens reserved
	waiters       []*waiter
	drawing       bool
	prefetchAfter time.Time            // no draw ahead of demand before this time
	lostReplies   map[string]time.Time // holders whose last reply was lost, and when to ask them again
}

// reserve takes tokens from the first allowance that has enough. It skips
// holders in backoff, which couldn't settle the bill. Allowances of the nearest
// holder come first, because draws start there.
func (a *account) reserve(amount int64, now time.Time, inBackoff func(holder string) bool) (uint64, bool) {
	for _, l := range a.allowances {
		if !l.revoked && l.free >= amount && !inBackoff(l.holder) {
			l.free -= amount
			l.reserved += amount
			l.lastUsed = now
			s := a.shard
			s.lastID++
			id := s.lastID<<shardBits | a.index
			s.reservations[id] = reservation{account: a, allowance: l, amount: amount}
			return id, true
		}
	}
	return 0, false
}

// revokeStale revokes the allowances of earlier incarnations, which their
// ledgers have fenced or will fence.
func (a *account) revokeStale(h *wire.Holding) {
	for _, l := range a.allowances {
		if !l.revoked && (l.incarnation != h.Incarnation || l.instance != h.Instance) {
			l.revoked, l.free = true, 0
			clear(a.lostReplies)
		}
	}
}

// credit adds drawn tokens. It revokes allowances of an older epoch of the same
// holder, since a ledger accepts only bills of its current epoch.
func (a *account) credit(s source, amount int64, now time.Time) {
	for _, l := range a.allowances {
		if l.source == s && !l.revoked {
			l.free += amount
			l.lastUsed = now
			return
		}
		if l.holder == s.holder && l.epoch < s.epoch {
			l.revoked, l.free = true, 0
		}
	}
	a.allowances = append(a.allowances, &allowance{source: s, free: amount, lastUsed: now})
}

// free returns the tokens that can be reserved from one holder's allowances, or
// from all if holder is empty.
func (a *account) free(holder string) int64 {
	var sum int64
	for _, l := range a.allowances {
		if holder == "" || l.holder == holder {
			sum += l.free
		}
	}
	return sum
}

// accounted returns the latest epoch in which the incarnation has allowances of
// the holder, and the tokens of these allowances that aren't known to be billed
// or returned.
func (a *account) accounted(holder string, h *wire.Holding) (epoch uint64, sum int64) {
	for _, l := range a.allowances {
		if l.holder != holder || l.instance != h.Instance || l.incarnation != h.Incarnation || l.epoch < epoch {
			continue
		}
		if l.epoch > epoch {
			epoch, sum = l.epoch, 0
		}
		sum += l.free + l.reserved + l.uncertain
	}
	return epoch, sum
}

// prune removes allowances that have no tokens and no reservations and weren't
// used after since. It reports whether the account can be removed. Allowances
// with uncertain tokens are kept, since a later draw would take these tokens
// for lost ones.
func (a *account) prune(since time.Time) bool {
	kept := a.allowances[:0]
	for _, l := range a.allowances {
		if l.reserved > 0 || !l.revoked && (l.free > 0 || l.uncertain > 0 || l.lastUsed.After(since)) {
			kept = append(kept, l)
		}
	}
	clear(a.allowances[len(kept):])
	a.allowances = kept
	return len(kept) == 0 && len(a.waiters) == 0 && len(a.lostReplies) == 0 && !a.drawing
}
