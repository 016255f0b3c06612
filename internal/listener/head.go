package listener

import (
	"io"
	"time"

	"go.uber.org/zap"
)

const (
	// headAccount is the account of all heads: the key of the caller isn't known yet.
	headAccount = "(heads)"
	// uncountedHeadBytes is the size up to which a head isn't counted as held. Most
	// heads are shorter.
	uncountedHeadBytes = 4 << 10
	// headFactor is the memory that a byte of a head may take: a header of a few bytes
	// takes an entry of a map, a list and two strings.
	headFactor = 16
	// refusalTimeout bounds the write of a refusal. It fits into the socket buffer.
	refusalTimeout = 100 * time.Millisecond
	// refusal is the answer to a head for which there is no memory.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// holdHead takes the bytes that the next read of a head may need, and reports whether
// there were enough. The caller holds mu.
func (c *conn) holdHead(n int) bool {
	if c.hold == nil || !c.idle || c.closed || c.head < uncountedHeadBytes {
		return true
	}
	return c.hold.TryTake(int64(headFactor * n))
}

// endHead gives back the bytes of a head. The caller holds mu.
func (c *conn) endHead() {
	c.head = 0
	if c.hold != nil {
		c.hold.End()
	}
}

// refuseHead refuses a request whose head hasn't been read in full. The server closes
// the connection after the error.
func (c *conn) refuseHead() error {
	c.listener.logger.Info("head of a request refused for lack of memory", zap.Stringer("peer", c.RemoteAddr()))
	if err := c.SetWriteDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.Conn, refusal); err != nil {
		return err
	}
	return io.EOF
}
