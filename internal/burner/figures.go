package burner

import (
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/venture"
)

// Metrics that the report reads, see docs/metrics.md.
const (
	requestsByClass    = "papayapond_requests_total"
	requestsByAccount  = "papayapond_account_requests_total"
	firstByClass       = "papayapond_first_token_seconds"
	firstByAccount     = "papayapond_account_first_token_seconds"
	intervalsByClass   = "papayapond_token_interval_seconds"
	intervalsByAccount = "papayapond_account_token_interval_seconds"
	zoneTokens         = "papayapond_zone_tokens"
	budgetTokens       = "papayapond_budget_tokens"
	commitIndex        = "papayapond_log_commit_index"
	wholeBucket        = "+Inf"
)

// figures are values by series. A series is "metric owner detail": the owner
// is a class or an account, the detail a code, a state or the bound of a
// bucket. None of them contains a space.
type figures map[string]float64

func series(metric, owner, detail string) string { return metric + " " + owner + " " + detail }

// parse reads the text format. Of a histogram it keeps the buckets, whose
// values are cumulative.
func parse(text io.Reader) (figures, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "metrics: %v", err)
	}
	values := figures{}
	for name, family := range families {
		if !strings.HasPrefix(name, "papayapond_") {
			continue
		}
		for _, m := range family.GetMetric() {
			owner, detail := "", ""
			for _, l := range m.GetLabel() {
				switch l.GetName() {
				case "class", "account":
					owner = l.GetValue()
				case "code", "state":
					detail = l.GetValue()
				}
			}
			switch {
			case m.Histogram != nil:
				for _, b := range m.Histogram.GetBucket() {
					values[series(name, owner, strconv.FormatFloat(b.GetUpperBound(), 'g', -1, 64))] += float64(b.GetCumulativeCount())
				}
			case m.Counter != nil:
				values[series(name, owner, detail)] += m.Counter.GetValue()
			case m.Gauge != nil:
				values[series(name, owner, detail)] += m.Gauge.GetValue()
			}
		}
	}
	return values, nil
}

// sum adds the values of a metric whose owner and detail match; an empty owner
// stands for all.
func (f figures) sum(metric, owner string, match func(detail string) bool) float64 {
	var total float64
	for key, value := range f {
		if parts := strings.Split(key, " "); parts[0] == metric && (owner == "" || parts[1] == owner) && match(parts[2]) {
			total += value
		}
	}
	return total
}

// bound returns the greatest bound of a bucket of the metric that isn't above
// the limit, as a detail, or "" if there is none. Requests between that bound
// and the limit count as too slow, so that the report never flatters.
func (f figures) bound(metric string, limit float64) string {
	best, found := "", -1.0
	for key := range f {
		parts := strings.Split(key, " ")
		if parts[0] != metric {
			continue
		}
		if le, err := strconv.ParseFloat(parts[2], 64); err == nil && le <= limit*(1+1e-9) && le > found {
			best, found = parts[2], le
		}
	}
	return best
}

// owners returns the owners of a metric.
func (f figures) owners(metric string) []string {
	owners := map[string]bool{}
	for key := range f {
		if parts := strings.Split(key, " "); parts[0] == metric {
			owners[parts[1]] = true
		}
	}
	return slices.Sorted(maps.Keys(owners))
}

// only returns the series that the objectives need, so that the file with the
// scrapes stays small.
func (f figures) only(objectives []venture.Objective) figures {
	kept := figures{}
	keep := func(metric, owner string, match func(detail string) bool) {
		for key, value := range f {
			if parts := strings.Split(key, " "); parts[0] == metric && (owner == "" || parts[1] == owner) && match(parts[2]) {
				kept[key] = value
			}
		}
	}
	all := func(string) bool { return true }
	keep(commitIndex, "", all)
	for _, o := range objectives {
		switch o.Measure {
		case venture.FirstToken, venture.BetweenTokens:
			metric, owner := timesOf(o)
			bound := f.bound(metric, float64(o.Limit)/1000)
			keep(metric, owner, func(detail string) bool { return detail == bound || detail == wholeBucket })
		case venture.Availability:
			metric, owner := requestsOf(o)
			keep(metric, owner, all)
		default:
			keep(requestsByClass, o.Class, all)
			keep(requestsByAccount, o.Account, all)
			keep(zoneTokens, o.Account, all)
			keep(budgetTokens, o.Account, all)
		}
	}
	return kept
}

// timesOf returns the histogram of an objective and its owner.
func timesOf(o venture.Objective) (metric, owner string) {
	switch {
	case o.Measure == venture.FirstToken && o.Account != "":
		return firstByAccount, o.Account
	case o.Measure == venture.FirstToken:
		return firstByClass, o.Class
	case o.Account != "":
		return intervalsByAccount, o.Account
	}
	return intervalsByClass, o.Class
}

// requestsOf returns the counter of requests of an objective and its owner.
func requestsOf(o venture.Objective) (metric, owner string) {
	if o.Account != "" {
		return requestsByAccount, o.Account
	}
	return requestsByClass, o.Class
}
