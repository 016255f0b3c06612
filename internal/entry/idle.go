package entry

import "time"

// minIdle returns the time for which the ruleset in force lets callers keep an idle
// connection.
func (e *Entry) minIdle() time.Duration {
	if r := e.rules.Load(); r != nil {
		return r.Config().IdleTimeout
	}
	return 0
}
