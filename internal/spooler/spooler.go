package spooler

import (
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// defaultBufferBytes holds the lines of a few seconds.
	defaultBufferBytes = 256 << 10
	// defaultBytesPerSecond is the rate of limited lines, about 150 lines per
	// second.
	defaultBytesPerSecond = 64 << 10
	// closeTimeout bounds how long Close waits for the writer.
	closeTimeout = 500 * time.Millisecond
)

// Config configures a Spooler. Zero values select the defaults.
type Config struct {
	Writer io.Writer
	// BufferBytes is the size of the buffer for unwritten lines.
	BufferBytes int
	// BytesPerSecond is the rate of limited lines, with a burst of one second's
	// worth.
	BytesPerSecond int
	Now            func() time.Time
}

// Spooler is an asynchronous log writer. It is safe for concurrent use.
type Spooler struct {
	cfg Config

	mu         sync.Mutex
	buffer     []byte
	spare      []byte
	tokens     float64
	lastRefill time.Time
	dropped    int // lines dropped since the last report
	closed     bool

	wake chan struct{}
	done chan struct{}
}

// New returns a spooler that writes in the background until Close.
func New(cfg Config) *Spooler {
	if cfg.BufferBytes == 0 {
		cfg.BufferBytes = defaultBufferBytes
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = defaultBytesPerSecond
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Spooler{cfg: cfg, tokens: float64(cfg.BytesPerSecond), lastRefill: cfg.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// LimitedSink returns the sink for rate-limited lines.
func (s *Spooler) LimitedSink() zapcore.WriteSyncer { return sink{s, true} }

// UnlimitedSink returns the sink for lines without a rate limit.
func (s *Spooler) UnlimitedSink() zapcore.WriteSyncer { return sink{s, false} }

// sink is a zapcore.WriteSyncer that adds lines to a spooler.
type sink struct {
	s       *Spooler
	limited bool
}

// Write adds one line. It never fails.
func (k sink) Write(line []byte) (int, error) {
	k.s.add(line, k.limited)
	return len(line), nil
}

// Sync does nothing, since Close writes the remaining lines.
func (k sink) Sync() error { return nil }

// add buffers a line unless it exceeds the buffer or the rate.
func (s *Spooler) add(line []byte, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.tokens = min(s.tokens+now.Sub(s.lastRefill).Seconds()*float64(s.cfg.BytesPerSecond), float64(s.cfg.BytesPerSecond))
	s.lastRefill = now
	size := len(line)
	if s.closed || len(s.buffer)+size > s.cfg.BufferBytes || limited && s.tokens < float64(size) {
		s.dropped++
		return
	}
	if limited {
		s.tokens -= float64(size)
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run flushes the buffer whenever lines have been added, until Close.
func (s *Spooler) run() {
	defer close(s.done)
	for range s.wake {
		s.flush()
	}
	s.flush()
}

// flush writes the buffer and the number of dropped lines.
func (s *Spooler) flush() {
	s.mu.Lock()
	data, dropped := s.buffer, s.dropped
	s.buffer, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "{\"level\":\"warn\",\"ts\":%q,\"logger\":\"spooler\",\"msg\":\"log lines dropped\",\"lines\":%d}\n",
			s.cfg.Now().Format(time.RFC3339Nano), dropped)
	}
	if len(data) > 0 {
		_, _ = s.cfg.Writer.Write(data) // an error can't be reported anywhere
	}
	s.mu.Lock()
	s.spare = data
	s.mu.Unlock()
}

// Close writes the remaining lines, if the writer accepts them in time.
func (s *Spooler) Close() {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return
	}
	close(s.wake)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
