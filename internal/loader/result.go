package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms have microseconds and three significant digits.
	longest     = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
	maxExamples = 20
	// All names the requests of all classes.
	All = "all"
)

// Result is the outcome of a run. Times are in milliseconds in its outputs.
type Result struct {
	Sent       int                 `json:"sent"`
	OK         int                 `json:"ok"`
	Dropped    int                 `json:"dropped"` // not sent, too many were open
	Retries    int                 `json:"retries"`
	Sending    float64             `json:"sending_seconds"`
	Seconds    float64             `json:"seconds"`
	Refusals   map[string]int      `json:"refusals"` // by "code run=value", each attempt
	Final      map[string]int      `json:"final"`    // the same, the last attempt of each request
	Accounts   map[string]*account `json:"accounts"`
	Violations map[string]int      `json:"violations"`
	Examples   []string            `json:"examples"`
	Classes    map[string]*times   `json:"classes"`
}

// account is the usage that answers reported, by client account.
type account struct {
	Requests   int `json:"requests"`
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

// times are the histograms of one class.
type times struct {
	OK      int        `json:"ok"`
	First   *histogram `json:"first"`
	Between *histogram `json:"between"`
	Total   *histogram `json:"total"`
	Late    *histogram `json:"late"` // the loader's own delay
}

type histogram struct{ *hdrhistogram.Histogram }

func newResult() *Result {
	return &Result{
		Refusals: map[string]int{}, Final: map[string]int{}, Accounts: map[string]*account{},
		Violations: map[string]int{}, Examples: []string{}, Classes: map[string]*times{},
	}
}

func newHistogram() *histogram { return &histogram{hdrhistogram.New(1, longest, digits)} }

func (h *histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest)) // the value is in range
}

func (h *histogram) at(percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// MarshalJSON writes the count and percentiles in milliseconds.
func (h *histogram) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]float64{
		"count": float64(h.TotalCount()), "p50": h.at(50), "p90": h.at(90), "p95": h.at(95),
		"p99": h.at(99), "p99.9": h.at(99.9), "max": float64(h.Max()) / 1000,
	})
}

// record adds one attempt to the result.
func (l *Loader) record(r request, o outcome, attempt int, last bool, late time.Duration) {
	violation, detail := "", ""
	if o.code == codeOK {
		violation, detail = check(r, o)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	res := l.result
	if attempt == 0 {
		res.Sent++
	} else {
		res.Retries++
	}
	if violation != "" {
		res.violate(violation, fmt.Sprintf("request %d (%s): %s", r.index, r.class.name, detail))
	}
	if r.order != "" {
		f := l.orders[r.order]
		f.confirmed = f.confirmed || o.code == codeOK
		f.possible = f.possible || o.run != runNo
		l.orders[r.order] = f
	}
	if o.code != codeOK {
		res.Refusals[o.code+" run="+o.run]++
		if last {
			res.Final[o.code+" run="+o.run]++
		}
	} else {
		res.succeed(r, o, late)
	}
	if last {
		l.keep(r, o, attempt)
	}
}

func (res *Result) succeed(r request, o outcome, late time.Duration) {
	res.OK++
	a := res.Accounts[r.client.name]
	if a == nil {
		a = &account{}
		res.Accounts[r.client.name] = a
	}
	a.Requests++
	if o.usage != nil {
		a.Prompt += o.usage.Prompt
		a.Completion += o.usage.Completion
	}
	for _, name := range []string{All, r.class.name} {
		t := res.Classes[name]
		if t == nil {
			t = &times{First: newHistogram(), Between: newHistogram(), Total: newHistogram(), Late: newHistogram()}
			res.Classes[name] = t
		}
		t.OK++
		t.First.add(o.first)
		t.Total.add(o.total)
		t.Late.add(late)
		for _, g := range o.gaps {
			t.Between.add(g)
		}
	}
}

// keep writes the line of a request to Answers. The caller holds the lock.
func (l *Loader) keep(r request, o outcome, attempt int) {
	if l.lines == nil {
		return
	}
	_ = l.lines.Encode(map[string]any{ // the run goes on without the line
		"index": r.index, "class": r.class.name, "client": r.client.name, "key": r.key, "attempts": attempt + 1,
		"code": o.code, "run": o.run, "detail": o.detail, "usage": o.usage, "text": o.text,
	})
}

func (res *Result) violate(kind, detail string) {
	res.Violations[kind]++
	if len(res.Examples) < maxExamples {
		res.Examples = append(res.Examples, kind+": "+detail)
	}
}

// Broken reports whether any promise to a caller was broken.
func (res *Result) Broken() bool { return len(res.Violations) > 0 }

// First returns a percentile of the time to the first token or byte of a class,
// in milliseconds.
func (res *Result) First(class string, percentile float64) float64 {
	if t := res.Classes[class]; t != nil {
		return t.First.at(percentile)
	}
	return 0
}

// Write prints the result as text.
func (res *Result) Write(w io.Writer) error {
	t := &strings.Builder{}
	fmt.Fprintf(t, "sent %d, ok %d, retries %d, dropped %d, %.1f s, %.1f answers/s\n",
		res.Sent, res.OK, res.Retries, res.Dropped, res.Seconds, float64(res.OK)/max(res.Seconds, 1e-9))
	fmt.Fprintln(t, "\nclass\tok\tms\tp50\tp90\tp95\tp99\tp99.9\tmax")
	for _, name := range slices.Sorted(maps.Keys(res.Classes)) {
		c := res.Classes[name]
		for _, row := range []struct {
			name string
			h    *histogram
		}{{"first token", c.First}, {"between tokens", c.Between}, {"total", c.Total}, {"late start", c.Late}} {
			if row.h.TotalCount() > 0 {
				fmt.Fprintf(t, "%s\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, c.OK, row.name,
					row.h.at(50), row.h.at(90), row.h.at(95), row.h.at(99), row.h.at(99.9), float64(row.h.Max())/1000)
			}
		}
	}
	fmt.Fprintln(t, "\nrefusal\tattempts\trequests")
	for _, k := range slices.Sorted(maps.Keys(res.Refusals)) {
		fmt.Fprintf(t, "%s\t%d\t%d\n", k, res.Refusals[k], res.Final[k])
	}
	fmt.Fprintln(t, "\naccount\tanswers\tprompt tokens\toutput tokens")
	for _, k := range slices.Sorted(maps.Keys(res.Accounts)) {
		a := res.Accounts[k]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", k, a.Requests, a.Prompt, a.Completion)
	}
	fmt.Fprintln(t, "\nviolation\tcount")
	for _, k := range slices.Sorted(maps.Keys(res.Violations)) {
		fmt.Fprintf(t, "%s\t%d\n", k, res.Violations[k])
	}
	for _, e := range res.Examples {
		fmt.Fprintln(t, e)
	}
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(aligned, t.String()); err != nil {
		return err
	}
	return aligned.Flush()
}
