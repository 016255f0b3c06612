package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A graceful stop must be announced first and must not abort requests in
// flight.
func TestStopFinishesRequests(t *testing.T) {
	var mu sync.Mutex
	var states []string
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var target wire.Target
		if err := json.NewDecoder(r.Body).Decode(&target); err != nil || r.Header.Get("Authorization") != "Bearer k" {
			t.Errorf("announcement: %v, %v", err, r.Header)
		}
		mu.Lock()
		defer mu.Unlock()
		if len(states) == 0 || states[len(states)-1] != target.State {
			states = append(states, target.State)
		}
	}))
	defer entry.Close()
	entered, release := make(chan struct{}), make(chan struct{})
	var leaving atomic.Bool
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := New(Config{
		Listener: listener, Entries: []string{entry.URL}, Key: "k", DrainTimeout: 10 * time.Second, Logger: zap.NewNop(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			_, _ = w.Write([]byte("whole"))
		}),
		Report: func() *wire.Target {
			if leaving.Load() {
				return &wire.Target{State: "leaving"}
			}
			return &wire.Target{State: "ready"}
		},
		Leave: func() { leaving.Store(true); time.AfterFunc(50*time.Millisecond, func() { close(release) }) },
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	body := make(chan string, 1)
	go func() { body <- get("http://" + listener.Addr().String()) }()
	<-entered
	stop()
	if got, want := <-body, "whole"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	if err := <-done; err != nil {
		t.Errorf("stop: got %v, want nil", err)
	}
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"ready", "leaving", "gone"}; !slices.Equal(states, want) {
		t.Errorf("states: got %v, want %v", states, want)
	}
}

// The injected fault must make old connections permanently unresponsive and
// leave new ones alone. Tests of connection renewal rely on it.
func TestSilence(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(inner)
	server := &http.Server{Handler: l.withSilenceHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("whole"))
	}))}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	url := "http://" + inner.Addr().String()
	old := &http.Client{Transport: &http.Transport{}, Timeout: 200 * time.Millisecond}
	defer old.CloseIdleConnections()
	for i, want := range []bool{true, false} {
		resp, err := old.Get(url)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close() // the copy reports the error
		}
		if got := err == nil; got != want {
			t.Errorf("request %d on the old connection: got %v, want success %v", i, err, want)
		}
		resp, err = (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Post(url+"/v1/silence", "", &bytes.Buffer{})
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close() // empty body
	}
	if got, want := get(url), "whole"; got != want {
		t.Errorf("new connection: got %q, want %q", got, want)
	}
}

func get(url string) string {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
