package reporter

import "github.com/prometheus/client_golang/prometheus"

// Descriptions of metrics that are read from other parts at each scrape.
var (
	inFlightDesc     = newDesc("papayapond_requests_in_flight", "Requests in flight on this instance.")
	versionDesc      = newDesc("papayapond_configuration_version", "Version of the configuration in force on this instance.")
	staleDesc        = newDesc("papayapond_configuration_stale", "1 if no holder with a quorum has been heard for 10 s, else 0.")
	waitingDesc      = newDesc("papayapond_requests_waiting", "Requests that wait for admission.")
	admittedDesc     = newDesc("papayapond_requests_admitted", "Requests that were admitted and have not ended.")
	ejectedDesc      = newDesc("papayapond_targets_ejected", "Targets that are ejected because of errors or slowness.")
	retriesDesc      = newDesc("papayapond_retries_refused_total", "Retries refused by the retry budget.")
	targetsDesc      = newDesc("papayapond_targets", "Targets that this instance knows, by state.", "state")
	leaderDesc       = newDesc("papayapond_log_leader", "1 if this instance leads the replicated log, else 0.")
	termDesc         = newDesc("papayapond_log_term", "Term of the replicated log.")
	indexDesc        = newDesc("papayapond_log_commit_index", "Index of the last committed log entry.")
	violationsDesc   = newDesc("papayapond_broken_invariants_total", "Changes of the books that would have broken an invariant.")
	stoppedDesc      = newDesc("papayapond_account_stopped", "1 for each client account that a violated invariant has stopped in the zone.", "account")
	zoneTokensDesc   = newDesc("papayapond_zone_tokens", "Tokens in the books of the zone by client account and state.", "account", "state")
	budgetTokensDesc = newDesc("papayapond_budget_tokens", "Tokens of a budget by client account and state, as the log has them.", "account", "state")
)

// targetStates are the target states, which are exported even if the count is 0.
var targetStates = []string{"ready", "leaving", "gone"}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// stateCollector is a prometheus.Collector that reads the state of other parts.
type stateCollector struct {
	cfg      Config
	labelled func() []string
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{inFlightDesc, waitingDesc, admittedDesc, ejectedDesc, retriesDesc, versionDesc, staleDesc, targetsDesc, leaderDesc, termDesc, indexDesc, violationsDesc, stoppedDesc, zoneTokensDesc, budgetTokensDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	if c.cfg.InFlight != nil {
		gauge(inFlightDesc, float64(c.cfg.InFlight()))
	}
	for _, g := range []struct {
		desc *prometheus.Desc
		read func() int
	}{{waitingDesc, c.cfg.Waiting}, {admittedDesc, c.cfg.Admitted}, {ejectedDesc, c.cfg.Ejected}} {
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
		gauge(staleDesc, boolValue(c.cfg.Stale()))
	}
	if c.cfg.Targets != nil {
		counts := c.cfg.Targets()
		for _, s := range targetStates {
			gauge(targetsDesc, float64(counts[s]), s)
		}
	}
	if c.cfg.Log != nil {
		leads, term, index := c.cfg.Log()
		gauge(leaderDesc, boolValue(leads))
		gauge(termDesc, float64(term))
		gauge(indexDesc, float64(index))
	}
	if c.cfg.Violations != nil {
		out <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue, float64(c.cfg.Violations()))
	}
	if c.cfg.Stopped != nil {
		names := c.cfg.Stopped()
		for _, name := range names[:min(len(names), MaxAccounts)] {
			gauge(stoppedDesc, 1, name)
		}
	}
	c.collectTokens(gauge)
}

// collectTokens exports the balances and budgets of accounts with their own label.
func (c *stateCollector) collectTokens(gauge func(*prometheus.Desc, float64, ...string)) {
	for _, name := range c.labelled() {
		if c.cfg.Tally != nil {
			if t := c.cfg.Tally(name); t != nil {
				gauge(zoneTokensDesc, float64(t.Free), name, "free")
				gauge(zoneTokensDesc, float64(t.Allowances), name, "allowances")
				gauge(zoneTokensDesc, float64(t.Billed), name, "billed")
				gauge(zoneTokensDesc, float64(t.Stranded), name, "stranded")
			}
		}
		if c.cfg.Pool != nil {
			if p := c.cfg.Pool(name); p != nil {
				gauge(budgetTokensDesc, float64(p.Prepaid), name, "prepaid")
				gauge(budgetTokensDesc, float64(p.Topups), name, "topups")
				gauge(budgetTokensDesc, float64(p.Unassigned), name, "unassigned")
			}
		}
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
