package listener

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// maxAnswerLine is the maximum size of the part of an answer that is logged.
const maxAnswerLine = 64

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext is a hook for http.Server, which Handler needs.
func (*Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		c.mu.Lock()
		c.watched = true
		c.mu.Unlock()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that notes that a request has reached h, which logs its end.
// A connection that closes with another request is logged by the listener: net/http
// answers a malformed or too large header itself, or closes without an answer, and tells
// nobody.
func (*Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.mu.Lock()
			c.handled = true
			c.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// recordAnswer keeps the start of an answer that no handler gives.
func (c *conn) recordAnswer(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handled && c.answer == "" {
		line, _, _ := bytes.Cut(b, []byte("\r\n"))
		c.answer = string(line[:min(len(line), maxAnswerLine)])
	}
}

// logUnhandled logs that the connection closes with bytes of a request that no handler
// has got. The caller holds mu.
func (c *conn) logUnhandled() {
	if !c.watched || c.handled || c.idle && !c.received && c.answer == "" {
		return
	}
	c.listener.logger.Info("connection closed with a request that was not served", zap.Stringer("peer", c.RemoteAddr()),
		zap.String("answer", c.answer), zap.Int("bytes", c.bytes), zap.Duration("age", time.Since(c.since)))
}
