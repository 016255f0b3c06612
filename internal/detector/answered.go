package detector

import "time"

// answered holds when keys were last answered, in two generations: the older one
// is dropped when the newer one is full, so that lookups and memory are bounded.
type answered struct {
	newer, older map[string]time.Time
}

func (a *answered) add(key string, now time.Time) {
	if len(a.newer) >= maxAnswered {
		a.older, a.newer = a.newer, nil
	}
	if a.newer == nil {
		a.newer = map[string]time.Time{}
	}
	a.newer[key] = now
}

// last returns the time of the last answer if it still counts.
func (a *answered) last(key string, now time.Time) (time.Time, bool) {
	at, ok := a.newer[key]
	if !ok {
		at, ok = a.older[key]
	}
	return at, ok && now.Sub(at) <= answerMemory
}
