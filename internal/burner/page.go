package burner

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/papayapond/papayapond/pkg/venture"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// maxPoints bounds the points of a curve; each of them costs a pass over
	// the scrapes of its window.
	maxPoints = 60
)

// page closes all its elements, so that it can be read as XML too.
var page = template.Must(template.New("page").Funcs(template.FuncMap{"brief": brief, "fixed": fixed}).Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8"/>
<title>Burn rates</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left}td.number,th.number{text-align:right}.firing{color:#b00}</style>
</head>
<body>
<h1>Burn rates at {{.Report.Time.Format "2006-01-02 15:04:05 MST"}}</h1>
<p>{{.Report.Scrapes}} scrapes. An objective fires when the burn rates of both windows of a pair are above the rate of the pair: {{range $i, $p := .Pairs}}{{if $i}}; {{end}}{{$p.Name}}, above {{$p.Rate}} in {{brief $p.Short}} and {{brief $p.Long}}{{end}}. At a burn rate of 1 the error budget lasts exactly as long as its period.</p>
{{if lt .Report.Scrapes 2}}<p>Burn rates need a second scrape.</p>
{{end}}<h2>Instances</h2>
<table>
<tr><th>instance</th><th>state</th></tr>
{{range .Report.Missing}}<tr class="firing"><td>{{.Name}}</td><td>missing: {{.Cause}}</td></tr>
{{end}}{{range .Report.Instances}}<tr><td>{{.}}</td><td>scraped</td></tr>
{{end}}</table>
{{range .Sections}}<h2>{{.Line.Name}}</h2>
<p>{{.Line.Measure}}, {{.Line.Scope}}, objective: {{.Target}}</p>
{{if .Line.Firing}}<p class="firing">Firing:{{range .Line.Firing}} {{.}}{{end}}</p>
{{end}}{{if .Line.Windows}}<table>
<tr><th>window</th><th>covers</th><th class="number">bad</th><th class="number">of</th><th class="number">burn rate</th></tr>
{{range .Line.Windows}}<tr><td>{{brief .Length}}</td><td>{{brief .Covers}}</td><td class="number">{{printf "%.0f" .Bad}}</td><td class="number">{{printf "%.0f" .All}}</td><td class="number">{{if .Burn}}{{fixed .Burn 2}}{{else}}-{{end}}</td></tr>
{{end}}</table>
{{if .Plot}}<p><img alt="burn rate of {{.Line.Name}} over time" src="{{.Plot}}"/></p>
{{else}}<p>No plot: there were no events between two scrapes.</p>
{{end}}{{else}}<p>{{if .Line.Overspend}}{{fixed .Line.Overspend 0}} tokens beyond the budget{{else}}Not known: books are missing.{{end}}</p>
{{end}}{{end}}</body>
</html>
`))

// section is the part of the page for one objective.
type section struct {
	Line   line
	Target string
	Plot   template.URL
}

// rule is a pair of windows as the page shows it.
type rule struct {
	Name, Short, Long string
	Rate              float64
}

// fixed returns a value that is known with the given number of decimals. The
// function printf of a template doesn't follow the pointer.
func fixed(value *float64, decimals int) string {
	return strconv.FormatFloat(*value, 'f', decimals, 64)
}

// brief returns a duration without units that are zero, such as 1h for 1h0m0s.
func brief(length string) string {
	if strings.HasSuffix(length, "m0s") {
		length = strings.TrimSuffix(length, "0s")
	}
	if strings.HasSuffix(length, "h0m") {
		length = strings.TrimSuffix(length, "0m")
	}
	return length
}

// Page writes the report as a web page with a plot per objective. There must
// be at least one scrape.
func (b *Burner) Page(w io.Writer) error {
	r := b.report()
	var sections []section
	for i, l := range r.Objectives {
		s := section{Line: l, Target: l.target()}
		svg, err := b.plot(b.cfg.Objectives[i])
		if err != nil {
			return eris.Wrapf(err, "plot %s", l.Name)
		}
		if svg != nil {
			s.Plot = template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(svg))
		}
		sections = append(sections, s)
	}
	var rules []rule
	for _, p := range pairs {
		rules = append(rules, rule{p.name, p.short.String(), p.long.String(), p.rate})
	}
	return eris.Wrap(page.Execute(w, struct {
		Report   report
		Pairs    []rule
		Sections []section
	}{r, rules, sections}), "page")
}

// plot draws the burn rates in the windows of the fast pair over the time
// before the last scrape, with the rate above which the pair fires. It returns
// nil if there are none.
func (b *Burner) plot(o venture.Objective) ([]byte, error) {
	short, long := b.curves(o)
	if len(short)+len(long) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.X.Label.Text = "time from the last scrape [min]"
	p.Y.Label.Text = "burn rate [bad / allowed]"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	fast := pairs[0]
	fires := plotter.XYs{{X: 0, Y: fast.rate}, {X: 0, Y: fast.rate}}
	for i, points := range []plotter.XYs{short, long} {
		if len(points) == 0 {
			continue
		}
		fires[0].X = min(fires[0].X, points[len(points)-1].X)
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, eris.Wrap(err, "curve")
		}
		curve.Color = []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}}[i]
		p.Add(curve)
		p.Legend.Add("window "+brief([]time.Duration{fast.short, fast.long}[i].String()), curve)
	}
	limit, err := plotter.NewLine(fires)
	if err != nil {
		return nil, eris.Wrap(err, "limit")
	}
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(limit)
	p.Legend.Add(fmt.Sprintf("%s fires above %g", fast.name, fast.rate), limit)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	_, err = canvas.WriteTo(&svg)
	return svg.Bytes(), err
}

// curves returns the burn rates in the windows of the fast pair at the scrapes
// that have one.
func (b *Burner) curves(o venture.Objective) (short, long plotter.XYs) {
	last := b.scrapes[len(b.scrapes)-1].Time
	step := (len(b.scrapes) + maxPoints - 1) / maxPoints
	for end := len(b.scrapes); end >= 2; end -= step {
		past := &Burner{cfg: b.cfg, scrapes: b.scrapes[:end]}
		books := budgets(b.scrapes[end-1])
		x := b.scrapes[end-1].Time.Sub(last).Minutes()
		if w := past.window(o, pairs[0].short, books); w.Burn != nil {
			short = append(short, plotter.XY{X: x, Y: *w.Burn})
		}
		if w := past.window(o, pairs[0].long, books); w.Burn != nil {
			long = append(long, plotter.XY{X: x, Y: *w.Burn})
		}
	}
	return short, long
}
