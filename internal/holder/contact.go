package holder

import (
	"sync/atomic"
	"time"
)

// silence is the time without an answer after which no request waits for
// another holder. Each of them is called once per second, to copy records.
const silence = 2 * time.Second

// contacts knows when the other holders answered last, in nanoseconds.
type contacts struct {
	now   func() time.Time
	heard map[string]*atomic.Int64
}

func newContacts(cfg Config) *contacts {
	c := &contacts{now: cfg.Now, heard: map[string]*atomic.Int64{}}
	for _, other := range cfg.Peers {
		c.heard[other] = &atomic.Int64{}
		c.hear(other)
	}
	return c
}

func (c *contacts) hear(other string) { c.heard[other].Store(c.now().UnixNano()) }

// isSilent tells whether another holder has not answered for a while.
func (c *contacts) isSilent(other string) bool {
	return c.now().UnixNano()-c.heard[other].Load() > silence.Nanoseconds()
}

// isAlone tells whether none of the other holders has answered for a while.
// The members of the log are the holders, so that it has no quorum here.
func (c *contacts) isAlone() bool {
	for other := range c.heard {
		if !c.isSilent(other) {
			return false
		}
	}
	return len(c.heard) > 0
}
