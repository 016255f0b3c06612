package burner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/pkg/venture"
)

// fleet answers scrapes with the text of each instance.
type fleet struct {
	now   time.Time
	texts map[string]string
}

func (f *fleet) burner(objectives ...venture.Objective) *Burner {
	return New(Config{
		Addresses: map[string]string{"a1": "a1", "b1": "b1"}, Objectives: objectives,
		Now: func() time.Time { return f.now },
		Fetch: func(_ context.Context, address string) (io.ReadCloser, error) {
			text, ok := f.texts[address]
			if !ok {
				return nil, eris.New("connection refused")
			}
			return io.NopCloser(strings.NewReader(text)), nil
		},
	})
}

// text is a scrape of an instance with counts of requests of one class.
func text(ok, unavailable, exhausted, fast, all int) string {
	return fmt.Sprintf(`# TYPE papayapond_requests_total counter
papayapond_requests_total{class="chat",code="ok",run="yes"} %d
papayapond_requests_total{class="chat",code="unavailable",run="no"} %d
# TYPE papayapond_account_requests_total counter
papayapond_account_requests_total{account="mill",code="ok"} %d
papayapond_account_requests_total{account="mill",code="exhausted"} %d
# TYPE papayapond_first_token_seconds histogram
papayapond_first_token_seconds_bucket{class="chat",le="0.2"} 0
papayapond_first_token_seconds_bucket{class="chat",le="0.42"} %d
papayapond_first_token_seconds_bucket{class="chat",le="1"} %d
papayapond_first_token_seconds_bucket{class="chat",le="+Inf"} %d
papayapond_first_token_seconds_sum{class="chat"} 1
papayapond_first_token_seconds_count{class="chat"} %d
`, ok, unavailable, ok, exhausted, fast, all, all, all)
}

// books is a scrape of a holder with the tokens of one account.
func books(billed, index int) string {
	return fmt.Sprintf(`# TYPE papayapond_zone_tokens gauge
papayapond_zone_tokens{account="mill",state="billed"} %d
# TYPE papayapond_budget_tokens gauge
papayapond_budget_tokens{account="mill",state="prepaid"} %d
papayapond_budget_tokens{account="mill",state="topups"} 0
# TYPE papayapond_log_commit_index gauge
papayapond_log_commit_index %d
`, billed, 10*index, index)
}

func decode(t *testing.T, b *Burner) report {
	t.Helper()
	var text bytes.Buffer
	if err := b.JSON(&text); err != nil {
		t.Fatal(err)
	}
	var r report
	if err := json.Unmarshal(text.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// It guards against figures that leave out an instance, count its restart as
// negative, read the wrong bucket or forget scrapes between two runs.
func TestBurn(t *testing.T) {
	f := &fleet{now: time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC), texts: map[string]string{"a1": text(100, 0, 0, 100, 100), "b1": text(1000, 50, 0, 900, 1000)}}
	objectives := []venture.Objective{
		{Name: "first", Measure: venture.FirstToken, Limit: 420, Share: 0.95},
		{Name: "up", Measure: venture.Availability, Share: 0.99},
		{Name: "mill", Account: "mill", Measure: venture.FalseRefusals, Share: 0.999},
	}
	path := filepath.Join(t.TempDir(), "scrapes")
	first := f.burner(objectives...)
	first.Scrape(t.Context())
	if err := first.Store(path); err != nil {
		t.Fatal(err)
	}
	// b1 has been restarted: its counters start from 0.
	f.now = f.now.Add(5 * time.Minute)
	f.texts = map[string]string{"a1": text(180, 10, 0, 140, 180), "b1": text(10, 0, 5, 0, 20)}
	b := f.burner(objectives...)
	if err := b.Load(path); err != nil {
		t.Fatal(err)
	}
	b.Scrape(t.Context())
	r := decode(t, b)
	for i, want := range []struct{ bad, all, burn float64 }{{60, 100, 12}, {10, 100, 10}, {5, 95, 52.63}} {
		w := r.Objectives[i].Windows[0]
		if w.Burn == nil || w.Bad != want.bad || w.All != want.all || *w.Burn-want.burn > 0.01 || want.burn-*w.Burn > 0.01 {
			t.Errorf("%s: got %+v, want %+v", r.Objectives[i].Name, w, want)
		}
		if got, want := w.Covers, "5m0s"; got != want {
			t.Errorf("got %s covered, want %s", got, want)
		}
	}
	if got, want := fmt.Sprint(r.Objectives[0].Firing, r.Objectives[2].Firing), "[slow] [fast slow]"; got != want {
		t.Errorf("got %s firing, want %s", got, want)
	}
	var page bytes.Buffer
	if err := b.Page(&page); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(page.String(), "data:image/svg"), 3; got != want {
		t.Errorf("got %d plots, want %d", got, want)
	}
}

// It guards against a report that guesses for an instance that doesn't answer.
func TestMissing(t *testing.T) {
	f := &fleet{now: time.Unix(0, 0), texts: map[string]string{"a1": books(40, 10), "b1": books(50, 9)}}
	over := venture.Objective{Name: "over", Measure: venture.Overspend, Share: 1}
	for _, c := range []struct {
		texts map[string]string
		want  string
	}{
		{f.texts, "0"},
		{map[string]string{"a1": books(40, 10)}, "unknown"},
		{map[string]string{"a1": books(70, 10), "b1": books(50, 9)}, "20"},
		{map[string]string{"a1": books(101, 10)}, "1"},
		{map[string]string{"a1": books(40, 10), "b1": "# TYPE papayapond_log_commit_index gauge\npapayapond_log_commit_index 9\n"}, "unknown"},
		{map[string]string{}, "unknown"},
	} {
		f.texts = c.texts
		b := f.burner(over)
		b.Scrape(t.Context())
		r := decode(t, b)
		got := "unknown"
		if o := r.Objectives[0].Overspend; o != nil {
			got = fmt.Sprint(*o)
		}
		if got != c.want || len(r.Missing) != 2-len(c.texts) {
			t.Errorf("%v: got %s with %d missing, want %s", c.texts, got, len(r.Missing), c.want)
		}
		if o := r.Objectives[0].Overspend; o != nil && *o > 0 != (len(r.Objectives[0].Firing) > 0) {
			t.Errorf("%v: got %v firing", c.texts, r.Objectives[0].Firing)
		}
	}
}

// It guards against default objectives other than those of the requirements.
func TestDefaults(t *testing.T) {
	f := &fleet{now: time.Unix(0, 0), texts: map[string]string{"a1": text(1, 0, 0, 1, 1)}}
	b := f.burner()
	b.Scrape(t.Context())
	var out bytes.Buffer
	if err := b.Text(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"95% in 420 ms", "95% in 49 ms", "Missing: b1 (connection refused)", "Burn rates need a second scrape."} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got no %q in\n%s", want, out.String())
		}
	}
}

// It guards against alert rules that count other answers as failures than the
// report does.
func TestFailures(t *testing.T) {
	page, err := os.ReadFile("../../docs/alerts.md")
	if err != nil {
		t.Fatal(err)
	}
	var codes []string
	for _, k := range failures {
		codes = append(codes, k.Code())
	}
	want := fmt.Sprintf("{code=~%q}", strings.Join(codes, "|"))
	all := fmt.Sprintf("{code=~%q}", "ok|replayed|"+strings.Join(codes, "|"))
	if got := strings.Count(string(page), want) + strings.Count(string(page), all); got != 8 {
		t.Errorf("got %d rates with the codes %s, want 8", got, want)
	}
}
