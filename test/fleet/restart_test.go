package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// balancer sends requests to instances whose readiness check succeeds, checked
// every 250 ms as the platform's balancer does.
type balancer struct {
	f     *fleet
	ready []atomic.Bool
	next  atomic.Int64
}

func newBalancer(f *fleet, stop <-chan struct{}) *balancer {
	b := &balancer{f: f, ready: make([]atomic.Bool, len(f.names))}
	for i := range b.ready {
		b.ready[i].Store(f.ready(i) == nil)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
					b.ready[i].Store(f.ready(i) == nil)
				}
			}
		}()
	}
	return b
}

func (b *balancer) pick() int {
	for {
		i := int(b.next.Add(1)) % len(b.ready)
		if b.ready[i].Load() {
			return i
		}
		time.Sleep(time.Millisecond)
	}
}

// A rolling restart of all instances under load must lose, cut off and repeat
// nothing.
func TestRollingRestart(t *testing.T) {
	f := start(t, []int{2, 2, 1}, 10_000_000, false)
	f.engine("engine-a", "a", []int{0, 1})
	f.engine("engine-b", "b", []int{2, 3})
	for i := range f.names {
		f.routes(i)
	}
	stop := make(chan struct{})
	b := newBalancer(f, stop)
	var sent, failed atomic.Int64
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				i := b.pick()
				a := f.chat(i, "hello", 10, n%2 == 0, fmt.Sprintf("c%d-%d", caller, n))
				sent.Add(1)
				if a.status != http.StatusOK || n%2 == 0 && !strings.HasSuffix(a.body, "[DONE]\n\n") {
					failed.Add(1)
					t.Errorf("request through %s: got %d %.300q %v", f.names[i], a.status, a.body, a.err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for i, name := range f.names {
		f.signal(name, syscall.SIGTERM)
		if err := f.procs[name].wait(); err != nil {
			t.Errorf("stop of %s: %v", name, err)
		}
		delete(f.procs, name)
		f.serve(i)
		f.eventually("be ready again", func() error { return f.ready(i) })
		f.routes(i)
	}
	close(stop)
	group.Wait()
	t.Logf("%d requests, %d failed", sent.Load(), failed.Load())
	f.eventually("bill each request once", func() error {
		s, err := f.statement(0)
		if err == nil && s.Requests != uint64(sent.Load()) {
			err = fmt.Errorf("got %d bills for %d requests", s.Requests, sent.Load())
		}
		return err
	})
}
