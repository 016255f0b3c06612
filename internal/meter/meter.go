package meter

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/papayapond/papayapond/internal/forwarder"
)

// durationBuckets are the histogram bounds in seconds. They are finest around the
// objectives of 0.1 to 1 s.
var durationBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1, 2, 5, 15}

// Config configures a Meter.
type Config struct {
	// InFlight returns the number of requests in flight, Version the version of
	// the active ruleset, and SinceCoreContact the seconds since the last
	// response of the core instances. They are nil on instances that serve no
	// clients.
	InFlight         func() float64
	Version          func() float64
	SinceCoreContact func() float64
	// Overdue returns the seconds since the earliest deadline that a request in
	// flight has missed.
	Overdue func() float64
	// BlockedContents returns the number of contents that are blocked because they
	// crash targets.
	BlockedContents func() float64
	// LimitedTargets returns the number of targets that have named a limit.
	LimitedTargets func() float64
	// RestingTargets returns the number of targets that have said that they are
	// leaving or that they want no requests for a time.
	RestingTargets func() float64
	// HeldBytes returns the bytes held for requests, MemoryRefusals how often memory
	// was refused that a request needed.
	HeldBytes      func() float64
	MemoryRefusals func() float64
	// LinkUtilization returns the share of the network link in use.
	LinkUtilization func() float64
}

// Meter holds the metrics of an instance. It is safe for concurrent use.
type Meter struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	attempts  prometheus.Counter
	dials     prometheus.Counter
	loans     *prometheus.CounterVec
	lookups   *prometheus.CounterVec
	panics    *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
}

// New returns a Meter with all counters at zero.
func New(cfg Config) *Meter {
	m := &Meter{
		registry:  prometheus.NewRegistry(),
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "papayapond_route_requests_total", Help: "Requests by route, outcome and status."}, []string{"route", "outcome", "status"}),
		attempts:  prometheus.NewCounter(prometheus.CounterOpts{Name: "papayapond_route_sends_total", Help: "Attempts that were sent to targets."}),
		dials:     prometheus.NewCounter(prometheus.CounterOpts{Name: "papayapond_route_dials_total", Help: "New connections to targets."}),
		duration:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "papayapond_route_seconds", Help: "Time from the arrival of a request to its end.", Buckets: durationBuckets}, []string{"route"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "papayapond_route_first_seconds", Help: "Time from the arrival of a request to the first byte of a target's answer.", Buckets: durationBuckets}, []string{"route"}),
	}
	m.loans = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "papayapond_loans_total", Help: "Loans that this instance has asked other entry instances for, by result."}, []string{"result"})
	m.lookups = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "papayapond_stream_lookups_total", Help: "Streams that callers took up and whose software version was looked up, by the source of the answer."}, []string{"source"})
	m.panics = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "papayapond_recovered_panics_total", Help: "Panics that ended one task and not the process, by task."}, []string{"task"})
	m.registry.MustRegister(m.loans, m.lookups, m.panics, m.requests, m.attempts, m.dials, m.duration, m.firstByte)
	m.registerGauge("papayapond_route_flight", "Requests in flight.", cfg.InFlight)
	m.registerGauge("papayapond_route_overdue_seconds", "Time since the earliest deadline that a request in flight has missed.", cfg.Overdue)
	m.registerGauge("papayapond_blocked_contents", "Contents that are blocked because they crash targets.", cfg.BlockedContents)
	m.registerGauge("papayapond_limited_targets", "Targets that have named a limit of requests a second.", cfg.LimitedTargets)
	m.registerGauge("papayapond_resting_targets", "Targets that have said that they are leaving or want no requests for a time.", cfg.RestingTargets)
	m.registerGauge("papayapond_ruleset_version", "Version of the ruleset in force.", cfg.Version)
	m.registerGauge("papayapond_core_silence_seconds", "Time since the core instances answered.", cfg.SinceCoreContact)
	m.registerGauge("papayapond_held_bytes", "Bytes held for requests.", cfg.HeldBytes)
	if cfg.MemoryRefusals != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "papayapond_memory_refusals_total", Help: "Refusals of memory that a request needed."}, cfg.MemoryRefusals))
	}
	m.registerGauge("papayapond_link_share", "Part of the network link in use.", cfg.LinkUtilization)
	return m
}

func (m *Meter) registerGauge(name, help string, value func() float64) {
	if value != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
}

// Observe records a completed request.
func (m *Meter) Observe(r forwarder.Report) {
	m.requests.WithLabelValues(r.Route, r.Outcome, strconv.Itoa(r.Status)).Inc()
	m.attempts.Add(float64(r.Attempts))
	m.duration.WithLabelValues(r.Route).Observe(r.Duration.Seconds())
	if r.FirstByte > 0 {
		m.firstByte.WithLabelValues(r.Route).Observe(r.FirstByte.Seconds())
	}
}

// ObserveDial counts a new connection to a target.
func (m *Meter) ObserveDial() { m.dials.Inc() }

// ObserveLoan counts a requested loan.
func (m *Meter) ObserveLoan(granted bool) {
	result := "refused"
	if granted {
		result = "granted"
	}
	m.loans.WithLabelValues(result).Inc()
}

// ObserveLookup counts a look-up of the software version that began a stream.
func (m *Meter) ObserveLookup(source string) { m.lookups.WithLabelValues(source).Inc() }

// ObservePanic counts a panic that ended one task.
func (m *Meter) ObservePanic(task string) { m.panics.WithLabelValues(task).Inc() }

// Handler returns the HTTP handler for scrapes.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
