package listener

import "time"

// arrivalTimeout is the time to read bytes that have arrived by the end of the idle time.
const arrivalTimeout = time.Second

// extendIdle extends the read deadline of an idle connection whose least idle time hasn't
// passed, or on which bytes have arrived just by its end. It returns false if the
// connection is to be closed.
func (c *conn) extendIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.idle || c.received {
		return false
	}
	left := time.Duration(0)
	if c.kept && !c.closing {
		left = c.listener.minIdle() - time.Since(c.since)
	}
	if hasInput(c.Conn) {
		left, c.closing = max(left, arrivalTimeout), false
	}
	return left > 0 && c.SetReadDeadline(time.Now().Add(left)) == nil
}
