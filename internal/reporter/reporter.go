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

// Config configures a Reporter. Functions that are nil belong to parts that
// this instance doesn't have; their metrics are left out.
type Config struct {
	// InFlight returns the number of requests in flight.
	InFlight func() int
	// Version returns the version of the configuration in force, Stale tells
	// whether no holder with a quorum has been heard lately.
	Version func() uint64
	Stale   func() bool
	// Targets returns the number of targets of the zone by state.
	Targets func() map[string]int
	// Waiting and Admitted return the numbers of requests that wait for
	// admission and that were admitted; Ejected is the number of ejected
	// targets, RefusedRetries that of retries refused by the retry budget.
	Waiting, Admitted, Ejected func() int
	RefusedRetries             func() uint64
	// Log returns whether this instance leads the log, the term and the index
	// of the last committed entry.
	Log func() (leads bool, term, index uint64)
	// Violations returns the number of broken invariants since the start.
	Violations func() uint64
	// Stopped returns the accounts that a violated invariant has stopped here.
	Stopped func() []string
	// Tally returns the books of the zone for an account, Pool the state of
	// its budget; both return nil if they don't know it.
	Tally func(account string) *wire.Tally
	Pool  func(account string) *wire.Pool
	// Pinned returns the accounts that always have a label of their own.
	Pinned func() []string
}

// Reporter holds the metrics of one instance. It is safe for concurrent use.
type Reporter struct {
	registry *prometheus.Registry
	ranking  *ranking
	classes  classMetrics
	accounts accountMetrics

	reservations *prometheus.CounterVec
	calls        *prometheus.CounterVec
	callTime     *prometheus.HistogramVec
	overBound    prometheus.Counter
}

// New returns a reporter with all counts at zero.
func New(cfg Config) *Reporter {
	r := &Reporter{
		registry: prometheus.NewRegistry(), classes: newClassMetrics(), accounts: newAccountMetrics(),
		reservations: counter("papayapond_reservations_total", "Reservations of tokens by outcome, ok or an error code.", "outcome"),
		calls:        counter("papayapond_book_calls_total", "Round trips to holders by call and result, ok or an error code.", "call", "result"),
		callTime:     histogram("papayapond_book_call_seconds", "Time of a round trip to a holder.", callBuckets, "call"),
		overBound: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "papayapond_usage_over_bound_total", Help: "Answers whose reported usage exceeded the bound; the bound is billed.",
		}),
	}
	r.ranking = newRanking(cfg.Pinned, r.accounts.forget)
	r.registry.MustRegister(r.reservations, r.calls, r.callTime, r.overBound,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.registry.MustRegister(r.classes.all()...)
	r.registry.MustRegister(r.accounts.all()...)
	r.registry.MustRegister(&stateCollector{cfg: cfg, labelled: r.ranking.labelled})
	return r
}

// Observe counts an ended request.
func (r *Reporter) Observe(o gateway.RequestMetrics) {
	if o.ExceededBound {
		r.overBound.Inc()
	}
	r.classes.observe(o)
	r.ranking.with(o.Account, func(label string) { r.accounts.observe(label, o) })
}

// ObserveReservation counts the outcome of a reservation.
func (r *Reporter) ObserveReservation(err error) {
	r.reservations.WithLabelValues(result(err, nil)).Inc()
}

// ObserveCall counts a round trip to a holder that started at the given time.
func (r *Reporter) ObserveCall(call string, start time.Time, refused *wire.Fault, err error) {
	r.calls.WithLabelValues(call, result(err, refused)).Inc()
	r.callTime.WithLabelValues(call).Observe(time.Since(start).Seconds())
}

// Handler returns the handler for scrapes.
func (r *Reporter) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{Registry: r.registry})
}

// result returns the label for the outcome of a call. The codes are those of
// the list in package fault, so that the label set is bounded.
func result(err error, refused *wire.Fault) string {
	switch {
	case err != nil:
		return fault.Of(err).Code()
	case refused != nil:
		return fault.Parse(refused.Code).Code()
	}
	return codeOK
}
