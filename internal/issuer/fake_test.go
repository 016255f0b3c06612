package issuer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/controller"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// late bounds the time from the end of a connection to the arrival of its
// bytes. Quiet covers it for targets that ignore fencing numbers.
const late = DefaultQuietPeriod - DefaultTimeout - 500*time.Millisecond

// world is a log with members that lag behind it, and targets behind a
// network that delays, loses and delivers late.
type world struct {
	t *testing.T

	mu      sync.Mutex
	rng     *rand.Rand
	calm    bool // no more faults
	leader  int
	term    uint64
	log     [][]byte
	members []*member
	targets map[string]*fakeTarget
	loads   []time.Time
}

type member struct {
	*controller.Controller
	applied int
	term    uint64 // as the member knows it, 0 if it doesn't lead
}

type fakeTarget struct {
	announced *wire.Target
	models    []string
	obeyed    []uint64
	seen      uint64
	open      int
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), term: 1, targets: map[string]*fakeTarget{}}
	for range 3 {
		w.members = append(w.members, &member{Controller: controller.New(controller.Config{Leader: func() string { return "" }})})
	}
	w.members[0].term = 1
	return w
}

// chance is false once the faults have ended.
func (w *world) chance(p float64) bool { return !w.calm && w.rng.Float64() < p }

func (w *world) delay(longest time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calm {
		return time.Millisecond
	}
	return time.Duration(w.rng.Int64N(int64(longest)))
}

// elect makes another member the leader. The old one notices later.
func (w *world) elect(ctx context.Context) {
	lag := w.delay(2 * time.Second)
	w.mu.Lock()
	old := w.members[w.leader]
	w.term++
	w.leader = w.rng.IntN(len(w.members))
	w.members[w.leader].term = w.term
	term := w.term
	w.mu.Unlock()
	go func() {
		pause(ctx, lag)
		w.mu.Lock()
		defer w.mu.Unlock()
		if old.term < term {
			old.term = 0
		}
	}()
}

func (w *world) catchUp(m *member, position int) {
	for ; m.applied < position; m.applied++ {
		m.Apply(uint64(m.applied+1), w.log[m.applied])
	}
}

func (w *world) commit(m *member, command *wire.Command) error {
	command = proto.CloneOf(command)
	command.Time = time.Now().UnixNano()
	b, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	w.log = append(w.log, b)
	w.catchUp(m, len(w.log)-1)
	var reply wire.ProposeReply
	if err := proto.Unmarshal(m.Apply(uint64(len(w.log)), b), &reply); err != nil {
		return err
	}
	m.applied = len(w.log)
	if reply.Fault != nil {
		return fault.Parse(reply.Fault.Code)
	}
	return nil
}

func (w *world) issuer(n int) *Issuer {
	m := w.members[n]
	locked := func(f func() error) error {
		w.mu.Lock()
		defer w.mu.Unlock()
		return f()
	}
	leads := func(f func() error) error {
		return locked(func() error {
			if w.leader != n || w.chance(0.1) {
				return fault.Isolated
			}
			return f()
		})
	}
	return New(Config{
		Term: func() (term uint64) {
			_ = locked(func() error { term = m.term; return nil })
			return term
		},
		Orders: func(ctx context.Context) ([]*wire.OrderState, error) {
			_ = locked(func() error { w.catchUp(m, m.applied+w.rng.IntN(len(w.log)-m.applied+1)); return nil })
			reply, err := m.Read(ctx, &wire.ReadRequest{Stale: true, Orders: true})
			return reply.GetOrders(), err
		},
		Barrier: func(context.Context) error {
			return leads(func() error { w.catchUp(m, len(w.log)); return nil })
		},
		Propose: func(ctx context.Context, command *wire.Command) error {
			pause(ctx, w.delay(400*time.Millisecond))
			err := leads(func() error { return w.commit(m, command) })
			pause(ctx, w.delay(400*time.Millisecond))
			if w.delay(time.Second) > 900*time.Millisecond {
				return fault.Isolated // committed, but the result is lost
			}
			return err
		},
		Targets: func() []*wire.Target {
			w.mu.Lock()
			defer w.mu.Unlock()
			var all []*wire.Target
			for _, t := range w.targets {
				all = append(all, t.announced)
			}
			return all
		},
		Send: w.send,
	})
}

// announce publishes the state of all targets.
func (w *world) announce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		t.announced = proto.CloneOf(t.announced)
		t.announced.Models = slices.Clone(t.models)
	}
}

func (w *world) send(ctx context.Context, address string, body []byte) (int, []byte, error) {
	var o struct {
		Verb, Subject string
		Fence         uint64
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return 0, nil, err
	}
	t := w.targets[address]
	w.mu.Lock()
	if t.open++; t.open > 1 && !t.announced.Fencing {
		w.t.Errorf("two open orders to %s", address)
	}
	if o.Verb == Load {
		w.loads = append(w.loads, time.Now())
	}
	isLost, isUnanswered, isLate := w.chance(0.2), w.chance(0.3), w.chance(0.2)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		t.open--
	}()
	if isLate {
		// The bytes leave before the connection is closed and arrive after.
		go func() {
			<-ctx.Done()
			time.Sleep(w.delay(late))
			w.arrive(t, address, o.Verb, o.Subject, o.Fence)
		}()
	}
	if isLate || isLost {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	pause(ctx, w.delay(4*time.Second))
	if ctx.Err() != nil {
		return 0, nil, ctx.Err()
	}
	status, answer := w.arrive(t, address, o.Verb, o.Subject, o.Fence)
	if isUnanswered {
		return 0, nil, fault.Unavailable
	}
	return status, answer, nil
}

// arrive is the handler of a target.
func (w *world) arrive(t *fakeTarget, name, verb, subject string, fence uint64) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fence < t.seen && t.announced.Fencing {
		return http.StatusConflict, []byte(`{"error":{"code":"fenced"}}`)
	}
	if fence < t.seen {
		w.t.Errorf("%s got order %d after order %d", name, fence, t.seen)
	}
	t.seen = max(t.seen, fence)
	t.obeyed = append(t.obeyed, fence)
	t.models = slices.DeleteFunc(t.models, func(m string) bool { return m == subject })
	if verb == Load {
		t.models = append(t.models, subject)
	}
	served := 0
	for _, other := range w.targets {
		if slices.Contains(other.models, "m") {
			served++
		}
	}
	if served == 0 {
		w.t.Errorf("order %d to %s took the last copy out of service", fence, name)
	}
	return http.StatusOK, nil
}
