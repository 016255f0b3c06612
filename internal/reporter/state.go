package reporter

import "github.com/prometheus/client_golang/prometheus"

// Descriptions of the metrics that are read from other parts at each scrape.
var (
	flightDesc  = describe("papayapond_requests_in_flight", "Requests in flight on this instance.")
	versionDesc = describe("papayapond_configuration_version", "Version of the configuration in force on this instance.")
	staleDesc   = describe("papayapond_configuration_stale", "1 if no holder with a quorum has been heard for 10 s, else 0.")
	waitingDesc = describe("papayapond_requests_waiting", "Requests that wait for admission.")
	admitDesc   = describe("papayapond_requests_admitted", "Requests that were admitted and have not ended.")
	ejectedDesc = describe("papayapond_targets_ejected", "Targets that are ejected because of errors or slowness.")
	retriesDesc = describe("papayapond_retries_refused_total", "Retries refused by the retry budget.")
	targetsDesc = describe("papayapond_targets", "Targets that this instance knows, by state.", "state")
	leaderDesc  = describe("papayapond_log_leader", "1 if this instance leads the replicated log, else 0.")
	termDesc    = describe("papayapond_log_term", "Term of the replicated log.")
	indexDesc   = describe("papayapond_log_commit_index", "Index of the last committed log entry.")
	brokenDesc  = describe("papayapond_broken_invariants_total", "Changes of the books that would have broken an invariant.")
	stoppedDesc = describe("papayapond_account_stopped", "1 for each client account that a violated invariant has stopped in the zone.", "account")
	booksDesc   = describe("papayapond_zone_tokens", "Tokens in the books of the zone by client account and state.", "account", "state")
	poolDesc    = describe("papayapond_budget_tokens", "Tokens of a budget by client account and state, as the log has them.", "account", "state")
)

// states are the states of targets that are always shown, also with 0.
var states = []string{"ready", "leaving", "gone"}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// stateCollector reads the state of the other parts at each scrape.
type stateCollector struct {
	cfg      Config
	labelled func() []string
}

// Describe sends the descriptions.
func (c *stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{flightDesc, waitingDesc, admitDesc, ejectedDesc, retriesDesc, versionDesc, staleDesc, targetsDesc, leaderDesc, termDesc, indexDesc, brokenDesc, stoppedDesc, booksDesc, poolDesc} {
		out <- d
	}
}

// Collect sends the present values.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	if c.cfg.InFlight != nil {
		gauge(flightDesc, float64(c.cfg.InFlight()))
	}
	for _, g := range []struct {
		desc *prometheus.Desc
		read func() int
	}{{waitingDesc, c.cfg.Waiting}, {admitDesc, c.cfg.Admitted}, {ejectedDesc, c.cfg.Ejected}} {
		if g.read != nil {
			gauge(g.desc, float64(g.read()))
		}
	}
	if c.cfg.RefusedRetries != nil {
		out <- prometheus.MustNewConstMetric(retriesDesc, prometheus.CounterValue, float64(c.cfg.RefusedRetries()))
	}
	if c.cfg.Version != nil {
		gauge(versionDesc, float64(c.cfg.Version()))
	}
	if c.cfg.Stale != nil {
		gauge(staleDesc, number(c.cfg.Stale()))
	}
	if c.cfg.Targets != nil {
		counts := c.cfg.Targets()
		for _, s := range states {
			gauge(targetsDesc, float64(counts[s]), s)
		}
	}
	if c.cfg.Log != nil {
		leads, term, index := c.cfg.Log()
		gauge(leaderDesc, number(leads))
		gauge(termDesc, float64(term))
		gauge(indexDesc, float64(index))
	}
	if c.cfg.Violations != nil {
		out <- prometheus.MustNewConstMetric(brokenDesc, prometheus.CounterValue, float64(c.cfg.Violations()))
	}
	if c.cfg.Stopped != nil {
		names := c.cfg.Stopped()
		for _, name := range names[:min(len(names), MaxAccounts)] {
			gauge(stoppedDesc, 1, name)
		}
	}
	c.tokens(gauge)
}

// tokens reports the books of the accounts with a label of their own.
func (c *stateCollector) tokens(gauge func(*prometheus.Desc, float64, ...string)) {
	for _, name := range c.labelled() {
		if c.cfg.Tally != nil {
			if t := c.cfg.Tally(name); t != nil {
				gauge(booksDesc, float64(t.Free), name, "free")
				gauge(booksDesc, float64(t.Allowances), name, "allowances")
				gauge(booksDesc, float64(t.Billed), name, "billed")
				gauge(booksDesc, float64(t.Stranded), name, "stranded")
			}
		}
		if c.cfg.Pool != nil {
			if p := c.cfg.Pool(name); p != nil {
				gauge(poolDesc, float64(p.Prepaid), name, "prepaid")
				gauge(poolDesc, float64(p.Topups), name, "topups")
				gauge(poolDesc, float64(p.Unassigned), name, "unassigned")
			}
		}
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
