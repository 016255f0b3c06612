package listener

import "time"

const (
	// lingerTimeout is the time for which bytes are discarded after an answer that
	// closes the connection, and lingerInterval the one between two looks for them.
	lingerTimeout  = 2 * time.Second
	lingerInterval = 10 * time.Millisecond
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// beginLinger closes the write side, and the connection once the peer has closed it or
// after lingerTimeout. Bytes that arrive meanwhile are discarded: once the connection is
// closed, the system answers them with a reset, and drops what it hasn't sent yet. It
// returns false if the connection can't be closed that way.
func (c *conn) beginLinger() bool {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil || c.SetReadDeadline(longAgo) != nil { // ends a read in progress
		return false
	}
	go func() {
		defer c.Conn.Close()
		end := time.Now().Add(lingerTimeout)
		for !discardInput(c.Conn) && time.Now().Before(end) {
			time.Sleep(lingerInterval)
		}
	}()
	return true
}
