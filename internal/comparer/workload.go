package comparer

import (
	"math/rand/v2"
	"time"
)

const (
	// Bounds of a request on its cost, in tokens, and the least part of the
	// bound that it uses.
	leastBound = 200
	mostBound  = 1600
	leastUse   = 0.3
	// Time that a request runs for.
	leastRun = 200 * time.Millisecond
	mostRun  = 3 * time.Second
)

// event is the arrival of one request.
type event struct {
	at       time.Duration
	zone     int
	instance int // within the zone
	account  int
	bound    int64
	used     int64
	run      time.Duration
}

func generate(cfg Config) []event {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	var events []event
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second))
		if at > cfg.Length {
			return events
		}
		e := event{at: at, account: pick(rng, cfg.Accounts)}
		e.zone = cfg.Accounts[e.account].Home
		if other := len(cfg.Zones) - 1; other > 0 && rng.Float64() >= cfg.Skew {
			e.zone = (e.zone + 1 + rng.IntN(other)) % len(cfg.Zones)
		}
		e.instance = rng.IntN(cfg.Zones[e.zone])
		e.bound = leastBound + rng.Int64N(mostBound-leastBound+1)
		e.used = int64(float64(e.bound) * (leastUse + (1-leastUse)*rng.Float64()))
		e.run = leastRun + time.Duration(rng.Int64N(int64(mostRun-leastRun)))
		events = append(events, e)
	}
}

func pick(rng *rand.Rand, accounts []Account) int {
	sum := 0.0
	for _, a := range accounts {
		sum += a.Weight
	}
	at := rng.Float64() * sum
	for i, a := range accounts {
		if at < a.Weight {
			return i
		}
		at -= a.Weight
	}
	return len(accounts) - 1
}
