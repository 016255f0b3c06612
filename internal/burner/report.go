package burner

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/pkg/venture"
)

// leastBudget is the error budget of an objective whose share is 1. It keeps
// the burn rate finite; one bad event fires in all windows.
const leastBudget = 1e-6

// pair is a pair of windows and the burn rate that both must exceed. At 14.4,
// 2 % of the error budget of 30 days are used up in one hour; at 6, 5 % in six
// hours.
type pair struct {
	name        string
	short, long time.Duration
	rate        float64
}

var pairs = []pair{
	{"fast", 5 * time.Minute, time.Hour, 14.4},
	{"slow", 30 * time.Minute, 6 * time.Hour, 6},
}

type report struct {
	Time       time.Time `json:"time"`
	Scrapes    int       `json:"scrapes"`
	Instances  []string  `json:"instances"`
	Missing    []absence `json:"missing"`
	Objectives []line    `json:"objectives"`
}

// absence is an instance that didn't answer.
type absence struct {
	Name  string `json:"name"`
	Cause string `json:"cause"`
}

// line is the state of one objective.
type line struct {
	Name    string   `json:"name"`
	Scope   string   `json:"scope"`
	Measure string   `json:"measure"`
	Limit   int64    `json:"limit"`
	Share   float64  `json:"share"`
	Windows []window `json:"windows,omitempty"`
	// Overspend is the amount in tokens, absent if it isn't known.
	Overspend *float64 `json:"overspend,omitempty"`
	// Firing names the pairs of windows that fire.
	Firing []string `json:"firing"`
}

// window is the state of one objective in one window.
type window struct {
	Length string `json:"length"`
	// Covers is the time between the scrapes that were used.
	Covers string  `json:"covers"`
	Bad    float64 `json:"bad"`
	All    float64 `json:"all"`
	// Burn is absent without events.
	Burn *float64 `json:"burn,omitempty"`
}

// report computes the state of all objectives at the last scrape.
func (b *Burner) report() report {
	last := b.scrapes[len(b.scrapes)-1]
	r := report{Time: last.Time, Scrapes: len(b.scrapes), Instances: slices.Sorted(maps.Keys(last.Instances)), Missing: []absence{}, Objectives: []line{}}
	for _, name := range slices.Sorted(maps.Keys(last.Missing)) {
		r.Missing = append(r.Missing, absence{name, last.Missing[name]})
	}
	books := budgets(last)
	for _, o := range b.cfg.Objectives {
		l := line{Name: o.Name, Scope: scopeOf(o), Measure: o.Measure, Limit: o.Limit, Share: o.Share, Firing: []string{}}
		if o.Measure == venture.Overspend {
			if tokens, ok := overspend(o, books); ok {
				l.Overspend = &tokens
				if tokens > float64(o.Limit) {
					l.Firing = append(l.Firing, "now")
				}
			}
			r.Objectives = append(r.Objectives, l)
			continue
		}
		for _, p := range pairs {
			short, long := b.window(o, p.short, books), b.window(o, p.long, books)
			l.Windows = append(l.Windows, short, long)
			if short.Burn != nil && long.Burn != nil && *short.Burn > p.rate && *long.Burn > p.rate {
				l.Firing = append(l.Firing, p.name)
			}
		}
		r.Objectives = append(r.Objectives, l)
	}
	return r
}

func (b *Burner) window(o venture.Objective, length time.Duration, books map[string]budget) window {
	grown, covers := increase(b.scrapes, length)
	w := window{Length: length.String(), Covers: covers.Round(time.Second).String()}
	w.Bad, w.All = measure(o, grown, books)
	if w.All > 0 {
		burn := w.Bad / w.All / max(1-o.Share, leastBudget)
		w.Burn = &burn
	}
	return w
}

func scopeOf(o venture.Objective) string {
	switch {
	case o.Account != "":
		return "account " + o.Account
	case o.Class != "":
		return "class " + o.Class
	}
	return "all"
}

// JSON writes the report as JSON. There must be at least one scrape.
func (b *Burner) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(b.report()), "print")
}

// Text writes the report as a table. There must be at least one scrape.
func (b *Burner) Text(w io.Writer) error {
	r := b.report()
	var text strings.Builder
	t := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	row("Burn rates at %s from %d scrapes of %d instances.\n", r.Time.Format(time.RFC3339), r.Scrapes, len(r.Instances))
	for _, m := range r.Missing {
		row("Missing: %s (%s)\n", m.Name, m.Cause)
	}
	if r.Scrapes < 2 {
		row("Burn rates need a second scrape.\n")
	}
	row("\nOBJECTIVE\tSCOPE\tTARGET\tWINDOW\tCOVERS\tBAD\tOF\tBURN\tFIRING\n")
	for _, l := range r.Objectives {
		firing := strings.Join(l.Firing, ", ")
		if l.Measure == venture.Overspend {
			amount := "unknown"
			if l.Overspend != nil {
				amount = fmt.Sprint(*l.Overspend)
			}
			row("%s\t%s\t%s\tnow\t\t%s\t\t\t%s\n", l.Name, l.Scope, l.target(), amount, firing)
		}
		for _, w := range l.Windows {
			burn := "-"
			if w.Burn != nil {
				burn = fmt.Sprintf("%.2f", *w.Burn)
			}
			row("%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%s\t%s\n", l.Name, l.Scope, l.target(), w.Length, w.Covers, w.Bad, w.All, burn, firing)
		}
	}
	if err := t.Flush(); err != nil {
		return eris.Wrap(err, "print")
	}
	_, err := io.WriteString(w, text.String())
	return eris.Wrap(err, "print")
}

// target returns what the objective asks for, in words.
func (l line) target() string {
	switch l.Measure {
	case venture.FirstToken, venture.BetweenTokens:
		return fmt.Sprintf("%g%% in %d ms", 100*l.Share, l.Limit)
	case venture.Overspend:
		return fmt.Sprintf("%d tokens", l.Limit)
	}
	return fmt.Sprintf("%g%%", 100*l.Share)
}
