package reporter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/gateway"
	"github.com/papayapond/papayapond/internal/wire"
)

// Config configures a Reporter. A function is nil if this instance doesn't have
// the part that provides it; its metrics are then omitted.
type Config struct {
	// InFlight returns the number of requests in flight.
	InFlight func() int
	// Version returns the version of the active configuration. Stale reports
	// whether there was no recent contact with a holder that has a quorum.
	Version func() uint64
	Stale   func() bool
	// Targets returns the number of targets of the zone by state.
	Targets func() map[string]int
	// Waiting and Admitted return the number of requests that wait for
	// admission and that were admitted and have not ended. Ejected returns the
	// number of ejected targets, RefusedRetries that of retries refused by the
	// retry budget.
	Waiting, Admitted, Ejected func() int
	RefusedRetries             func() uint64
	// Log returns whether this instance is the leader of the replicated log,
	// its term and its commit index.
	Log func() (leads bool, term, index uint64)
	// Violations returns the number of invariant violations since the start.
	Violations func() uint64
	// Stopped returns the accounts stopped in the zone by a violated invariant.
	Stopped func() []string
	// Tally returns the balances of an account in the zone, Pool the state of
	// its budget. Both return nil if the account is unknown.
	Tally func(account string) *wire.Tally
	Pool  func(account string) *wire.Pool
	// Pinned returns the accounts that always have their own label.
	Pinned func() []string
}

// Reporter holds the metrics of an instance. It is safe for concurrent use.
type Reporter struct {
	registry *prometheus.Registry
	ranking  *ranking
	classes  classMetrics
	accounts accountMetrics

	reservations *prometheus.CounterVec
	calls        *prometheus.CounterVec
	callDuration *prometheus.HistogramVec
	overBound    prometheus.Counter
}

// New returns a Reporter with all counters at zero.
func New(cfg Config) *Reporter {
	r := &Reporter{
		registry: prometheus.NewRegistry(), classes: newClassMetrics(), accounts: newAccountMetrics(),
		reservations: counter("papayapond_reservations_total", "Reservations of tokens by outcome, ok or an error code.", "outcome"),
		calls:        counter("papayapond_book_calls_total", "Round trips to holders by call and result, ok or an error code.", "call", "result"),
		callDuration: histogram("papayapond_book_call_seconds", "Time of a round trip to a holder.", callBuckets, "call"),
		overBound: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "papayapond_usage_over_bound_total", Help: "Answers whose reported usage exceeded the bound; the bound is billed.",
		}),
	}
	r.ranking = newRanking(cfg.Pinned, r.accounts.deleteSeries)
	r.registry.MustRegister(r.reservations, r.calls, r.callDuration, r.overBound,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.registry.MustRegister(r.classes.collectors()...)
	r.registry.MustRegister(r.accounts.collectors()...)
	r.registry.MustRegister(&stateCollector{cfg: cfg, labelled: r.ranking.labelled})
	return r
}

// Observe records a completed request.
func (r *Reporter) Observe(o gateway.RequestMetrics) {
	if o.ExceededBound {
		r.overBound.Inc()
	}
	r.classes.observe(o)
	r.ranking.withLabel(o.Account, func(label string) { r.accounts.observe(label, o) })
}

// ObserveReservation counts the outcome of a reservation.
func (r *Reporter) ObserveReservation(err error) {
	r.reservations.WithLabelValues(resultLabel(err, nil)).Inc()
}

// ObserveCall records a round trip to a holder that began at start.
func (r *Reporter) ObserveCall(call string, start time.Time, refused *wire.Fault, err error) {
	r.calls.WithLabelValues(call, resultLabel(err, refused)).Inc()
	r.callDuration.WithLabelValues(call).Observe(time.Since(start).Seconds())
}

// Handler returns the HTTP handler for scrapes.
func (r *Reporter) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{Registry: r.registry})
}

// resultLabel returns the label value for the outcome of a call. Codes are mapped
// to those of package fault, which limits the number of label values.
func resultLabel(err error, refused *wire.Fault) string {
	switch {
	case err != nil:
		return fault.Of(err).Code()
	case refused != nil:
		return fault.Parse(refused.Code).Code()
	}
	return codeOK
}
