package holder

import (
	"sync/atomic"
	"time"
)

// unreachableAfter is the time without a reply after which a holder counts as
// unreachable and requests stop waiting for it. Each holder is called once per
// second to copy records.
const unreachableAfter = 2 * time.Second

// liveness tracks when each of the other holders last replied.
type liveness struct {
	now       func() time.Time
	lastReply map[string]*atomic.Int64 // Unix nanoseconds
}

func newLiveness(cfg Config) *liveness {
	c := &liveness{now: cfg.Now, lastReply: map[string]*atomic.Int64{}}
	for _, peer := range cfg.Peers {
		c.lastReply[peer] = &atomic.Int64{}
		c.recordReply(peer)
	}
	return c
}

func (c *liveness) recordReply(other string) { c.lastReply[other].Store(c.now().UnixNano()) }

// isUnreachable reports whether a holder hasn't replied recently.
func (c *liveness) isUnreachable(other string) bool {
	return c.now().UnixNano()-c.lastReply[other].Load() > unreachableAfter.Nanoseconds()
}

// isIsolated reports whether all other holders are unreachable. They are the
// members of the replicated log, so it has no quorum here.
func (c *liveness) isIsolated() bool {
	for peer := range c.lastReply {
		if !c.isUnreachable(peer) {
			return false
		}
	}
	return len(c.lastReply) > 0
}
