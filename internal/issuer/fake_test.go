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

// maxLateDelivery bounds the delay between closing a connection and the delivery of
// its bytes. The quiet period covers it for targets that ignore fencing numbers.
const maxLateDelivery = DefaultQuietPeriod - DefaultTimeout - 500*time.Millisecond

// cluster simulates a log, members that lag behind it, and targets behind a network
// that delays, loses and delivers messages late.
type cluster struct {
	t *testing.T

	mu        sync.Mutex
	rng       *rand.Rand
	faultFree bool // faults are off
	leader    int
	term      uint64
	log       [][]byte
	members   []*member
	targets   map[string]*fakeTarget
	loads     []time.Time
}

type member struct {
	*controller.Controller
	applied int
	term    uint64 // term the member believes it leads, or 0
}

type fakeTarget struct {
	announced    *wire.Target
	models       []string
	obeyed       []uint64
	highestFence uint64
	inFlight     int
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), term: 1, targets: map[string]*fakeTarget{}}
	for range 3 {
		c.members = append(c.members, &member{Controller: controller.New(controller.Config{Leader: func() string { return "" }})})
	}
	c.members[0].term = 1
	return c
}

// chance reports true with probability p, and false once faults are off.
func (c *cluster) chance(p float64) bool { return !c.faultFree && c.rng.Float64() < p }

func (c *cluster) delay(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultFree {
		return time.Millisecond
	}
	return time.Duration(c.rng.Int64N(int64(limit)))
}

// elect makes a random member the leader. The old leader notices later.
func (c *cluster) elect(ctx context.Context) {
	noticeDelay := c.delay(2 * time.Second)
	c.mu.Lock()
	old := c.members[c.leader]
	c.term++
	c.leader = c.rng.IntN(len(c.members))
	c.members[c.leader].term = c.term
	term := c.term
	c.mu.Unlock()
	go func() {
		pause(ctx, noticeDelay)
		c.mu.Lock()
		defer c.mu.Unlock()
		if old.term < term {
			old.term = 0
		}
	}()
}

func (c *cluster) catchUp(m *member, position int) {
	for ; m.applied < position; m.applied++ {
		m.Apply(uint64(m.applied+1), c.log[m.applied])
	}
}

func (c *cluster) commit(m *member, command *wire.Command) error {
	command = proto.CloneOf(command)
	command.Time = time.Now().UnixNano()
	b, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	c.log = append(c.log, b)
	c.catchUp(m, len(c.log)-1)
	var reply wire.ProposeReply
	if err := proto.Unmarshal(m.Apply(uint64(len(c.log)), b), &reply); err != nil {
		return err
	}
	m.applied = len(c.log)
	if reply.Fault != nil {
		return fault.Parse(reply.Fault.Code)
	}
	return nil
}

func (c *cluster) issuer(n int) *Issuer {
	m := c.members[n]
	locked := func(f func() error) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		return f()
	}
	leads := func(f func() error) error {
		return locked(func() error {
			if c.leader != n || c.chance(0.1) {
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
			_ = locked(func() error { c.catchUp(m, m.applied+c.rng.IntN(len(c.log)-m.applied+1)); return nil })
			reply, err := m.Read(ctx, &wire.ReadRequest{Stale: true, Orders: true})
			return reply.GetOrders(), err
		},
		Barrier: func(context.Context) error {
			return leads(func() error { c.catchUp(m, len(c.log)); return nil })
		},
		Propose: func(ctx context.Context, command *wire.Command) error {
			pause(ctx, c.delay(400*time.Millisecond))
			err := leads(func() error { return c.commit(m, command) })
			pause(ctx, c.delay(400*time.Millisecond))
			if c.delay(time.Second) > 900*time.Millisecond {
				return fault.Isolated // committed, but the result is lost
			}
			return err
		},
		Targets: func() []*wire.Target {
			c.mu.Lock()
			defer c.mu.Unlock()
			var all []*wire.Target
			for _, t := range c.targets {
				all = append(all, t.announced)
			}
			return all
		},
		Send: c.send,
	})
}

// announce publishes the state of all targets.
func (c *cluster) announce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		t.announced = proto.CloneOf(t.announced)
		t.announced.Models = slices.Clone(t.models)
	}
}

func (c *cluster) send(ctx context.Context, address string, body []byte) (int, []byte, error) {
	var o struct {
		Verb, Subject string
		Fence         uint64
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return 0, nil, err
	}
	t := c.targets[address]
	c.mu.Lock()
	if t.inFlight++; t.inFlight > 1 && !t.announced.Fencing {
		c.t.Errorf("target %s: got two orders in flight, want one", address)
	}
	if o.Verb == Load {
		c.loads = append(c.loads, time.Now())
	}
	isLost, isUnanswered, isLate := c.chance(0.2), c.chance(0.3), c.chance(0.2)
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.inFlight--
	}()
	if isLate {
		// The bytes leave before the connection is closed and arrive later.
		go func() {
			<-ctx.Done()
			time.Sleep(c.delay(maxLateDelivery))
			c.handle(t, address, o.Verb, o.Subject, o.Fence)
		}()
	}
	if isLate || isLost {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	pause(ctx, c.delay(4*time.Second))
	if ctx.Err() != nil {
		return 0, nil, ctx.Err()
	}
	status, answer := c.handle(t, address, o.Verb, o.Subject, o.Fence)
	if isUnanswered {
		return 0, nil, fault.Unavailable
	}
	return status, answer, nil
}

// handle is the order handler of a target.
func (c *cluster) handle(t *fakeTarget, name, verb, subject string, fence uint64) (int, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < t.highestFence && t.announced.Fencing {
		return http.StatusConflict, []byte(`{"error":{"code":"fenced"}}`)
	}
	if fence < t.highestFence {
		c.t.Errorf("target %s: got order %d after order %d, want increasing numbers", name, fence, t.highestFence)
	}
	t.highestFence = max(t.highestFence, fence)
	t.obeyed = append(t.obeyed, fence)
	t.models = slices.DeleteFunc(t.models, func(m string) bool { return m == subject })
	if verb == Load {
		t.models = append(t.models, subject)
	}
	served := 0
	for _, other := range c.targets {
		if slices.Contains(other.models, "m") {
			served++
		}
	}
	if served == 0 {
		c.t.Errorf("order %d to target %s took the last copy out of service", fence, name)
	}
	return http.StatusOK, nil
}
