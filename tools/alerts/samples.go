package alerts

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/prometheus/model/histogram"
	"github.com/prometheus/prometheus/model/labels"
	"github.com/prometheus/prometheus/storage"
	"github.com/prometheus/prometheus/tsdb/chunkenc"
	"github.com/prometheus/prometheus/tsdb/chunks"
	"github.com/prometheus/prometheus/util/annotations"
)

// Samples are recorded series. It implements storage.Queryable.
type Samples struct {
	series           []*storage.SeriesEntry
	interval, length time.Duration
}

// Parse reads series, one a line, in the notation of the rule tests of
// Prometheus: the series and its values at the interval, such as
// `up{instance="a1"} 1x20 0x4`.
func (e *Evaluator) Parse(text string, interval time.Duration) (*Samples, error) {
	s := &Samples{interval: interval}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		l, values, err := e.parser.ParseSeriesDesc(line)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", line, err)
		}
		var list []chunks.Sample
		for i, v := range values {
			if !v.Omitted {
				list = append(list, sample{(time.Duration(i) * interval).Milliseconds(), v.Value})
			}
		}
		s.length = max(s.length, time.Duration(len(values)-1)*interval)
		s.series = append(s.series, storage.NewListSeries(l, list))
	}
	return s, nil
}

// Querier implements storage.Queryable. The engine leaves out samples beyond
// the time range itself.
func (s *Samples) Querier(_, _ int64) (storage.Querier, error) { return querier{s}, nil }

type querier struct{ samples *Samples }

// Select implements storage.Querier.
func (q querier) Select(_ context.Context, _ bool, _ *storage.SelectHints, matchers ...*labels.Matcher) storage.SeriesSet {
	set := &seriesSet{next: -1}
	for _, s := range q.samples.series {
		matches := true
		for _, m := range matchers {
			matches = matches && m.Matches(s.Labels().Get(m.Name))
		}
		if matches {
			set.list = append(set.list, s)
		}
	}
	return set
}

// LabelValues implements storage.Querier.
func (querier) LabelValues(context.Context, string, *storage.LabelHints, ...*labels.Matcher) ([]string, annotations.Annotations, error) {
	return nil, nil, nil
}

// LabelNames implements storage.Querier.
func (querier) LabelNames(context.Context, *storage.LabelHints, ...*labels.Matcher) ([]string, annotations.Annotations, error) {
	return nil, nil, nil
}

// Close implements storage.Querier.
func (querier) Close() error { return nil }

type seriesSet struct {
	list []storage.Series
	next int
}

// Next implements storage.SeriesSet.
func (s *seriesSet) Next() bool {
	s.next++
	return s.next < len(s.list)
}

// At implements storage.SeriesSet.
func (s *seriesSet) At() storage.Series { return s.list[s.next] }

// Err implements storage.SeriesSet.
func (s *seriesSet) Err() error { return nil }

// Warnings implements storage.SeriesSet.
func (s *seriesSet) Warnings() annotations.Annotations { return nil }

// sample is one value and its time in milliseconds.
type sample struct {
	t int64
	f float64
}

// T implements chunks.Sample.
func (s sample) T() int64 { return s.t }

// ST implements chunks.Sample.
func (sample) ST() int64 { return 0 }

// F implements chunks.Sample.
func (s sample) F() float64 { return s.f }

// H implements chunks.Sample.
func (sample) H() *histogram.Histogram { return nil }

// FH implements chunks.Sample.
func (sample) FH() *histogram.FloatHistogram { return nil }

// Type implements chunks.Sample.
func (sample) Type() chunkenc.ValueType { return chunkenc.ValFloat }

// Copy implements chunks.Sample.
func (s sample) Copy() chunks.Sample { return s }
