package balancer

import (
	"cmp"
	"slices"

	"github.com/papayapond/papayapond/internal/ranker"
)

const (
	// sampled is the number of engines that are compared for a request, besides
	// those that are known to keep its shared parts. All instances have the same
	// reports, which are up to half a second old: if each took the best of all
	// engines, all would take the same one.
	sampled = 2
	// subset is the number of engines that an instance samples from. It keeps
	// connections to these.
	subset = 10
)

// nearest returns the targets of a pool that this instance samples from: those
// of its zone first, in an order of its own.
func (b *Balancer) nearest(list []*target) []*target {
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
	return near[:min(len(near), subset)]
}

// sample calls try with the home of the prompt, the targets that are known to
// keep its shared parts, and some of those near. The caller holds mu.
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
	near := b.near[q.Pool]
	if len(near) <= sampled {
		for _, t := range near {
			try(t)
		}
		return
	}
	for i := range sampled {
		// The order of near doesn't matter.
		j := i + b.cfg.Random(len(near)-i)
		near[i], near[j] = near[j], near[i]
		try(near[i])
	}
}
