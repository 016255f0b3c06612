package main

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

var classes = []string{"all", "chat", "tag", "sheet", "quote"}

func show(a *showArguments) error {
	runs, err := readRuns(a.In)
	if err != nil {
		return err
	}
	gs := groupRuns(runs)
	if err := writeTable(os.Stdout, gs); err != nil || a.Plots == "" {
		return err
	}
	first := func(f summary) float64 { return f.FirstToken[1] }
	good := func(f summary) float64 { return f.Goodput }
	counts := map[int]bool{}
	for _, g := range gs {
		counts[g[0].Engines] = true
	}
	for n := range counts {
		if err := savePlot(gs, n, "p95 of the time to the first token of streams, ms", filepath.Join(a.Plots, fmt.Sprintf("routing-first-%d.svg", n)), first); err != nil {
			return err
		}
		if err := savePlot(gs, n, "answers within the service level per second", filepath.Join(a.Plots, fmt.Sprintf("routing-good-%d.svg", n)), good); err != nil {
			return err
		}
	}
	return nil
}

// writeTable prints one row for each group and class. For the class "all", the
// time to first token covers streamed responses only.
func writeTable(w io.Writer, gs []group) error {
	t := &strings.Builder{}
	fmt.Fprintln(t, "| engines\t| load\t| policy\t| class\t| sent\t| ok\t| first p50\t| p95\t| p99\t| between p50\t| p95\t| p99\t| hits\t| good/s\t|")
	fmt.Fprintln(t, "|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|")
	for _, g := range gs {
		name := g[0].Policy
		if g[0].Open {
			name += ", no admission"
		}
		for _, class := range classes {
			first := func(i int) func(summary) float64 { return func(f summary) float64 { return f.Classes[class].First[i] } }
			if class == "all" {
				first = func(i int) func(summary) float64 { return func(f summary) float64 { return f.FirstToken[i] } }
			}
			fmt.Fprintf(t, "| %d\t| %.2f\t| %s\t| %s\t", g[0].Engines, g[0].Load, name, class)
			if class == "all" {
				fmt.Fprintf(t, "| %.0f\t", g.median(func(f summary) float64 { return float64(f.Sent) }))
			} else {
				fmt.Fprint(t, "| \t")
			}
			fmt.Fprintf(t, "| %.0f\t", g.median(func(f summary) float64 { return float64(f.Classes[class].OK) }))
			for i := range percentiles {
				fmt.Fprintf(t, "| %.0f\t", g.median(first(i)))
			}
			for i := range percentiles {
				fmt.Fprintf(t, "| %.1f\t", g.median(func(f summary) float64 { return f.Classes[class].InterToken[i] }))
			}
			if class == "all" {
				fmt.Fprintf(t, "| %.3f\t| %.1f\t|\n", g.median(func(f summary) float64 { return f.Hits }), g.median(func(f summary) float64 { return f.Goodput }))
			} else {
				fmt.Fprintln(t, "| \t| \t|")
			}
		}
	}
	aligned := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	if _, err := io.WriteString(aligned, t.String()); err != nil {
		return eris.Wrap(err, "print")
	}
	return eris.Wrap(aligned.Flush(), "print")
}

// savePlot plots a statistic against the load, with one line for each policy.
func savePlot(gs []group, engines int, label, path string, stat func(summary) float64) error {
	p := plot.New()
	p.BackgroundColor = color.White
	p.X.Label.Text = "load, multiple of the capacity"
	p.Y.Label.Text = label
	p.Title.Text = fmt.Sprintf("%d engines", engines)
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var order []string
	points := map[string]plotter.XYs{}
	for _, g := range gs {
		if g[0].Engines != engines {
			continue
		}
		name := g[0].Policy
		if g[0].Open {
			name += ", no admission"
		}
		if points[name] == nil {
			order = append(order, name)
		}
		points[name] = append(points[name], plotter.XY{X: g[0].Load, Y: g.median(stat)})
	}
	var lines []any
	for _, name := range order {
		lines = append(lines, name, points[name])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrap(err, "plot")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
