package reporter

import (
	"maps"
	"slices"
	"sync"
)

const (
	// MaxAccounts limits the accounts with their own label value, each of which
	// has about 30 series.
	MaxAccounts = 64
	// otherLabel is the label value of all other accounts, unknownLabel that of
	// requests without a known key. They can't collide with account names, which
	// must not contain parentheses.
	otherLabel   = "(other)"
	unknownLabel = "(unknown)"
	// rankInterval is the number of requests after which an account without its
	// own label is compared with the labelled ones again.
	rankInterval = 64
	// replaceFactor is the ratio of an account's requests to those of the least
	// busy labelled account at which it replaces that account. Each replacement
	// loses counts, so it must be rare.
	replaceFactor = 2
)

// ranking decides which accounts have their own label: pinned accounts and those
// with the most requests since the start.
type ranking struct {
	pinned       func() []string
	deleteSeries func(label string)

	mu       sync.Mutex
	counts   map[string]uint64
	hasLabel map[string]bool
}

func newRanking(pinned func() []string, deleteSeries func(string)) *ranking {
	if pinned == nil {
		pinned = func() []string { return nil }
	}
	return &ranking{pinned: pinned, deleteSeries: deleteSeries, counts: map[string]uint64{}, hasLabel: map[string]bool{}}
}

// withLabel counts a request of the account and calls f with its label. The label
// isn't reassigned until f returns.
func (r *ranking) withLabel(account string, f func(label string)) {
	if account == "" {
		f(unknownLabel)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[account]++
	if !r.hasLabel[account] {
		r.assignLabel(account)
	}
	if r.hasLabel[account] {
		f(account)
		return
	}
	f(otherLabel)
}

// labelled returns the accounts with their own label, sorted. It includes pinned
// accounts even before their first request.
func (r *ranking) labelled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := maps.Clone(r.hasLabel)
	pinned := r.pinned()
	for _, n := range pinned[:min(len(pinned), MaxAccounts)] {
		names[n] = true
	}
	sorted := slices.Sorted(maps.Keys(names))
	return sorted[:min(len(sorted), 2*MaxAccounts)]
}

// assignLabel gives the account its own label if there is room. Otherwise a
// pinned account, or one with far more requests than the least busy labelled
// account, replaces the least busy one that isn't pinned.
func (r *ranking) assignLabel(account string) {
	count := r.counts[account]
	if len(r.hasLabel) >= MaxAccounts && count%rankInterval != 1 {
		return
	}
	if len(r.hasLabel) >= MaxAccounts {
		pinned := r.pinned()
		pinned = pinned[:min(len(pinned), MaxAccounts)]
		least := ""
		for name := range r.hasLabel {
			if !slices.Contains(pinned, name) && (least == "" || r.counts[name] < r.counts[least]) {
				least = name
			}
		}
		if least == "" || !slices.Contains(pinned, account) && count < replaceFactor*r.counts[least] {
			return
		}
		delete(r.hasLabel, least)
		r.deleteSeries(least)
	}
	r.hasLabel[account] = true
}
