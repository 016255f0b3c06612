package collector_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayapond/papayapond/internal/collector"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// leader answers batches after a delay and keeps them.
type leader struct {
	mu      sync.Mutex
	delay   time.Duration
	perCall time.Duration
	err     error
	batches []*wire.BatchRequest
}

func (l *leader) send(ctx context.Context, q *wire.BatchRequest) (*wire.BatchReply, error) {
	l.mu.Lock()
	l.batches = append(l.batches, q)
	delay, err := l.delay+time.Duration(len(q.Calls))*l.perCall, l.err
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	reply := &wire.BatchReply{}
	for _, call := range q.Calls {
		reply.Results = append(reply.Results, &wire.BatchResult{Limits: []*wire.Limit{{Account: call.Instance}}})
	}
	return reply, nil
}

func (l *leader) set(delay time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.err = delay, err
}

func (l *leader) taken() []*wire.BatchRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.batches
	l.batches = nil
	return list
}

// A slow leader must get few batches however many instances call: one call each is
// what made the core collapse at 300 entry instances. Each caller must get its own
// result.
func TestSlowLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{delay: 100 * time.Millisecond}
		c := collector.New(collector.Config{Send: l.send})
		var group sync.WaitGroup
		for i := range 300 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				name := fmt.Sprint("e", i)
				r, err := c.Sync(t.Context(), &wire.SyncRequest{Instance: name})
				if err != nil || r.Limits[0].Account != name {
					t.Errorf("%s: got %v and %v", name, r, err)
				}
			})
		}
		group.Wait()
		if got, want := len(l.taken()), 5; got > want {
			t.Errorf("got %d batches in 0.4 s at 100 ms each, want at most %d", got, want)
		}
	})
}

// The pause must bound the number of batches of a fast leader.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		c := collector.New(collector.Config{Send: l.send, Pause: func() time.Duration { return 50 * time.Millisecond }})
		started := time.Now()
		for range 20 {
			if err := c.Enlist(t.Context(), &wire.Listing{}); err != nil {
				t.Fatal(err)
			}
		}
		if got, want := time.Since(started), 900*time.Millisecond; got < want {
			t.Errorf("20 batches took %v, want at least %v", got, want)
		}
		time.Sleep(time.Second) // the collector's pause
	})
}

// Work for callers that have given up must not reach the leader: it would keep a
// collapse going. A later call of an incarnation replaces the one that waits.
func TestCallersGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{delay: 150 * time.Millisecond}
		c := collector.New(collector.Config{Send: l.send})
		var group sync.WaitGroup
		call := func(instance string, sequence uint64, patience time.Duration, want error) {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				if _, err := c.Sync(ctx, &wire.SyncRequest{Instance: instance, Sequence: sequence}); !errors.Is(err, want) {
					t.Errorf("call %d of %s: got %v, want %v", sequence, instance, err, want)
				}
			})
			synctest.Wait()
		}
		call("first", 1, time.Second, nil) // occupies the leader
		call("gone", 2, 50*time.Millisecond, fault.Unavailable)
		call("twice", 3, time.Second, fault.Conflict)
		call("twice", 4, time.Second, nil)
		group.Wait()
		var got []uint64
		for _, b := range l.taken() {
			for _, q := range b.Calls {
				got = append(got, q.Sequence)
			}
		}
		if want := []uint64{1, 4}; !slices.Equal(got, want) {
			t.Errorf("got calls %v at the leader, want %v", got, want)
		}
	})
}

// Callers of a leader that doesn't answer must get an error before they give up and
// close their connections, and contact must be counted from the last answer.
func TestNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		c := collector.New(collector.Config{Send: l.send})
		if err := c.Enlist(t.Context(), &wire.Listing{}); err != nil {
			t.Fatal(err)
		}
		for _, test := range []struct {
			delay time.Duration
			err   error
			want  time.Duration
		}{{time.Hour, nil, 500 * time.Millisecond}, {0, fault.Isolated, 0}} {
			l.set(test.delay, test.err)
			started := time.Now()
			_, err := c.Sync(t.Context(), &wire.SyncRequest{Instance: "e"})
			if got := time.Since(started); err == nil || got > test.want {
				t.Errorf("delay %v, error %v: got %v after %v, want an error within %v", test.delay, test.err, err, got, test.want)
			}
			time.Sleep(100 * time.Millisecond) // the batch goes on after its callers have an answer
		}
		if got, want := c.SinceContact(), 450*time.Millisecond; got < want {
			t.Errorf("got contact %v ago, want at least %v", got, want)
		}
	})
}

// Announcements without a change must reach the leader together, with the next batch
// or when flushed.
func TestKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		c := collector.New(collector.Config{Send: l.send})
		for i := range 100 {
			c.KeepAlive(fmt.Sprint("t", i%50))
		}
		synctest.Wait()
		if got := len(l.taken()); got != 0 {
			t.Errorf("got %d batches before the flush, want none", got)
		}
		c.Flush()
		synctest.Wait()
		got := l.taken()
		if len(got) != 1 || len(got[0].Alive) != 50 {
			t.Errorf("got %v, want one batch with 50 targets", got)
		}
		c.Flush()
		synctest.Wait()
		if got := len(l.taken()); got != 0 {
			t.Errorf("got %d batches without anything to send, want none", got)
		}
	})
}

// While the leader takes longer than callers wait, each must get a refusal before its own
// timeout of 600 ms, or it closes its connection; and once batches are small enough,
// some must be answered.
func TestOverloadedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		l.perCall = 4 * time.Millisecond
		c := collector.New(collector.Config{Send: l.send})
		var mu sync.Mutex
		answered, slowest := 0, time.Duration(0)
		var group sync.WaitGroup
		for i := range 300 {
			group.Go(func() {
				for range 6 {
					started := time.Now()
					_, err := c.Sync(t.Context(), &wire.SyncRequest{Instance: fmt.Sprint("e", i)})
					mu.Lock()
					if err == nil {
						answered++
					}
					slowest = max(slowest, time.Since(started))
					mu.Unlock()
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		group.Wait()
		if want := 500 * time.Millisecond; slowest > want {
			t.Errorf("a caller waited %v, want at most %v", slowest, want)
		}
		if want := 300; answered < want {
			t.Errorf("got %d of 1800 calls answered, want at least %d", answered, want)
		}
		time.Sleep(time.Second)
	})
}
