package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/sampler"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

var metricRow = regexp.MustCompile("(?m)^\\| `(papayapond_\\w+)` \\| (\\w+) \\| (.*?) \\|")

// onDisk are the metrics that only instances with a disk have.
var onDisk = regexp.MustCompile("_log_|_broken_|_zone_tokens|_budget_tokens")

// onStop is the family that exists only while an account is stopped.
const onStop = "papayapond_account_stopped"

// matchPage compares the families of an instance with docs/metrics.md.
func (s scrape) matchPage(t *testing.T, name string, disk bool) {
	t.Helper()
	text, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range metricRow.FindAllStringSubmatch(string(text), -1) {
		found := false
		for _, v := range s {
			if v.metric != row[1] {
				continue
			}
			found = true
			var labels []string
			for _, l := range v.labels {
				label, _, _ := strings.Cut(l, "=")
				labels = append(labels, "`"+label+"`")
			}
			if got, want := v.kind+" "+strings.Join(labels, ", "), row[2]+" "+row[3]; got != want {
				t.Errorf("%s: %s: got %s, want %s", name, row[1], got, want)
			}
		}
		if want := (disk || !onDisk.MatchString(row[1])) && row[1] != onStop; found != want {
			t.Errorf("%s: has %s: got %v, want %v", name, row[1], found, want)
		}
	}
}

// sent are the answers that each instance gives in TestMetrics, by code.
var sent = map[string]float64{"ok": 3, "replayed": 1, "unauthorized": 2, "malformed": 1, "missing": 1, "exhausted": 2}

// maxOrderAttempts limits how often an order is sent that a lost leader refuses.
const maxOrderAttempts = 5

// orderUntilRun sends an order again while it is refused as not run because the
// leader was lost, as callers do, and returns the last answer and the number of
// these refusals.
func (f *fleet) orderUntilRun(i int, id, identity string) (a answer, refusals float64) {
	f.t.Helper()
	for range maxOrderAttempts {
		a = f.order(i, id, identity)
		if code, run := a.code(); a.err != nil || code != fault.Isolated.Code() || run != "no" {
			return a, refusals
		}
		refusals++
	}
	return a, refusals
}

// mix sends a set of requests whose answers are those of sent: one stream, one
// JSON answer with its retry, one order, and refusals. It returns how often the
// order was refused before because the leader was lost.
func (f *fleet) mix(i int) (refusals float64) {
	f.t.Helper()
	order, refusals := f.orderUntilRun(i, "o", "order-"+f.names[i])
	const tokens = 6
	body := func(model string, tokens int) string {
		return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, model, tokens)
	}
	got := map[string]float64{}
	chat := func(body, identity, key string) answer {
		return f.call(i, http.MethodPost, "/v1/chat/completions", body, identity, key)
	}
	for _, a := range []answer{
		f.chat(i, "hi", tokens, true, ""),
		chat(body(sampler.Model, tokens), "json-"+f.names[i], sampler.WondimuKey),
		chat(body(sampler.Model, tokens), "json-"+f.names[i], sampler.WondimuKey),
		order,
		chat(body(sampler.Model, tokens), "", ""),
		chat(body(sampler.Model, tokens), "", "wrong"),
		chat("{", "", sampler.WondimuKey),
		chat(body("other", tokens), "", sampler.WondimuKey),
		chat(body(sampler.Model, 30_000), "", sampler.WondimuKey),
		chat(body(sampler.Model, 30_000), "", sampler.WondimuKey),
	} {
		code, _ := a.code()
		switch {
		case a.err != nil:
			f.t.Fatal(a.err)
		case a.header.Get("Idempotent-Replayed") != "":
			code = "replayed"
		case a.status < 300:
			code = "ok"
		}
		got[code]++
	}
	if !maps.Equal(got, sent) {
		f.t.Errorf("answers of %s: got %v, want %v", f.names[i], got, sent)
	}
	return refusals
}

// objectives writes a configuration with objectives and returns its path.
func (f *fleet) objectives() string {
	f.t.Helper()
	path := filepath.Join(f.dir, "objectives.toml")
	text := printer.Text(f.sampler.Venture().WithObjectives(
		venture.Objective{Name: "up", Measure: venture.Availability, Share: 0.999},
		venture.Objective{Name: "first", Measure: venture.FirstToken, Limit: 420, Share: 0.95},
		venture.Objective{Name: "refusals", Account: "wondimu", Measure: venture.FalseRefusals, Share: 0.9999},
		venture.Objective{Name: "over", Measure: venture.Overspend, Share: 1}))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// burn runs `papayapond burn` with the given objectives and options.
func (f *fleet) burn(objectives string, options ...string) string {
	f.t.Helper()
	args := []string{"burn", "--settings", filepath.Join(f.dir, "a1.toml"), "--configuration", objectives, "--history", filepath.Join(f.dir, "scrapes")}
	out, err := f.command(0, append(args, options...)...)
	if err != nil {
		f.t.Fatalf("burn: %v\n%s", err, out)
	}
	return out
}

// burnReport is the part of the JSON report that the test looks at.
type burnReport struct {
	Instances  []string
	Missing    []struct{ Name string }
	Objectives []burnLine
}

type burnLine struct {
	Name      string
	Windows   []struct{ Bad, All float64 }
	Overspend *float64
}

func (r burnReport) line(name string) burnLine {
	for _, l := range r.Objectives {
		if l.Name == name {
			return l
		}
	}
	return burnLine{}
}

// Requests must be counted once on the instance that they were sent to, under
// the names and labels of docs/metrics.md, and the burn report must say the
// same as the metrics, also about an instance that doesn't answer.
func TestMetrics(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 20_000, false)
	f.engine("engine-a", "a", []int{0})
	f.orders("order-a", "a", []int{0})
	objectives := f.objectives()
	for i := range f.names {
		f.routes(i)
	}
	if out := f.burn(objectives); !strings.Contains(out, "Burn rates need a second scrape.") {
		t.Errorf("first burn report: got\n%s", out)
	}
	var total, allRefusals float64
	refusals := map[string]float64{} // of orders, by instance
	for i, name := range f.names {
		refusals[name] = f.mix(i)
		allRefusals += refusals[name]
	}
	for _, n := range sent {
		total += n
	}

	var billed, books, leaders float64
	for i, name := range f.names {
		s := f.scrape(i)
		s.matchPage(t, name, f.names[i] != "a2")
		counts := maps.Clone(sent)
		counts[fault.Isolated.Code()] = refusals[name]
		for code, want := range counts {
			label := fmt.Sprintf("code=%q", code)
			if got := s.sum("papayapond_requests_total", label); got != want {
				t.Errorf("%s: requests with %s: got %v, want %v", name, label, got, want)
			}
			if got := s.sum("papayapond_account_requests_total", label); got != want {
				t.Errorf("%s: account requests with %s: got %v, want %v", name, label, got, want)
			}
		}
		for metric, want := range map[string]float64{
			"papayapond_requests_total": total + refusals[name], "papayapond_request_seconds": total + refusals[name],
			"papayapond_first_token_seconds": 1, "papayapond_token_interval_seconds": 5,
			"papayapond_account_first_token_seconds": 1, "papayapond_account_token_interval_seconds": 5,
			"papayapond_budget_refusals_total": sent["exhausted"], "papayapond_requests_in_flight": 0,
			"papayapond_requests_waiting": 0, "papayapond_requests_admitted": 0, "papayapond_targets_ejected": 0,
			"papayapond_configuration_version": 1, "papayapond_configuration_stale": 0,
			"papayapond_broken_invariants_total": 0, "papayapond_usage_over_bound_total": 0,
		} {
			if got := s.sum(metric); got != want {
				t.Errorf("%s: %s: got %v, want %v", name, metric, got, want)
			}
		}
		billed += s.sum("papayapond_billed_tokens_total")
		books += s.sum("papayapond_zone_tokens", `state="billed"`)
		leaders += s.sum("papayapond_log_leader")
	}
	if s := f.bills(0, 3*len(f.names)); billed != float64(s.Billed) || books != billed || leaders != 1 {
		t.Errorf("got %v tokens billed, %v in the books, %v leaders, want %v tokens and one leader", billed, books, leaders, s.Billed)
	}
	f.matchBurn(objectives, total, allRefusals)
}

// matchBurn compares the burn report with the requests sent to each instance and with
// the orders that lost leaders refused.
func (f *fleet) matchBurn(objectives string, total, refusals float64) {
	f.t.Helper()
	parse := func() (r burnReport) {
		if err := json.Unmarshal([]byte(f.burn(objectives, "--json")), &r); err != nil {
			f.t.Fatal(err)
		}
		return r
	}
	n := float64(len(f.names))
	r := parse()
	unknown := sent["unauthorized"]
	for name, want := range map[string]struct{ bad, all float64 }{
		"up": {refusals, n*(sent["ok"]+sent["replayed"]) + refusals}, "first": {0, n}, "refusals": {n * sent["exhausted"], n*(total-unknown) + refusals},
	} {
		for _, w := range r.line(name).Windows {
			if w.Bad != want.bad || w.All != want.all {
				f.t.Errorf("%s: got %+v, want %+v", name, w, want)
			}
		}
		if got, want := len(r.line(name).Windows), 4; got != want {
			f.t.Errorf("%s: got %d windows, want %d", name, got, want)
		}
	}
	if o := r.line("over").Overspend; len(r.Missing) > 0 || len(r.Instances) != len(f.names) || o == nil || *o != 0 {
		f.t.Errorf("got instances %v, missing %v, overspend %v, want all instances and 0", r.Instances, r.Missing, o)
	}
	f.kill("a2")
	r = parse()
	if len(r.Missing) != 1 || r.Missing[0].Name != "a2" || r.line("over").Overspend != nil {
		f.t.Errorf("without a2: got missing %v, overspend %v, want a2 and none", r.Missing, r.line("over").Overspend)
	}
	out := f.burn(objectives)
	for _, want := range []string{"Missing: a2 (", "of 3 instances", fmt.Sprintf("  %.0f  ", n*(total-unknown)+refusals), "unknown"} {
		if !strings.Contains(out, want) {
			f.t.Errorf("text report: got no %q in\n%s", want, out)
		}
	}
}
