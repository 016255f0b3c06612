package reporter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/papayapond/papayapond/internal/gateway"
)

// Objectives of the service level, in seconds. They are bucket bounds, so that
// the part of requests within them can be read off exactly.
const (
	firstTokenObjective = 0.42
	intervalObjective   = 0.049
)

// Config configures a Reporter.
type Config struct {
	// Gauges are read at each scrape.
	Gauges map[string]func() float64
}

// Reporter holds the metrics of one instance. It is safe for concurrent use.
type Reporter struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	billed   prometheus.Counter
	first    *prometheus.HistogramVec
	interval *prometheus.HistogramVec
	total    *prometheus.HistogramVec
}

// New returns a reporter with all counts at zero.
func New(cfg Config) *Reporter {
	r := &Reporter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayapond_requests_total", Help: "Requests of callers by class and answer code.",
		}, []string{"class", "code"}),
		billed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "papayapond_billed_tokens_total", Help: "Tokens billed by this instance.",
		}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayapond_first_token_seconds", Help: "Time to the first token that reached the caller.",
			Buckets: []float64{0.01, 0.02, 0.05, 0.1, 0.2, firstTokenObjective, 1, 2, 5, 10, 30},
		}, []string{"class"}),
		interval: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayapond_token_interval_seconds", Help: "Time between two tokens of a stream.",
			Buckets: []float64{0.002, 0.005, 0.01, 0.02, intervalObjective, 0.1, 0.2, 0.5, 1},
		}, []string{"class"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayapond_request_seconds", Help: "Time to the end of the answer.",
			Buckets: []float64{0.01, 0.05, 0.1, 0.5, 1, 5, 10, 30, 60, 300},
		}, []string{"class"}),
	}
	r.registry.MustRegister(r.requests, r.billed, r.first, r.interval, r.total,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for name, read := range cfg.Gauges {
		r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: "See docs/metrics.md."}, read))
	}
	return r
}

// Observe counts an ended request.
func (r *Reporter) Observe(o gateway.Outcome) {
	r.requests.WithLabelValues(o.Class, o.Code).Inc()
	r.billed.Add(float64(o.Billed))
	r.total.WithLabelValues(o.Class).Observe(o.Total.Seconds())
	if o.First > 0 {
		r.first.WithLabelValues(o.Class).Observe(o.First.Seconds())
	}
	interval := r.interval.WithLabelValues(o.Class)
	for _, d := range o.Between {
		interval.Observe(d.Seconds())
	}
}

// Handler returns the handler for scrapes.
func (r *Reporter) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{Registry: r.registry})
}
