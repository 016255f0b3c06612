package spooler

import (
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// defaultBuffer holds the lines of some seconds, in bytes.
	defaultBuffer = 256 << 10
	// defaultRate bounds the ordinary lines, in bytes per second: about 150
	// lines.
	defaultRate = 64 << 10
	// closeTimeout bounds the wait for a reader at the end.
	closeTimeout = 500 * time.Millisecond
)

// Config configures a Spooler. Zero values mean the defaults.
type Config struct {
	Writer io.Writer
	// BufferBytes is the number of bytes that wait for the writer.
	BufferBytes int
	// BytesPerSecond is the number of bytes of ordinary lines per second; a second's
	// worth may come at once.
	BytesPerSecond int
	Now            func() time.Time
}

// Spooler is safe for concurrent use.
type Spooler struct {
	cfg Config

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	allowed float64
	at      time.Time
	left    int // lines left out since the last report
	closed  bool

	wake chan struct{}
	done chan struct{}
}

// New returns a spooler whose goroutine writes until Close.
func New(cfg Config) *Spooler {
	if cfg.BufferBytes == 0 {
		cfg.BufferBytes = defaultBuffer
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = defaultRate
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Spooler{cfg: cfg, allowed: float64(cfg.BytesPerSecond), at: cfg.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// LimitedSink returns the sink of ordinary lines.
func (s *Spooler) LimitedSink() zapcore.WriteSyncer { return sink{s, true} }

// UnlimitedSink returns the sink of lines of failures.
func (s *Spooler) UnlimitedSink() zapcore.WriteSyncer { return sink{s, false} }

// sink is one way into a spooler.
type sink struct {
	s       *Spooler
	limited bool
}

// Write takes one line; it never fails.
func (k sink) Write(line []byte) (int, error) {
	k.s.add(line, k.limited)
	return len(line), nil
}

// Sync does nothing: Close writes what is left.
func (k sink) Sync() error { return nil }

// add takes a line if there is room.
func (s *Spooler) add(line []byte, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.allowed = min(s.allowed+now.Sub(s.at).Seconds()*float64(s.cfg.BytesPerSecond), float64(s.cfg.BytesPerSecond))
	s.at = now
	size := len(line)
	if s.closed || len(s.buffer)+size > s.cfg.BufferBytes || limited && s.allowed < float64(size) {
		s.left++
		return
	}
	if limited {
		s.allowed -= float64(size)
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes what waits.
func (s *Spooler) run() {
	defer close(s.done)
	for range s.wake {
		s.flush()
	}
	s.flush()
}

// flush writes the buffer, and the number of lines that were left out.
func (s *Spooler) flush() {
	s.mu.Lock()
	data, left := s.buffer, s.left
	s.buffer, s.spare, s.left = s.spare[:0], nil, 0
	s.mu.Unlock()
	if left > 0 {
		data = fmt.Appendf(data, "{\"level\":\"warn\",\"ts\":%q,\"logger\":\"spooler\",\"msg\":\"Log lines were left out.\",\"lines\":%d}\n",
			s.cfg.Now().Format(time.RFC3339Nano), left)
	}
	if len(data) > 0 {
		_, _ = s.cfg.Writer.Write(data) // nobody else could be told
	}
	s.mu.Lock()
	s.spare = data
	s.mu.Unlock()
}

// Close writes what is left, if the writer takes it soon.
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
