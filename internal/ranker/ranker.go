package ranker

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Ranker orders addresses for one key.
type Ranker struct{ key string }

// New returns a Ranker for a key.
func New(key string) Ranker { return Ranker{key} }

// Score returns the hash of the key and a name. The highest score ranks first.
func (r Ranker) Score(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.key)) // a hash doesn't fail
	_, _ = h.Write([]byte(name))  // a hash doesn't fail
	return mix(h.Sum64())
}

// mix distributes the bits of a hash. In FNV-1a, the last bytes affect few
// bits, so names that differ only there would always be in the same order.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Order returns the addresses by descending score.
func (r Ranker) Order(addresses []string) []string {
	sums := map[string]uint64{}
	for _, address := range addresses {
		sums[address] = r.Score(address)
	}
	list := slices.Clone(addresses)
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b)) })
	return list
}
