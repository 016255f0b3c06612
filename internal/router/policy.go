package router

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Names of the policies. docs/routing.md compares them.
const (
	RoundRobin    = "round" // in turn
	LeastRequests = "least" // fewest requests
	TwoChoices    = "two"   // the better of two random ones, by requests
	PrefixHash    = "hash"  // by the prefix of the prompt, within a bound on the load
	LeastCost     = "cost"  // shortest estimated time to the first token
	// DefaultPolicy is the policy of the product.
	DefaultPolicy = LeastCost
)

const (
	// affinityBlocks is the length of the prefix that the policy hash takes.
	affinityBlocks = 4
	// loadBound is the load of a target, relative to the mean, above which the
	// policy hash goes on to the next one.
	loadBound = 1.25
	// sharing is the part of a holding time by which a request that joins a
	// full batch delays the others.
	sharing = 0.3
	// tie is the difference in cost within which targets count as equal.
	tie = 5 * time.Millisecond
)

// policy returns the index of the chosen candidate.
type policy func(r *Router, q *question, candidates []candidate) int

var policies = map[string]policy{RoundRobin: round, LeastRequests: least, TwoChoices: two, PrefixHash: byHash, LeastCost: byCost}

// Policies returns the names of all policies.
func Policies() []string { return slices.Sorted(maps.Keys(policies)) }

func round(r *Router, _ *question, candidates []candidate) int {
	return r.turn % len(candidates)
}

// least takes one of the candidates with the fewest requests.
func least(r *Router, _ *question, candidates []candidate) int {
	return lowest(candidates, 0.5, func(c *candidate) float64 { return c.load })
}

// two looks at two random candidates only, so that instances that know the
// same reports don't all choose the same target.
func two(r *Router, _ *question, candidates []candidate) int {
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

// byHash orders the candidates by a hash of their name and of the prefix
// (rendezvous hashing), and takes the first whose load is within the bound.
func byHash(r *Router, q *question, candidates []candidate) int {
	if len(q.blocks) == 0 {
		return two(r, q, candidates)
	}
	key := q.blocks[min(affinityBlocks, len(q.blocks))-1]
	sum := 0.0
	for _, c := range candidates {
		sum += c.load
	}
	bound := loadBound*sum/float64(len(candidates)) + 1
	best, score := -1, uint64(0)
	for i, c := range candidates {
		if s := rank(key, c.target.Name); c.load <= bound && (best < 0 || s > score) {
			best, score = i, s
		}
	}
	if best < 0 {
		return two(r, q, candidates)
	}
	return best
}

func rank(key uint64, name string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(key >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(name))
	// The finalizer of murmur3 spreads names that differ in the last byte.
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// byCost takes the candidate with the shortest estimated time to the first
// token: the prompts that it still has to process, the part of this prompt
// that its cache doesn't hold, and the wait for a place in its batch.
func byCost(r *Router, q *question, candidates []candidate) int {
	return lowest(candidates, float64(tie), func(c *candidate) float64 {
		slots := c.slots()
		fresh := time.Duration(q.tokens-c.cached) * r.cfg.Prefill
		queue := sharing*c.load/slots + max(0, c.load+1-slots)/slots
		return float64(c.backlog(q.now)+fresh) + queue*float64(r.hold)
	})
}

// lowest returns one of the candidates whose value is within the margin of the
// lowest: the one that this instance has not chosen for the longest time.
// Instances that know the same reports are at different places of their turn,
// so they don't choose the same target.
func lowest(candidates []candidate, margin float64, value func(*candidate) float64) int {
	values := make([]float64, len(candidates))
	for i := range candidates {
		values[i] = value(&candidates[i])
	}
	bound := slices.Min(values) + margin
	chosen := -1
	for i, v := range values {
		if v <= bound && (chosen < 0 || candidates[i].turn < candidates[chosen].turn) {
			chosen = i
		}
	}
	return chosen
}
