package docs

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/gateway"
	"github.com/papayapond/papayapond/internal/meter"
	"github.com/papayapond/papayapond/internal/reporter"
)

var (
	metricRow = regexp.MustCompile("(?m)^\\| `(papayapond_\\w+)` \\| (\\w+) \\| (.*?) \\|")
	gaugeType = regexp.MustCompile(`(?m)^# TYPE (papayapond_\w+) gauge$`)
	selector  = regexp.MustCompile(`(papayapond_\w+)(?:\{([^}]*)\})?`)
	matcher   = regexp.MustCompile(`(\w+)(?:=~|!=|=)"([^"]*)"`)
	grouping  = regexp.MustCompile(`(?:by|on) \(([^)]*)\)`)
	quoted    = regexp.MustCompile("`([a-z]+)`")
)

// routeGauges returns the names of the gauges of an instance that serves the
// general routes.
func routeGauges() map[string]bool {
	zero := func() float64 { return 0 }
	w := httptest.NewRecorder()
	m := meter.New(meter.Config{InFlight: zero, Version: zero, SinceCoreContact: zero, Overdue: zero, BlockedContents: zero, LimitedTargets: zero, RestingTargets: zero, LinkUtilization: zero})
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	names := map[string]bool{}
	for _, row := range gaugeType.FindAllStringSubmatch(w.Body.String(), -1) {
		names[row[1]] = true
	}
	return names
}

// It guards against rules on metrics, labels, values or bounds that the product
// doesn't have: such a rule never fires. The tables of metrics and of codes are
// compared with the product by the tests of reporter and fault.
func TestAlerts(t *testing.T) {
	labels := map[string][]string{}
	for _, row := range metricRow.FindAllStringSubmatch(read(t, "docs/metrics.md"), -1) {
		names := strings.Split(strings.ReplaceAll(row[3], "`", ""), ", ")
		labels[row[1]] = names
		if row[2] == "histogram" {
			labels[row[1]+"_bucket"] = append(names, "le")
			labels[row[1]+"_count"] = names
		}
	}
	for name := range routeGauges() {
		labels[name] = nil
	}
	var values []string
	for _, word := range quoted.FindAllStringSubmatch(read(t, "docs/metrics.md")+read(t, "docs/errors.md"), -1) {
		values = append(values, word[1])
	}
	r := reporter.New(reporter.Config{})
	r.Observe(gateway.RequestMetrics{Class: "chat", Code: "ok", FirstToken: time.Second, InterToken: []time.Duration{time.Second}})
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	scrape := w.Body.String()
	rules := 0
	for i, block := range strings.Split(read(t, "docs/alerts.md"), "```yaml\n")[1:] {
		block, _, _ = strings.Cut(block, "```")
		rules += strings.Count(block, "- alert: ")
		for _, s := range selector.FindAllStringSubmatch(block, -1) {
			known, ok := labels[s[1]]
			if !ok {
				t.Errorf("block %d: there is no metric %s", i, s[1])
			}
			for _, m := range matcher.FindAllStringSubmatch(s[2], -1) {
				if !slices.Contains(known, m[1]) {
					t.Errorf("block %d: %s has no label %s", i, s[1], m[1])
				}
				for value := range strings.SplitSeq(m[2], "|") {
					if m[1] == "le" && !strings.Contains(scrape, fmt.Sprintf("%s{class=\"chat\",le=%q}", s[1], value)) {
						t.Errorf("block %d: %s has no bound %s", i, s[1], value)
					}
					if m[1] != "le" && !slices.Contains(values, value) {
						t.Errorf("block %d: %s has no %s=%q", i, s[1], m[1], value)
					}
				}
			}
		}
		for _, g := range grouping.FindAllStringSubmatch(block, -1) {
			for name := range strings.SplitSeq(g[1], ", ") {
				if !slices.Contains([]string{"", "account", "instance"}, name) {
					t.Errorf("block %d: grouped by %q", i, name)
				}
			}
		}
	}
	if rules < 15 {
		t.Errorf("got %d rules, want all of the page", rules)
	}
}
