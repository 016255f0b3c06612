package admitter

import "slices"

// rankWeights are the weights of the ranks while all of them have queued
// requests. Weights instead of strict priorities keep the last rank from
// starving.
var rankWeights = [...]float64{16, 4, 1}

// rankOf returns the rank of a class: interactive requests first, then plain
// ones, then long drafts.
func rankOf(class string) int {
	switch class {
	case "chat", "tag":
		return 0
	case "quote", "sheet":
		return 2
	default:
		return 1
	}
}

// waiter is a queued request.
type waiter struct {
	account   string
	weight    float64
	rank      int
	granted   chan struct{}
	admission *admission
}

// queue holds the queued requests of a model. It uses stride scheduling between
// ranks by weight, and between the accounts of a rank by weight: each admission
// advances the pass of the rank and of the account by the inverse of its
// weight, and the lowest pass goes first.
type queue struct {
	size  int
	pass  float64 // of the last admitted rank
	ranks [len(rankWeights)]rankQueue
}

// rankQueue holds the queued requests of one rank.
type rankQueue struct {
	size     int
	pass     float64
	lastPass float64 // pass of the last admitted account
	accounts map[string]*accountQueue
}

// accountQueue holds the queued requests of one account in order of arrival.
type accountQueue struct {
	pass    float64
	weight  float64
	waiters []*waiter
}

func newQueue() queue {
	var q queue
	for i := range q.ranks {
		q.ranks[i].accounts = map[string]*accountQueue{}
	}
	return q
}

// push appends a waiter. A rank or account that was idle starts at the current
// pass, so that it can't accumulate credit.
func (q *queue) push(w *waiter) {
	l := &q.ranks[w.rank]
	if l.size == 0 {
		l.pass = max(l.pass, q.pass)
	}
	b := l.accounts[w.account]
	if b == nil {
		b = &accountQueue{}
		l.accounts[w.account] = b
	}
	if len(b.waiters) == 0 {
		b.pass = max(b.pass, l.lastPass)
	}
	b.weight = w.weight
	b.waiters = append(b.waiters, w)
	l.size++
	q.size++
}

// pop removes and returns the next waiter. The queue must not be empty.
func (q *queue) pop() *waiter {
	var l *rankQueue
	best := 0
	for i := range q.ranks {
		if c := &q.ranks[i]; c.size > 0 && (l == nil || c.pass < l.pass) {
			l, best = c, i
		}
	}
	q.pass = l.pass
	l.pass += 1 / rankWeights[best]
	var b *accountQueue
	name := ""
	for n, c := range l.accounts {
		if len(c.waiters) > 0 && (b == nil || c.pass < b.pass || c.pass == b.pass && n < name) {
			b, name = c, n
		}
	}
	l.lastPass = b.pass
	b.pass += 1 / b.weight
	w := b.waiters[0]
	b.waiters = slices.Delete(b.waiters, 0, 1)
	q.removed(l)
	return w
}

// remove removes a waiter and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	l := &q.ranks[w.rank]
	b := l.accounts[w.account]
	if b == nil {
		return false
	}
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	q.removed(l)
	return true
}

// removed updates the sizes after a waiter was removed, and deletes idle
// accounts whose pass no longer matters.
func (q *queue) removed(l *rankQueue) {
	l.size--
	q.size--
	for n, b := range l.accounts {
		if len(b.waiters) == 0 && b.pass <= l.lastPass {
			delete(l.accounts, n)
		}
	}
}

// accountLength returns the number of waiters with the same account and rank as
// w.
func (q *queue) accountLength(w *waiter) int {
	if b := q.ranks[w.rank].accounts[w.account]; b != nil {
		return len(b.waiters)
	}
	return 0
}

// ahead estimates how many waiters would be admitted before w if it were queued
// now.
func (q *queue) ahead(w *waiter) float64 {
	l := &q.ranks[w.rank]
	own := float64(q.accountLength(w))
	inRank := own
	for n, b := range l.accounts {
		if n != w.account {
			inRank += min(float64(len(b.waiters)), (own+1)*b.weight/w.weight)
		}
	}
	sum := inRank
	for i := range q.ranks {
		if i != w.rank {
			sum += min(float64(q.ranks[i].size), (inRank+1)*rankWeights[i]/rankWeights[w.rank])
		}
	}
	return sum
}
