package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/sampler"
	"github.com/papayapond/papayapond/internal/wire"
)

// A retry whose lookup fails runs again. Its caller must get the response that was
// billed, not another one under the same key.
func TestDuplicateGetsBilledResponse(t *testing.T) {
	const first, second = `{"id":"first","choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`, `{"id":"second","choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
	for _, test := range []struct {
		name       string
		kept       string // response in the ledger
		found      bool   // whether the second lookup succeeds
		want       string
		wantCode   string
		wantReplay string
	}{
		{"response kept", first, true, first, "replayed", "true"},
		{"response no longer kept", "", true, second, "ok", ""},
		{"ledger unreachable again", first, false, second, "ok", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			lookups := 0
			f := newFixture(t, func(c *Config) {
				c.Find = func(context.Context, *wire.FindRequest) (*wire.FindReply, error) {
					if lookups++; lookups == 1 || !test.found {
						return nil, eris.Wrap(fault.Expired, "holder")
					}
					return &wire.FindReply{Known: true, Bill: &wire.Bill{Answer: []byte(test.kept), Media: "application/json", Status: http.StatusOK}}, nil
				}
				c.Settle = func(context.Context, uint64, *wire.Bill) (wire.Outcome, error) {
					return wire.Outcome_OUTCOME_DUPLICATE, nil
				}
			})
			f.respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte(second))
			}
			w := f.post(chat, sampler.WondimuKey, "id-1", body(sampler.Model, false))
			if got := strings.TrimSpace(w.Body.String()); w.Code != http.StatusOK || got != test.want || w.Header().Get("Idempotent-Replayed") != test.wantReplay {
				t.Errorf("got %d %s, replayed %q, want 200 %s, replayed %q", w.Code, got, w.Header().Get("Idempotent-Replayed"), test.want, test.wantReplay)
			}
			if f.last.Code != test.wantCode || f.last.Billed != 0 {
				t.Errorf("metrics: got code %s, %d billed, want %s, none billed", f.last.Code, f.last.Billed, test.wantCode)
			}
			if got := f.logs.FilterMessage("identity not looked up, a retry runs again").Len(); got != 1 {
				t.Errorf("got %d lines on the lookup that failed, want 1", got)
			}
		})
	}
}

// A call that ran once must count once in the billed tokens, whichever attempt settles
// its bill.
func TestDuplicateCallIsNotCountedAsBilled(t *testing.T) {
	for _, test := range []struct {
		outcome wire.Outcome
		want    bool
	}{
		{wire.Outcome_OUTCOME_BILLED, true},
		{wire.Outcome_OUTCOME_DUPLICATE, false},
	} {
		t.Run(test.outcome.String(), func(t *testing.T) {
			f := newFixture(t, func(c *Config) {
				c.Propose = func(context.Context, *wire.Command) (*wire.ProposeReply, error) {
					result, err := proto.Marshal(&wire.ClaimResult{Resolved: true, Outcome: &wire.Resolve{Ran: true, Status: http.StatusCreated, Media: "text/plain", Answer: []byte("done")}})
					return &wire.ProposeReply{Result: result}, err
				}
				c.Settle = func(context.Context, uint64, *wire.Bill) (wire.Outcome, error) { return test.outcome, nil }
			})
			w := f.post(orders, sampler.WondimuKey, "id-1", "order")
			if w.Code != http.StatusCreated || w.Body.String() != "done" || f.last.Code != "ok" {
				t.Fatalf("got %d %s, code %s, want the recorded outcome", w.Code, w.Body, f.last.Code)
			}
			if got := f.last.Billed > 0; got != test.want {
				t.Errorf("got %d tokens counted as billed, want any: %v", f.last.Billed, test.want)
			}
		})
	}
}
