package burner

import (
	"slices"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/venture"
)

// failures are the answers for which the fleet is to blame. Refusals for a
// reason that lies with the caller, the budget or the term count neither as
// good nor as bad.
var failures = []fault.Kind{
	fault.Crashed, fault.Overloaded, fault.Draining, fault.Unavailable, fault.Isolated, fault.Expired, fault.Unsettled,
	fault.Interrupted, fault.Uncertain, fault.Fenced, fault.Corrupt, fault.Broken, fault.Internal,
}

func isAnswer(code string) bool { return code == "ok" || code == "replayed" }

func isFailure(code string) bool {
	return slices.ContainsFunc(failures, func(k fault.Kind) bool { return k.Code() == code })
}

func isRefusal(code string) bool { return code == fault.Exhausted.Code() }

// measure returns the bad and all events of an objective in a window. Books
// are the present tokens of the accounts.
func measure(o venture.Objective, grown figures, books map[string]budget) (bad, all float64) {
	whole := func(detail string) bool { return detail == wholeBucket }
	switch o.Measure {
	case venture.FirstToken, venture.BetweenTokens:
		metric, owner := timesOf(o)
		bound := grown.bound(metric, float64(o.Limit)/1000)
		all = grown.sum(metric, owner, whole)
		return all - grown.sum(metric, owner, func(detail string) bool { return detail == bound }), all
	case venture.Availability:
		metric, owner := requestsOf(o)
		bad = grown.sum(metric, owner, isFailure)
		return bad, bad + grown.sum(metric, owner, isAnswer)
	case venture.FalseRefusals:
		metric, owner := requestsOf(o)
		all = grown.sum(metric, owner, func(string) bool { return true })
		if o.Class != "" {
			return grown.sum(metric, owner, isRefusal), all
		}
		return falseRefusals(o.Account, grown, books), all
	}
	return 0, 0
}

// falseRefusals returns the refusals for budget of an account, or of all,
// without those of accounts whose whole budget is billed. It is an upper
// bound: a refusal of a request that is greater than the unspent rest counts
// too, because the metrics don't hold the sizes of requests.
func falseRefusals(account string, grown figures, books map[string]budget) float64 {
	names := []string{account}
	if account == "" {
		names = grown.owners(requestsByAccount)
	}
	var bad float64
	for _, name := range names {
		if b, ok := books[name]; ok && b.isKnown && b.billed >= b.prepaid {
			continue
		}
		bad += grown.sum(requestsByAccount, name, isRefusal)
	}
	return bad
}

// budget is what the books say about one account, in tokens.
type budget struct {
	prepaid, billed float64
	// zones counts the zones that billed is the sum of.
	zones int
	// isKnown tells that all instances have answered and all members of the
	// log have the books of their zone. Without it billed is a lower bound.
	isKnown bool
}

// budgets reads the books of the last scrape. Each zone's holder knows what
// the zone has billed. All members of the log know the budgets; the one with
// the highest commit index is the most recent.
func budgets(s scrape) map[string]budget {
	recent, index := figures{}, -1.0
	members := 0
	books := map[string]budget{}
	for _, values := range s.Instances {
		for _, name := range values.owners(zoneTokens) {
			b := books[name]
			b.zones++
			b.billed += values[series(zoneTokens, name, "billed")]
			books[name] = b
		}
		if i, ok := values[series(commitIndex, "", "")]; ok {
			members++
			if i > index {
				recent, index = values, i
			}
		}
	}
	result := map[string]budget{}
	for _, name := range recent.owners(budgetTokens) {
		b := books[name]
		b.prepaid = recent[series(budgetTokens, name, "prepaid")] + recent[series(budgetTokens, name, "topups")]
		b.isKnown = len(s.Missing) == 0 && b.zones == members
		result[name] = b
	}
	return result
}

// overspend returns the tokens billed beyond the budget, of one account or of
// all, and whether that is certain: false if an instance is missing and what
// the others have billed is still within the budget, or if the account has no
// books. The metrics cover the accounts with a label of their own.
func overspend(o venture.Objective, books map[string]budget) (tokens float64, certain bool) {
	certain = len(books) > 0
	if _, ok := books[o.Account]; o.Account != "" && !ok {
		return 0, false
	}
	for name, b := range books {
		if o.Account != "" && o.Account != name {
			continue
		}
		certain = certain && b.isKnown
		tokens += max(0, b.billed-b.prepaid)
	}
	return tokens, certain || tokens > 0
}
