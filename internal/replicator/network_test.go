package replicator

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
)

// after returns a timer channel that does not fire while the process is
// frozen.
func (c *cluster) after(n *node, d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	time.AfterFunc(d, func() {
		_, gate := c.running(n.name)
		<-gate
		ch <- time.Now()
	})
	return ch
}

// delivers reports whether a message gets through, and its delay.
func (c *cluster) delivers(from, to string) (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Duration(0)
	if c.maxDelay > 0 {
		wait = time.Duration(c.random.Int64N(int64(c.maxDelay)))
	}
	return !c.blocked[[2]string{from, to}], wait
}

func (c *cluster) duplicates() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.duplicateRate
}

func (c *cluster) isolate(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.names {
		c.blocked[[2]string{name, other}], c.blocked[[2]string{other, name}] = cut, cut
	}
}

func (c *cluster) setLink(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[[2]string{from, to}] = cut
}

var errNoAnswer = errors.New("no answer")

// send delivers a call. A request is delivered even after its caller gave up,
// and some are delivered twice, so requests can be reordered.
func send[Q, R proto.Message](ctx context.Context, c *cluster, from, to string, q Q, serve func(*Replicator, context.Context, Q) (R, error)) (R, error) {
	var none R
	answers := make(chan R, 2)
	deliver := func() {
		if _, gate := c.running(from); gate != nil {
			<-gate
		}
		ok, wait := c.delivers(from, to)
		time.Sleep(wait)
		member, gate := c.running(to)
		if !ok || member == nil {
			return
		}
		<-gate
		reply, err := serve(member, context.Background(), proto.CloneOf(q))
		ok, wait = c.delivers(to, from)
		time.Sleep(wait)
		if err != nil || !ok {
			return
		}
		answers <- proto.CloneOf(reply)
	}
	go deliver()
	if c.duplicates() {
		go deliver()
	}
	select {
	case reply := <-answers:
		_, gate := c.running(from)
		<-gate
		return reply, nil
	case <-ctx.Done():
		return none, errNoAnswer
	}
}
