package admitter

import "slices"

// shares are the parts of the admissions that the ranks get while all of them
// wait. A weighted share instead of a strict order keeps the last rank from
// starving.
var shares = [...]float64{16, 4, 1}

// rank returns the place of a class: interactive requests, then plain ones,
// then long drafts.
func rank(class string) int {
	switch class {
	case "chat", "tag":
		return 0
	case "quote", "sheet":
		return 2
	default:
		return 1
	}
}

// waiter is one waiting request.
type waiter struct {
	account string
	weight  float64
	rank    int
	granted chan struct{}
	place   *place
}

// queue holds the waiting requests of a model. Ranks share it by their shares,
// the accounts of a rank by their weights (stride scheduling): each admission
// advances the pass of the rank and of the account by the inverse of its
// share, and the lowest pass comes first.
type queue struct {
	size  int
	pass  float64 // of the rank that was admitted last
	ranks [len(shares)]level
}

// level holds the waiting requests of one rank.
type level struct {
	size     int
	pass     float64
	latest   float64 // pass of the account that was admitted last
	accounts map[string]*backlog
}

// backlog holds the waiting requests of one account in order of arrival.
type backlog struct {
	pass    float64
	weight  float64
	waiters []*waiter
}

func newQueue() queue {
	var q queue
	for i := range q.ranks {
		q.ranks[i].accounts = map[string]*backlog{}
	}
	return q
}

// put appends a waiter. A rank or account that was idle starts at the present
// pass, so that it can't save up admissions.
func (q *queue) put(w *waiter) {
	l := &q.ranks[w.rank]
	if l.size == 0 {
		l.pass = max(l.pass, q.pass)
	}
	b := l.accounts[w.account]
	if b == nil {
		b = &backlog{}
		l.accounts[w.account] = b
	}
	if len(b.waiters) == 0 {
		b.pass = max(b.pass, l.latest)
	}
	b.weight = w.weight
	b.waiters = append(b.waiters, w)
	l.size++
	q.size++
}

// take removes the next waiter. The queue must not be empty.
func (q *queue) take() *waiter {
	var l *level
	best := 0
	for i := range q.ranks {
		if c := &q.ranks[i]; c.size > 0 && (l == nil || c.pass < l.pass) {
			l, best = c, i
		}
	}
	q.pass = l.pass
	l.pass += 1 / shares[best]
	var b *backlog
	name := ""
	for n, c := range l.accounts {
		if len(c.waiters) > 0 && (b == nil || c.pass < b.pass || c.pass == b.pass && n < name) {
			b, name = c, n
		}
	}
	l.latest = b.pass
	b.pass += 1 / b.weight
	w := b.waiters[0]
	b.waiters = slices.Delete(b.waiters, 0, 1)
	q.shrink(l)
	return w
}

// remove removes a waiter that gives up, and tells whether it still waited.
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
	q.shrink(l)
	return true
}

// shrink counts one waiter less and forgets idle accounts whose pass no longer
// matters.
func (q *queue) shrink(l *level) {
	l.size--
	q.size--
	for n, b := range l.accounts {
		if len(b.waiters) == 0 && b.pass <= l.latest {
			delete(l.accounts, n)
		}
	}
}

// length returns the number of waiters of the same account and rank.
func (q *queue) length(w *waiter) int {
	if b := q.ranks[w.rank].accounts[w.account]; b != nil {
		return len(b.waiters)
	}
	return 0
}

// ahead estimates how many waiters are admitted before w if it enters now.
func (q *queue) ahead(w *waiter) float64 {
	l := &q.ranks[w.rank]
	own := float64(q.length(w))
	inRank := own
	for n, b := range l.accounts {
		if n != w.account {
			inRank += min(float64(len(b.waiters)), (own+1)*b.weight/w.weight)
		}
	}
	sum := inRank
	for i := range q.ranks {
		if i != w.rank {
			sum += min(float64(q.ranks[i].size), (inRank+1)*shares[i]/shares[w.rank])
		}
	}
	return sum
}
