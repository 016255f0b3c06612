package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// statement is the part of a statement that the tests look at.
type statement struct {
	Prepaid, Topups, Unassigned, Assigned, Free, Allowances, Billed, Stranded, Refundable int64
	Requests                                                                              uint64
	Missing                                                                               []string
	Bills                                                                                 []struct {
		Request string
		Amount  int64
		Zone    string
	}
}

// statement reads the statement of the account wondimu.
func (f *fleet) statement(i int) (statement, error) {
	var s statement
	text, err := f.client(i).Call(f.t.Context(), http.MethodGet, "/v1/accounts/wondimu/statement", nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// topup adds tokens to the account wondimu.
func (f *fleet) topup(i int, name string, tokens int64) error {
	_, err := f.client(i).Call(f.t.Context(), http.MethodPost, "/v1/topups", map[string]any{"name": name, "account": "wondimu", "tokens": tokens})
	return err
}

// level changes the log level of an instance.
func (f *fleet) level(i int, level string) {
	f.t.Helper()
	if out, err := f.command(i, "level", level); err != nil {
		f.t.Fatalf("level: %v\n%s", err, out)
	}
}

// lines returns the lines of a process's log that contain a text.
func (f *fleet) lines(name, text string) []string {
	f.t.Helper()
	log, err := os.ReadFile(f.procs[name].log)
	if err != nil {
		f.t.Fatal(err)
	}
	return slices.DeleteFunc(strings.Split(string(log), "\n"), func(line string) bool { return !strings.Contains(line, text) })
}

// states returns the states of all instances as one of them shows them to
// operators, such as "a1 alive, b1 cut".
func (f *fleet) states(i int) (string, error) {
	var list struct {
		Instances []struct{ Name, State string }
	}
	text, err := f.client(i).Call(f.t.Context(), http.MethodGet, "/v1/fleet", nil)
	if err == nil {
		err = json.Unmarshal(text, &list)
	}
	var states []string
	for _, p := range list.Instances {
		states = append(states, p.Name+" "+p.State)
	}
	return strings.Join(states, ", "), err
}

// shows waits until an instance shows the given states.
func (f *fleet) shows(i int, want string) {
	f.t.Helper()
	f.eventually("show "+want, func() error {
		got, err := f.states(i)
		if err == nil && got != want {
			err = fmt.Errorf("got %s", got)
		}
		return err
	})
}

// logs waits until the log of a process has a line with the text.
func (f *fleet) logs(name, text string) {
	f.t.Helper()
	f.eventually("log "+text, func() error {
		if len(f.lines(name, text)) == 0 {
			return fmt.Errorf("%s has no such line", name)
		}
		return nil
	})
}

// series is one value that an instance answers to GET /metrics; of a histogram
// it is the count.
type series struct {
	metric, kind string
	// labels are pairs such as `code="ok"`.
	labels []string
	value  float64
}

type scrape []series

func (f *fleet) scrape(i int) scrape {
	f.t.Helper()
	r, err := http.Get("http://" + f.ports[i*4+3] + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer r.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r.Body)
	if err != nil {
		f.t.Fatalf("metrics of %s: %v", f.names[i], err)
	}
	var list scrape
	for name, family := range families {
		for _, m := range family.GetMetric() {
			s := series{metric: name, kind: strings.ToLower(family.GetType().String())}
			for _, l := range m.GetLabel() {
				s.labels = append(s.labels, fmt.Sprintf("%s=%q", l.GetName(), l.GetValue()))
			}
			s.value = m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
			list = append(list, s)
		}
	}
	return list
}

// sum adds the values of the series of a metric that have all the labels.
func (s scrape) sum(metric string, labels ...string) float64 {
	var total float64
	for _, v := range s {
		if v.metric == metric && !slices.ContainsFunc(labels, func(l string) bool { return !slices.Contains(v.labels, l) }) {
			total += v.value
		}
	}
	return total
}
