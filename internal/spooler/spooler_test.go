package spooler_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/spooler"
)

// stuck blocks all writes until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.String()
}

// A reader of the log that stands still must not hold up a request.
func TestStuckWriter(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	s := spooler.New(spooler.Config{Writer: w, BufferBytes: 100, BytesPerSecond: 1 << 20})
	done := make(chan struct{})
	go func() {
		for range 1000 {
			_, _ = io.WriteString(s.UnlimitedSink(), "0123456789\n")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing a line blocks")
	}
	close(w.release)
	s.Close()
	if got := w.String(); !strings.Contains(got, "left out") || strings.Count(got, "0123456789") > 20 {
		t.Errorf("got %q, want some lines and the number of those left out", got)
	}
}

// Beyond the rate, ordinary lines are left out, lines of failures are not.
func TestRate(t *testing.T) {
	now := time.Unix(1000, 0)
	var mu sync.Mutex
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	w := &stuck{release: make(chan struct{})}
	close(w.release)
	s := spooler.New(spooler.Config{Writer: w, BytesPerSecond: 30, Now: clock})
	for range 10 {
		_, _ = io.WriteString(s.LimitedSink(), "ordinary.\n")
		_, _ = io.WriteString(s.UnlimitedSink(), "failure.\n")
	}
	mu.Lock()
	now = now.Add(time.Second)
	mu.Unlock()
	_, _ = io.WriteString(s.LimitedSink(), "ordinary.\n")
	s.Close()
	got := w.String()
	if n := strings.Count(got, "ordinary."); n != 4 {
		t.Errorf("got %d ordinary lines, want 4", n)
	}
	if n := strings.Count(got, "failure."); n != 10 {
		t.Errorf("got %d lines of failures, want 10", n)
	}
	if !strings.Contains(got, `"lines":7`) && strings.Count(got, "left out") == 0 {
		t.Errorf("got %q, want the number of lines left out", got)
	}
}
