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

// firstObjective is the service level of the time to the first token, in
// microseconds.
const firstObjective = 420_000

// Bounds of the histogram of all streamed answers, as in the load generator.
const (
	longest = 600_000_000
	digits  = 3
)

// figures are those of one run. Times are in milliseconds.
type figures struct {
	Policy  string  `json:"policy"`
	Engines int     `json:"engines"`
	Load    float64 `json:"load"`
	Seed    uint64  `json:"seed"`
	Open    bool    `json:"open"`
	Sent    int     `json:"sent"`
	OK      int     `json:"ok"`
	Good    float64 `json:"good"` // answers per second within the service level
	Hits    float64 `json:"hits"`
	// Streams is the time to the first token of all streamed answers, p50, p95
	// and p99.
	Streams [3]float64       `json:"streams"`
	Cores   float64          `json:"cpu_seconds"` // of the process so far
	Classes map[string]times `json:"classes"`
}

// times holds p50, p95 and p99.
type times struct {
	OK      int        `json:"ok"`
	First   [3]float64 `json:"first"`
	Between [3]float64 `json:"between"`
	Total   [3]float64 `json:"total"`
}

var percentiles = [3]float64{50, 95, 99}

// measure takes the figures from the result of the load generator. A chat, tag
// or quote is good if it is whole and its first token, or the whole tag, came
// within the service level. Cut sheets have no such time and don't count.
func measure(r *loader.Result) figures {
	f := figures{Sent: r.Sent + r.Dropped, OK: r.OK, Classes: map[string]times{}}
	good := int64(0)
	first := hdrhistogram.New(1, longest, digits)
	for name, c := range r.Classes {
		t := times{OK: c.OK}
		for i, p := range percentiles {
			t.First[i] = millis(c.First.Histogram, p)
			t.Between[i] = millis(c.Between.Histogram, p)
			t.Total[i] = millis(c.Total.Histogram, p)
		}
		f.Classes[name] = t
		switch name {
		case "chat", "quote":
			first.Merge(c.First.Histogram)
		}
		switch name {
		case "chat", "quote", "tag":
			for _, bar := range c.First.Distribution() {
				if bar.To <= firstObjective {
					good += bar.Count
				}
			}
		}
	}
	f.Good = float64(good) / r.Sending
	for i, p := range percentiles {
		f.Streams[i] = millis(first, p)
	}
	return f
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func read(path string) ([]figures, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "results")
	}
	defer in.Close()
	var runs []figures
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var f figures
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, eris.Wrapf(err, "results: %s", lines.Text())
		}
		runs = append(runs, f)
	}
	return runs, eris.Wrap(lines.Err(), "results")
}

// group is all runs that differ in their seed alone.
type group []figures

// groups sorts runs by engines, admission, load and policy.
func groups(runs []figures) []group {
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

// median returns the median of a figure over the seeds.
func (g group) median(of func(figures) float64) float64 {
	var values []float64
	for _, f := range g {
		values = append(values, of(f))
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
