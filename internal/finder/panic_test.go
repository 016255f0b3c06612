package finder_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/finder"
	"github.com/papayapond/papayapond/internal/recoverer"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/route"
)

// A call that panicked in its goroutine ended the process. It must count as one without
// an answer, at once.
func TestPanicInCall(t *testing.T) {
	var panics atomic.Int64
	f := finder.New(finder.Config{
		Tracer: tracer.New(tracer.Config{}), Cores: func() []string { return []string{"c1"} }, Neighbors: func() []string { return []string{"e2"} }, Remote: none,
		CoresUnreachable: func() bool { return true }, Peer: func(string) wire.DRPCSteeringClient { panic("fault of the test") },
		Routing: func(route.Route) string { return "" }, Recoverer: recoverer.New(recoverer.Config{OnPanic: func(string) { panics.Add(1) }}),
	})
	started := time.Now()
	if _, _, err := f.Find(t.Context(), "shop", "1", singlePool(), time.Minute); !errors.Is(err, fault.Unavailable) {
		t.Errorf("got error %v, want one of fault.Unavailable", err)
	}
	if got, took := panics.Load(), time.Since(started); got != 2 || took > 200*time.Millisecond {
		t.Errorf("got %d panics in %v, want 2 at once", got, took)
	}
}
