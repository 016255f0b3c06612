package listener

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// drainInterval is the interval at which Drain checks the connections.
	drainInterval = 10 * time.Millisecond
	// minIdle is the time without a request after which Drain closes a connection.
	// A caller that has just connected or got its answer may be about to send one.
	minIdle = 300 * time.Millisecond
	// headerTimeout is the time that Drain gives a caller to send the rest of a
	// header.
	headerTimeout = 3 * time.Second
	// acceptTimeout is the time that Drain gives the server to accept the connections
	// that wait for it, and acceptInterval the one between two checks.
	acceptTimeout  = 200 * time.Millisecond
	acceptInterval = time.Millisecond
)

// ConnState is a hook for http.Server. Drain needs it to tell idle connections
// from those that carry a request.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.setIdle(state == http.StateNew || state == http.StateIdle)
	}
}

// Drain stops accepting connections once none waits, closes those on which no request has
// begun, and waits until the server has answered all requests and closed the others. The
// answers must say that they close the connection, or callers that send without a pause
// keep theirs open. If ctx ends while connections carry requests, the error wraps the one
// of ctx and says what the connections are doing.
//
// http.Server.Shutdown isn't fit for this: it leaves requests unanswered whose
// header it reads after its start, may close a connection whose header has just been
// read, and waits for up to 5 s for new connections on which nothing is sent.
func (l *Listener) Drain(ctx context.Context) error {
	if err := l.stopAccepting(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		var idle, receiving, serving int
		for _, c := range l.open() {
			switch c.drain() {
			case stateIdle:
				idle++
			case stateReceiving:
				receiving++
			case stateServing:
				serving++
			}
		}
		if idle+receiving+serving == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			if serving+receiving == 0 {
				return nil // the last answer has ended within minIdle
			}
			return eris.Wrapf(ctx.Err(), "open connections: %d with a request, %d within a header, %d idle", serving, receiving, idle)
		case <-tick.C:
		}
	}
}

// stopAccepting closes the listener once no connection waits in its queue, since the kernel
// resets those, and waits for the one that is being accepted.
func (l *Listener) stopAccepting(ctx context.Context) error {
	end := time.Now().Add(acceptTimeout)
	for ctx.Err() == nil && time.Now().Before(end) && hasPending(l.Listener) {
		time.Sleep(acceptInterval)
	}
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "stop accepting connections")
	}
	for ctx.Err() == nil && time.Now().Before(end) && l.accepting.Load() > 0 {
		time.Sleep(acceptInterval)
	}
	return nil
}

// open returns the open connections.
func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// connState is what a connection is doing.
type connState int

const (
	stateClosed connState = iota
	stateIdle
	stateReceiving // a header
	stateServing
)

// drain closes the connection unless it carries a request or may be about to, and
// returns its state.
func (c *conn) drain() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.since)
	switch {
	case c.closed:
		return stateClosed
	case !c.idle:
		return stateServing
	case c.received && age < headerTimeout:
		return stateReceiving
	case c.received:
	case !c.waiting || age < minIdle || hasInput(c.Conn):
		return stateIdle
	case !c.closing && c.SetReadDeadline(longAgo) == nil:
		// The read in progress may have got bytes that show nowhere yet. It closes the
		// connection if it has none.
		c.closing = true
		return stateIdle
	case c.closing:
		return stateIdle
	}
	_ = c.close() // nothing is lost if the peer has closed it first
	return stateClosed
}
