package main

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/loader"
)

// firstTokenObjective is the service level objective for the time to first token,
// in microseconds.
const firstTokenObjective = 420_000

// Range and precision of the histogram of all streamed responses, the same as in
// the load generator.
const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// summary holds the statistics of one run. Times are in milliseconds.
type summary struct {
	Policy  string  `json:"policy"`
	Engines int     `json:"engines"`
	Load    float64 `json:"load"`
	Seed    uint64  `json:"seed"`
	Open    bool    `json:"open"`
	Sent    int     `json:"sent"`
	OK      int     `json:"ok"`
	Goodput float64 `json:"good"` // responses per second within the service level objective
	Hits    float64 `json:"hits"`
	// FirstToken holds p50, p95 and p99 of the time to first token over all
	// streamed responses.
	FirstToken [3]float64           `json:"streams"`
	CPUSeconds float64              `json:"cpu_seconds"` // processor time of this process so far
	Classes    map[string]latencies `json:"classes"`
}

// latencies holds p50, p95 and p99 of each latency, in milliseconds.
type latencies struct {
	OK         int        `json:"ok"`
	First      [3]float64 `json:"first"`
	InterToken [3]float64 `json:"between"`
	Total      [3]float64 `json:"total"`
}

var percentiles = [3]float64{50, 95, 99}

// summarize computes the statistics of a run from the result of the load
// generator. Goodput counts complete chats and quotes whose first token arrived
// within the objective, and complete tags that arrived within it as a whole. Cut
// sheets have no objective and don't count.
func summarize(r *loader.Result) summary {
	f := summary{Sent: r.Sent + r.Dropped, OK: r.OK, Classes: map[string]latencies{}}
	good := int64(0)
	first := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for name, c := range r.Classes {
		t := latencies{OK: c.OK}
		for i, p := range percentiles {
			t.First[i] = percentileMillis(c.First.Histogram, p)
			t.InterToken[i] = percentileMillis(c.Between.Histogram, p)
			t.Total[i] = percentileMillis(c.Total.Histogram, p)
		}
		f.Classes[name] = t
		switch name {
		case "chat", "quote":
			first.Merge(c.First.Histogram)
		}
		switch name {
		case "chat", "quote", "tag":
			for _, bucket := range c.First.Distribution() {
				if bucket.To <= firstTokenObjective {
					good += bucket.Count
				}
			}
		}
	}
	f.Goodput = float64(good) / r.Sending
	for i, p := range percentiles {
		f.FirstToken[i] = percentileMillis(first, p)
	}
	return f
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func readRuns(path string) ([]summary, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "results")
	}
	defer in.Close()
	var runs []summary
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var f summary
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, eris.Wrapf(err, "results: %s", lines.Text())
		}
		runs = append(runs, f)
	}
	return runs, eris.Wrap(lines.Err(), "results")
}

// group holds the runs that differ only in their seed.
type group []summary

// groupRuns groups runs by engines, admission, load and policy, and sorts the
// groups by engines, admission and load.
func groupRuns(runs []summary) []group {
	type key struct {
		engines int
		open    bool
		load    float64
		policy  string
	}
	var order []key
	byKey := map[key]group{}
	for _, f := range runs {
		k := key{f.Engines, f.Open, f.Load, f.Policy}
		if byKey[k] == nil {
			order = append(order, k)
		}
		byKey[k] = append(byKey[k], f)
	}
	slices.SortStableFunc(order, func(a, b key) int {
		switch {
		case a.engines != b.engines:
			return a.engines - b.engines
		case a.open != b.open && a.open:
			return 1
		case a.open != b.open:
			return -1
		case a.load < b.load:
			return -1
		case a.load > b.load:
			return 1
		}
		return 0
	})
	var gs []group
	for _, k := range order {
		gs = append(gs, byKey[k])
	}
	return gs
}

// median returns the median of a statistic over the seeds.
func (g group) median(stat func(summary) float64) float64 {
	var values []float64
	for _, f := range g {
		values = append(values, stat(f))
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
