package alerts

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/model/rulefmt"
	"github.com/prometheus/prometheus/promql"
	"github.com/prometheus/prometheus/promql/parser"
)

const (
	// maxSamples and timeout bound one query.
	maxSamples = 50_000_000
	timeout    = time.Minute
)

// Evaluator holds the rules of a page.
type Evaluator struct {
	rules  []rulefmt.Rule
	engine *promql.Engine
	parser parser.Parser
}

// New reads the rules from the yaml blocks of a Markdown page, which together
// are one rule file.
func New(page string) (*Evaluator, error) {
	p := parser.NewParser(parser.Options{})
	var file strings.Builder
	for i, block := range strings.Split(page, "```yaml\n") {
		if text, _, ok := strings.Cut(block, "```"); ok && i > 0 {
			file.WriteString(text)
		}
	}
	groups, errs := rulefmt.Parse([]byte(file.String()), false, model.UTF8Validation, p, slog.New(slog.DiscardHandler))
	if len(errs) > 0 {
		return nil, fmt.Errorf("rules: %v", errs)
	}
	e := &Evaluator{parser: p, engine: promql.NewEngine(promql.EngineOpts{MaxSamples: maxSamples, Timeout: timeout, Parser: p})}
	for _, g := range groups.Groups {
		e.rules = append(e.rules, g.Rules...)
	}
	return e, nil
}

// Names returns the names of the alerts.
func (e *Evaluator) Names() []string {
	names := make([]string, 0, len(e.rules))
	for _, r := range e.rules {
		names = append(names, r.Alert)
	}
	return names
}

// Firing returns a line for each alert that fires on the samples, with its
// labels and the times from the first sample at which it starts and ends.
func (e *Evaluator) Firing(ctx context.Context, s *Samples) ([]string, error) {
	var lines []string
	for _, r := range e.rules {
		q, err := e.engine.NewRangeQuery(ctx, s, nil, r.Expr, time.UnixMilli(0), time.UnixMilli(0).Add(s.length), s.interval)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.Alert, err)
		}
		matrix, err := q.Exec(ctx).Matrix()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.Alert, err)
		}
		for _, series := range matrix {
			labels := series.Metric.Map()
			delete(labels, model.MetricNameLabel)
			for _, span := range spans(series.Floats, time.Duration(r.For), s) {
				lines = append(lines, r.Alert+describe(labels)+" "+span)
			}
		}
		q.Close()
	}
	return lines, nil
}

// describe returns labels in a fixed order, without the brackets if there are
// none.
func describe(labels map[string]string) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		list = append(list, name+"="+labels[name])
	}
	if len(list) == 0 {
		return ""
	}
	return "{" + strings.Join(list, ",") + "}"
}

// spans returns the times at which an alert fires: when its expression has had
// a value at each evaluation for the given time, and until it has none.
func spans(points []promql.FPoint, hold time.Duration, s *Samples) []string {
	var list []string
	step := s.interval.Milliseconds()
	for first := 0; first < len(points); {
		last := first
		for last+1 < len(points) && points[last+1].T == points[last].T+step {
			last++
		}
		from := time.Duration(points[first].T)*time.Millisecond + hold
		until := time.Duration(points[last].T) * time.Millisecond
		switch {
		case until == s.length && from <= until:
			list = append(list, fmt.Sprintf("from %v", from))
		case from <= until:
			list = append(list, fmt.Sprintf("from %v to %v", from, until))
		}
		first = last + 1
	}
	return list
}
