package replicator

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
)

// after is a timer that doesn't fire while the process is frozen.
func (c *cluster) after(n *node, d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	time.AfterFunc(d, func() {
		_, gate := c.running(n.name)
		<-gate
		ch <- time.Now()
	})
	return ch
}

// passes tells whether a message gets through and after which delay.
func (c *cluster) passes(from, to string) (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Duration(0)
	if c.delay > 0 {
		wait = time.Duration(c.random.Int64N(int64(c.delay)))
	}
	return !c.cut[[2]string{from, to}], wait
}

func (c *cluster) repeated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.repeats
}

func (c *cluster) isolate(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.names {
		c.cut[[2]string{name, other}], c.cut[[2]string{other, name}] = cut, cut
	}
}

func (c *cluster) link(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{from, to}] = cut
}

var errLost = errors.New("no answer")

// send carries a call. A request whose caller gave up still arrives later,
// and some arrive twice, so requests also overtake one another.
func send[Q, R proto.Message](ctx context.Context, c *cluster, from, to string, q Q, serve func(*Replicator, context.Context, Q) (R, error)) (R, error) {
	var none R
	answers := make(chan R, 2)
	deliver := func() {
		if _, gate := c.running(from); gate != nil {
			<-gate
		}
		ok, wait := c.passes(from, to)
		time.Sleep(wait)
		member, gate := c.running(to)
		if !ok || member == nil {
			return
		}
		<-gate
		reply, err := serve(member, context.Background(), proto.CloneOf(q))
		ok, wait = c.passes(to, from)
		time.Sleep(wait)
		if err != nil || !ok {
			return
		}
		answers <- proto.CloneOf(reply)
	}
	go deliver()
	if c.repeated() {
		go deliver()
	}
	select {
	case reply := <-answers:
		_, gate := c.running(from)
		<-gate
		return reply, nil
	case <-ctx.Done():
		return none, errLost
	}
}
