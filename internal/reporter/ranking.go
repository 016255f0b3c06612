package reporter

import (
	"maps"
	"slices"
	"sync"
)

const (
	// MaxAccounts bounds the accounts with a label of their own. Each of them
	// costs about 30 series.
	MaxAccounts = 64
	// otherLabel stands for all other accounts, unknownLabel for requests
	// without a known key. Neither is a name that only one account could have:
	// the parentheses are not allowed in names of a configuration.
	otherLabel   = "(other)"
	unknownLabel = "(unknown)"
	// rankInterval is the number of requests of an account without a label
	// between two comparisons with the others.
	rankInterval = 64
	// lead is how many times the requests of the least busy account an account
	// needs to take its label. Each change of a label loses counts, so it must
	// be rare.
	lead = 2
)

// ranking decides which accounts have a label of their own: the pinned ones
// and those with the most requests since the start.
type ranking struct {
	pinned func() []string
	forget func(label string)

	mu     sync.Mutex
	counts map[string]uint64
	own    map[string]bool
}

func newRanking(pinned func() []string, forget func(string)) *ranking {
	if pinned == nil {
		pinned = func() []string { return nil }
	}
	return &ranking{pinned: pinned, forget: forget, counts: map[string]uint64{}, own: map[string]bool{}}
}

// with calls f with the label for a request of the account. The label keeps
// its meaning until f returns.
func (r *ranking) with(account string, f func(label string)) {
	if account == "" {
		f(unknownLabel)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[account]++
	if !r.own[account] {
		r.admit(account)
	}
	if r.own[account] {
		f(account)
		return
	}
	f(otherLabel)
}

// labelled returns the accounts with a label of their own, sorted. The pinned
// ones are among them before their first request.
func (r *ranking) labelled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := maps.Clone(r.own)
	pinned := r.pinned()
	for _, n := range pinned[:min(len(pinned), MaxAccounts)] {
		names[n] = true
	}
	sorted := slices.Sorted(maps.Keys(names))
	return sorted[:min(len(sorted), 2*MaxAccounts)]
}

// admit gives the account a label if there is room, if it is pinned, or if it
// has far more requests than the least busy account that has one.
func (r *ranking) admit(account string) {
	count := r.counts[account]
	if len(r.own) >= MaxAccounts && count%rankInterval != 1 {
		return
	}
	if len(r.own) >= MaxAccounts {
		pinned := r.pinned()
		pinned = pinned[:min(len(pinned), MaxAccounts)]
		least := ""
		for name := range r.own {
			if !slices.Contains(pinned, name) && (least == "" || r.counts[name] < r.counts[least]) {
				least = name
			}
		}
		if least == "" || !slices.Contains(pinned, account) && count < lead*r.counts[least] {
			return
		}
		delete(r.own, least)
		r.forget(least)
	}
	r.own[account] = true
}
