package burner

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"image/color"
	"io"

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
	plotHeight = 6 * vg.Centimeter
	// maxPoints bounds the points of a curve; each of them costs a pass over
	// the scrapes of its window.
	maxPoints = 60
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Burn rates</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left}.firing{color:#b00}</style>
<h1>Burn rates at {{.Report.Time.Format "2006-01-02 15:04:05 MST"}}</h1>
<p>{{.Report.Scrapes}} scrapes of {{len .Report.Instances}} instances.</p>
{{range .Report.Missing}}<p class="firing">Missing: {{.Name}} ({{.Cause}})</p>
{{end}}{{range .Sections}}<h2>{{.Line.Name}} ({{.Line.Scope}})</h2>
{{range .Line.Firing}}<p class="firing">Firing: {{.}}</p>
{{end}}{{if .Line.Windows}}<table><tr><th>window<th>covers<th>bad<th>of<th>burn</tr>
{{range .Line.Windows}}<tr><td>{{.Length}}<td>{{.Covers}}<td>{{.Bad}}<td>{{.All}}<td>{{if .Burn}}{{printf "%.2f" .Burn}}{{else}}-{{end}}</tr>
{{end}}</table>
<img alt="burn rate of {{.Line.Name}} over time" src="{{.Plot}}">
{{else}}<p>{{with .Line.Overspend}}{{.}} tokens beyond the budget{{else}}Not known: books are missing.{{end}}</p>
{{end}}{{end}}</html>
`))

// Page writes the report as a web page with a plot per objective. There must
// be at least one scrape.
func (b *Burner) Page(w io.Writer) error {
	type section struct {
		Line line
		Plot template.URL
	}
	r := b.report()
	var sections []section
	for i, l := range r.Objectives {
		s := section{Line: l}
		if len(l.Windows) > 0 {
			svg, err := b.plot(b.cfg.Objectives[i])
			if err != nil {
				return eris.Wrapf(err, "plot %s", l.Name)
			}
			s.Plot = template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(svg))
		}
		sections = append(sections, s)
	}
	return eris.Wrap(page.Execute(w, struct {
		Report   report
		Sections []section
	}{r, sections}), "page")
}

// plot draws the burn rates in the windows of the fast pair over the time
// before the last scrape, in minutes.
func (b *Burner) plot(o venture.Objective) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "minutes before the last scrape"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	fast := pairs[0]
	short, long := b.curves(o)
	for i, points := range []plotter.XYs{short, long} {
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, eris.Wrap(err, "curve")
		}
		curve.Color = []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}}[i]
		p.Add(curve)
		p.Legend.Add([]string{fast.short.String(), fast.long.String()}[i], curve)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	_, err := canvas.WriteTo(&svg)
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
