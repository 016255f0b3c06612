package balancer

import (
	"cmp"
	"slices"

	"github.com/papayapond/papayapond/internal/ranker"
)

const (
	// sampleSize is the number of engines compared for a request, in addition
	// to those known to cache its shared parts. All instances have the same
	// reports, up to 500 ms old, and would all choose the same engine if each
	// compared all engines.
	sampleSize = 2
	// subsetSize is the number of engines that an instance samples from. It
	// keeps connections to these.
	subsetSize = 10
)

// subset returns the targets of a pool that this instance samples from: local
// targets first, in an order specific to this instance.
func (b *Balancer) subset(list []*target) []*target {
	rank := ranker.New(b.cfg.Self)
	score := map[*target]uint64{}
	for _, t := range list {
		score[t] = rank.Score(t.listing.Id)
	}
	near := slices.Clone(list)
	slices.SortFunc(near, func(s, t *target) int {
		if home := s.listing.Zone == b.cfg.Zone; home != (t.listing.Zone == b.cfg.Zone) {
			if home {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score[t], score[s]), cmp.Compare(s.listing.Id, t.listing.Id))
	})
	return near[:min(len(near), subsetSize)]
}

// sample calls try with the home target of the prompt, the targets known to
// cache its shared parts, and a random sample of the subset. The caller holds
// mu.
func (b *Balancer) sample(q Query, list []*target, home *target, try func(*target)) {
	try(home)
	if len(q.Parts) > 1 {
		key := q.Parts[len(q.Parts)-2].ID
		for _, t := range list {
			if t != home && t.parts[key] != nil {
				try(t)
			}
		}
	}
	near := b.subsets[q.Pool]
	if len(near) <= sampleSize {
		for _, t := range near {
			try(t)
		}
		return
	}
	for i := range sampleSize {
		// The order of near does not matter.
		j := i + b.cfg.Random(len(near)-i)
		near[i], near[j] = near[j], near[i]
		try(near[i])
	}
}
