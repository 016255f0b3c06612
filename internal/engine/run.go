package engine

import (
	"container/heap"

	"github.com/papayapond/papayapond/internal/completion"
)

// state is the state of a run.
type state int

const (
	active state = iota
	finished
	cancelled
)

// run is the execution of one request. The mutex of the engine guards the fields
// below the blank line.
type run struct {
	id         string
	model      string
	prompt     int // tokens
	blocks     []uint64
	priority   int
	arrival    uint64
	completion completion.Completion
	maxTokens  int
	hangAfter  int // number of tokens; -1 is never

	cached      int
	prefillLeft int // prompt tokens to prefill
	stepPrefill int // prompt tokens prefilled by the current step
	output      int // generated tokens
	state       state
	readers     int
	changed     chan struct{} // closed and replaced at each change
}

// hung reports whether the injected fault "hang" has stopped the run.
func (r *run) hung() bool { return r.hangAfter >= 0 && r.output >= r.hangAfter }

// notify wakes all readers of the run.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// queue is a priority queue of waiting runs. Lower priority values run first;
// equal values run in order of arrival.
type queue struct{ runs runs }

func (q *queue) size() int   { return len(q.runs) }
func (q *queue) push(r *run) { heap.Push(&q.runs, r) }
func (q *queue) pop() *run   { return heap.Pop(&q.runs).(*run) }

func (q *queue) remove(r *run) {
	for i, o := range q.runs {
		if o == r {
			heap.Remove(&q.runs, i)
			return
		}
	}
}

// runs implements heap.Interface.
type runs []*run

func (s runs) Len() int { return len(s) }
func (s runs) Less(i, j int) bool {
	if s[i].priority != s[j].priority {
		return s[i].priority < s[j].priority
	}
	return s[i].arrival < s[j].arrival
}

func (s runs) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push appends a run.
func (s *runs) Push(x any) { *s = append(*s, x.(*run)) }

// Pop removes the last run.
func (s *runs) Pop() any {
	old := *s
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	return r
}
