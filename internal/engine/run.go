package engine

import (
	"container/heap"

	"github.com/papayapond/papayapond/internal/completion"
)

// state of a run.
type state int

const (
	active state = iota
	finished
	cancelled
)

// run is one request in the engine. The engine's lock guards the fields below
// the blank line.
type run struct {
	id       string
	model    string
	prompt   int // tokens
	blocks   []uint64
	priority int
	arrival  uint64
	answer   completion.Completion
	limit    int // max_tokens
	hang     int // stops after this many tokens; -1 is never

	cached  int
	left    int // prompt tokens to prefill
	step    int // prompt tokens that the present step prefills
	done    int // tokens of the answer
	state   state
	readers int
	changed chan struct{} // closed at each change
}

// stuck reports whether the run hangs on purpose.
func (r *run) stuck() bool { return r.hang >= 0 && r.done >= r.hang }

// signal wakes all readers of the run.
func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// queue holds the waiting runs. A lower priority value runs earlier; equal
// values run in the order of their arrival.
type queue struct{ runs runs }

func (q *queue) size() int  { return len(q.runs) }
func (q *queue) put(r *run) { heap.Push(&q.runs, r) }
func (q *queue) take() *run { return heap.Pop(&q.runs).(*run) }

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
