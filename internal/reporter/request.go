package reporter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/gateway"
)

// Service level objectives, in seconds. They are bucket bounds, so the share of
// requests that meet them is exact.
const (
	firstTokenObjective = 0.42
	intervalObjective   = 0.049
)

// Code of a successful response, and run value of a code that isn't a fault.
const (
	codeOK      = "ok"
	runComplete = "yes"
)

var (
	firstBuckets    = []float64{0.01, 0.02, 0.05, 0.1, 0.2, firstTokenObjective, 1, 2, 5, 10, 30}
	intervalBuckets = []float64{0.002, 0.005, 0.01, 0.02, intervalObjective, 0.1, 0.2, 0.5, 1}
	totalBuckets    = []float64{0.01, 0.05, 0.1, 0.5, 1, 5, 10, 30, 60, 300}
	callBuckets     = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1, 5}
)

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}

// classMetrics are the metrics by request class.
type classMetrics struct {
	requests, billed       *prometheus.CounterVec
	first, interval, total *prometheus.HistogramVec
}

func newClassMetrics() classMetrics {
	return classMetrics{
		requests: counter("papayapond_requests_total", "Requests of callers by class, answer code and run value.", "class", "code", "run"),
		billed:   counter("papayapond_billed_tokens_total", "Tokens billed by this instance.", "class"),
		first:    histogram("papayapond_first_token_seconds", "Time to the first token of a stream that reached the caller.", firstBuckets, "class"),
		interval: histogram("papayapond_token_interval_seconds", "Time between two tokens of a stream.", intervalBuckets, "class"),
		total:    histogram("papayapond_request_seconds", "Time to the end of the answer.", totalBuckets, "class"),
	}
}

func (m classMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.billed, m.first, m.interval, m.total}
}

func (m classMetrics) observe(o gateway.RequestMetrics) {
	m.requests.WithLabelValues(o.Class, o.Code, runLabel(o.Code)).Inc()
	m.billed.WithLabelValues(o.Class).Add(float64(o.Billed))
	m.total.WithLabelValues(o.Class).Observe(o.Total.Seconds())
	observe(m.first, m.interval, o.Class, o)
}

// runLabel returns the run value of a response code.
func runLabel(code string) string {
	for _, k := range fault.Kinds() {
		if k.Code() == code {
			return k.Ran()
		}
	}
	return runComplete
}

// accountMetrics are the metrics by client account, for a limited number of
// accounts.
type accountMetrics struct {
	requests, refusals, billed *prometheus.CounterVec
	first, interval            *prometheus.HistogramVec
}

func newAccountMetrics() accountMetrics {
	const label = "account"
	return accountMetrics{
		requests: counter("papayapond_account_requests_total", "Requests by client account and answer code.", label, "code"),
		refusals: counter("papayapond_budget_refusals_total", "Requests refused for budget by client account.", label),
		billed:   counter("papayapond_account_billed_tokens_total", "Tokens billed by this instance by client account.", label),
		first:    histogram("papayapond_account_first_token_seconds", "Time to the first token of a stream by client account.", firstBuckets, label),
		interval: histogram("papayapond_account_token_interval_seconds", "Time between two tokens by client account.", intervalBuckets, label),
	}
}

func (m accountMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.refusals, m.billed, m.first, m.interval}
}

func (m accountMetrics) observe(label string, o gateway.RequestMetrics) {
	m.requests.WithLabelValues(label, o.Code).Inc()
	m.billed.WithLabelValues(label).Add(float64(o.Billed))
	refusals := m.refusals.WithLabelValues(label)
	if o.Code == fault.Exhausted.Code() {
		refusals.Inc()
	}
	observe(m.first, m.interval, label, o)
}

// deleteSeries deletes the series of an account.
func (m accountMetrics) deleteSeries(label string) {
	labels := prometheus.Labels{"account": label}
	for _, v := range []interface {
		DeletePartialMatch(prometheus.Labels) int
	}{m.requests, m.refusals, m.billed, m.first, m.interval} {
		v.DeletePartialMatch(labels)
	}
}

// observe records the token times of a request.
func observe(first, interval *prometheus.HistogramVec, label string, o gateway.RequestMetrics) {
	if o.FirstToken > 0 {
		first.WithLabelValues(label).Observe(o.FirstToken.Seconds())
	}
	for _, d := range o.InterToken {
		interval.WithLabelValues(label).Observe(d.Seconds())
	}
}
