package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/router"
	"github.com/papayapond/papayapond/internal/wire"
)

// Concurrent copies of a request that crashes its targets must crash at most
// two of them, and at most one if a crash is already recorded. All copies of a
// harmless request must get a response.
func TestConcurrentPoisonRequests(t *testing.T) {
	for _, test := range []struct {
		name       string
		suspect    bool
		crashes    bool
		maxTargets int32
	}{{"first", false, true, 2}, {"suspect", true, true, 1}, {"innocent", false, false, 2}, {"cleared", true, false, 6}} {
		t.Run(test.name, func(t *testing.T) {
			var targets []*wire.Target
			var used atomic.Int32
			for i := range 6 {
				var once sync.Once
				server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					once.Do(func() { used.Add(1) })
					time.Sleep(20 * time.Millisecond)
					if test.crashes {
						panic(http.ErrAbortHandler) // closes the connection as a dying process does
					}
				}))
				defer server.Close()
				targets = append(targets, &wire.Target{Name: fmt.Sprint("e", i), Zone: "a", Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://")})
			}
			b := blocker.New(blocker.Config{})
			r, err := router.New(router.Config{Zone: "a", Policy: router.RoundRobin, Ready: func(string, string, string) []*wire.Target { return targets }})
			if err != nil {
				t.Fatal(err)
			}
			d := New(Config{
				Pick: r.Pick, Trial: r.PickSuspect, Restrict: b.AllowedTargets, BeginAttempt: b.BeginAttempt,
				Blocked: b.IsBlocked, RecordCrash: b.RecordCrash, Clear: b.Clear, Logger: zap.NewNop(),
			})
			defer d.Close()
			if test.suspect {
				b.RecordCrash([]byte("content"), "gone/1")
			}
			var wg sync.WaitGroup
			results := make([]error, 6)
			for i := range results {
				wg.Go(func() {
					job := Job{ID: fmt.Sprint("r", i), Model: "m", Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("x"), Digest: []byte("content"), Idempotent: true, Allowed: func(string) bool { return true }}
					_, results[i] = d.Do(context.WithoutCancel(t.Context()), job, func(_ *wire.Target, r *http.Response) (bool, error) {
						_, err := io.Copy(io.Discard, r.Body)
						return false, err
					})
				})
			}
			wg.Wait()
			if got := used.Load(); got > test.maxTargets {
				t.Errorf("targets used: got %d, want at most %d", got, test.maxTargets)
			}
			for i, err := range results {
				if kind := fault.Of(err); test.crashes && kind != fault.Poison && kind != fault.Crashed || !test.crashes && err != nil {
					t.Errorf("copy %d: got unexpected error %v", i, err)
				}
			}
		})
	}
}
