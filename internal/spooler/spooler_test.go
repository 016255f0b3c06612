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

// blockingWriter blocks all writes until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func (s *blockingWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.String()
}

// A log reader that stalls must not block a request.
func TestBlockedWriter(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
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
		t.Fatal("writing lines blocked for 5 s")
	}
	close(w.release)
	s.Close()
	if got := w.String(); !strings.Contains(got, "log lines dropped") || strings.Count(got, "0123456789") > 20 {
		t.Errorf("got %q, want at most 20 lines and the number of dropped lines", got)
	}
}

// Beyond the rate, limited lines are dropped and unlimited ones are not.
func TestRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	var mu sync.Mutex
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	w := &blockingWriter{release: make(chan struct{})}
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
		t.Errorf("limited lines: got %d, want 4", n)
	}
	if n := strings.Count(got, "failure."); n != 10 {
		t.Errorf("unlimited lines: got %d, want 10", n)
	}
	if !strings.Contains(got, `"lines":7`) && strings.Count(got, "log lines dropped") == 0 {
		t.Errorf("got %q, want the number of dropped lines", got)
	}
}
