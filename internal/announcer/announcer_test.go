package announcer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// An entry instance that is unresponsive or down must not delay announcements
// to the others, where the target expires after 3 s.
func TestUnresponsiveEntryDoesNotDelayOthers(t *testing.T) {
	var received atomic.Int32
	good := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { received.Add(1) }))
	defer good.Close()
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only once the body is read
		<-r.Context().Done()
	}))
	defer silent.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	a := New(Config{
		Entries: []string{silent.URL, "127.0.0.1:1", good.Listener.Addr().String()}, Client: client,
		Report: func() *wire.Target { return &wire.Target{Name: "engine-1"} }, Logger: zap.NewNop(),
	})
	start := time.Now()
	a.Announce(t.Context())
	if got, want := received.Load(), int32(1); got != want {
		t.Errorf("announcements: got %d, want %d", got, want)
	}
	if took := time.Since(start); took >= interval {
		t.Errorf("took %v, want less than %v", took, interval)
	}
}
