package planner

import (
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// Sizes describe a fleet.
type Sizes struct {
	Daemons   float64 `toml:"daemons"`
	Zones     float64 `toml:"zones"`
	Regions   float64 `toml:"regions"`
	Targets   float64 `toml:"targets"`
	Requests  float64 `toml:"requests"`  // per second at the peak
	Tokens    float64 `toml:"tokens"`    // generated per second at the peak
	Budgets   float64 `toml:"budgets"`   // prepaid
	Accounts  float64 `toml:"accounts"`  // in steady use
	Changes   float64 `toml:"changes"`   // of the configuration per day
	Replaced  float64 `toml:"replaced"`  // instances per day, failed ones included
	Dedicated float64 `toml:"dedicated"` // instances set aside
	// Limits for control on one daemon.
	Core   float64 `toml:"core"`   // ms of processor time per second
	Memory float64 `toml:"memory"` // bytes
	Bytes  float64 `toml:"bytes"`  // per second
}

// Slope is one measured figure.
type Slope struct {
	Name    string  `toml:"name"`
	Value   float64 `toml:"value"`
	Unit    string  `toml:"unit"`
	Text    string  `toml:"text"`
	Command string  `toml:"command"`
}

// Planner holds sizes and slopes. It is immutable.
type Planner struct {
	sizes  Sizes
	slopes []Slope
	values map[string]float64
}

// Parse reads a planner from TOML. The error wraps fault.Malformed.
func Parse(text []byte) (*Planner, error) {
	var file struct {
		Sizes  Sizes   `toml:"sizes"`
		Slopes []Slope `toml:"slopes"`
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, eris.Wrapf(fault.Malformed, "slopes: %v", err)
	}
	p := &Planner{sizes: file.Sizes, slopes: file.Slopes, values: map[string]float64{}}
	for _, s := range file.Slopes {
		p.values[s.Name] = s.Value
	}
	for _, r := range rows {
		for _, name := range r.slopes {
			if _, ok := p.values[name]; !ok {
				return nil, eris.Wrapf(fault.Malformed, "slope %q is missing", name)
			}
		}
	}
	return p, nil
}

// Sizes returns the sizes of the fleet and the limits of a daemon.
func (p *Planner) Sizes() Sizes { return p.sizes }

// Print writes the slopes and the loads as Markdown tables.
func (p *Planner) Print(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "| slope | value | unit | measured as | command |\n|---|---|---|---|---|\n")
	for _, s := range p.slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | `%s` |\n", s.Name, number(s.Value), s.Unit, s.Text, s.Command)
	}
	fmt.Fprintf(&b, "\n| role | load | at the planned size | limit | | carried by | worked out as |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		value := r.load(p)
		limit, verdict := "none", ""
		if r.limit != nil {
			most := r.limit(p)
			limit = number(most) + " " + r.unit
			verdict = "holds"
			if value > most {
				verdict = "**breaks**"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s | %s |\n", r.role, r.name, number(value), r.unit, limit, verdict, r.part, r.formula)
	}
	_, err := w.Write(b.Bytes())
	return eris.Wrap(err, "print")
}

// number prints three significant digits, without an exponent.
func number(v float64) string {
	if v >= 1000 {
		v, _ = strconv.ParseFloat(strconv.FormatFloat(v, 'e', 2, 64), 64)
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
