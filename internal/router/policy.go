package router

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Names of the policies. docs/routing.md compares them.
const (
	RoundRobin    = "round" // in rotation
	LeastRequests = "least" // fewest requests in flight
	TwoChoices    = "two"   // the less loaded of two random targets
	PrefixHash    = "hash"  // by prompt prefix, with bounded load
	LeastCost     = "cost"  // lowest estimated time to the first token
	// DefaultPolicy is the policy used if none is configured.
	DefaultPolicy = LeastCost
)

const (
	// affinityBlocks is the prefix length, in blocks, used by PrefixHash.
	affinityBlocks = 4
	// loadBound is the load of a target, relative to the mean, above which
	// PrefixHash tries the next target.
	loadBound = 1.25
	// joinDelay is the fraction of the mean request duration by which a request
	// that joins a full batch delays the others.
	joinDelay = 0.3
	// costMargin is the difference in cost within which targets are considered
	// equal.
	costMargin = 5 * time.Millisecond
)

// policy returns the index of the chosen candidate.
type policy func(r *Router, q *query, candidates []candidate) int

var policies = map[string]policy{RoundRobin: roundRobin, LeastRequests: leastRequests, TwoChoices: twoChoices, PrefixHash: prefixHash, LeastCost: leastCost}

// Policies returns the names of all policies.
func Policies() []string { return slices.Sorted(maps.Keys(policies)) }

func roundRobin(r *Router, _ *query, candidates []candidate) int {
	return r.turn % len(candidates)
}

// leastRequests chooses one of the candidates with the fewest requests.
func leastRequests(r *Router, _ *query, candidates []candidate) int {
	return lowest(candidates, 0.5, func(c *candidate) float64 { return c.load })
}

// twoChoices compares only two random candidates, so that instances with the
// same reports do not all choose the same target.
func twoChoices(r *Router, _ *query, candidates []candidate) int {
	i := r.cfg.Random(len(candidates))
	if len(candidates) == 1 {
		return i
	}
	j := r.cfg.Random(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].load < candidates[i].load {
		return j
	}
	return i
}

// prefixHash ranks the candidates by rendezvous hashing of the prompt prefix
// and chooses the first whose load is within the bound.
func prefixHash(r *Router, q *query, candidates []candidate) int {
	if len(q.blocks) == 0 {
		return twoChoices(r, q, candidates)
	}
	key := q.blocks[min(affinityBlocks, len(q.blocks))-1]
	sum := 0.0
	for _, c := range candidates {
		sum += c.load
	}
	bound := loadBound*sum/float64(len(candidates)) + 1
	best, score := -1, uint64(0)
	for i, c := range candidates {
		if s := rendezvousScore(key, c.target.Name); c.load <= bound && (best < 0 || s > score) {
			best, score = i, s
		}
	}
	if best < 0 {
		return twoChoices(r, q, candidates)
	}
	return best
}

func rendezvousScore(key uint64, name string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(key >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(name))
	// The murmur3 finalizer distributes names that differ only in the last
	// byte.
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// leastCost chooses the candidate with the shortest estimated time to the first
// token: the time to process its pending prompts and the uncached part of this
// prompt, plus the wait for a slot in its batch.
func leastCost(r *Router, q *query, candidates []candidate) int {
	return lowest(candidates, float64(costMargin), func(c *candidate) float64 {
		slots := c.slots()
		fresh := time.Duration(q.tokens-c.cached) * r.cfg.Prefill
		queue := joinDelay*c.load/slots + max(0, c.load+1-slots)/slots
		return float64(c.backlog(q.now)+fresh) + queue*float64(r.meanDuration)
	})
}

// lowest returns, of the candidates whose value is within the margin of the
// lowest, the one least recently chosen by this instance. Instances with the
// same reports are at different positions in their rotation, so they do not
// choose the same target.
func lowest(candidates []candidate, margin float64, value func(*candidate) float64) int {
	values := make([]float64, len(candidates))
	for i := range candidates {
		values[i] = value(&candidates[i])
	}
	bound := slices.Min(values) + margin
	chosen := -1
	for i, v := range values {
		if v <= bound && (chosen < 0 || candidates[i].lastTurn < candidates[chosen].lastTurn) {
			chosen = i
		}
	}
	return chosen
}
