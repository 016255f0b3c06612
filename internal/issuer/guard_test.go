package issuer

import (
	"net/http"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/wire"
)

func target(name, role string, models ...string) *wire.Target {
	return &wire.Target{Name: name, Kind: kindEngine, State: stateReady, Role: role, Models: models, Fencing: true}
}

// orderToB returns an order to target b.
func orderToB(verb, subject, outcome string, attempts uint64, concluded int64) *wire.OrderState {
	return &wire.OrderState{Order: &wire.Order{Target: "b", Verb: verb, Subject: subject}, Outcome: outcome, Attempts: attempts, Concluded: concluded}
}

// An order allowed by mistake takes a model out of service; one refused by mistake
// blocks an operator.
func TestGuard(t *testing.T) {
	leaving := target("b", "both", "m")
	leaving.State = "leaving"
	service := &wire.Target{Name: "s", Kind: "service", State: stateReady}
	const settled = 100
	for _, c := range []struct {
		name          string
		targets       []*wire.Target
		orders        []*wire.OrderState
		verb, subject string
		want          string
	}{
		{"last copy", []*wire.Target{target("b", "both", "n")}, nil, Unload, "m", "last ready copy of model m"},
		{"another copy", []*wire.Target{target("b", "both", "m")}, nil, Unload, "m", ""},
		{"another copy in another role", []*wire.Target{target("b", "prefill", "m")}, nil, Unload, "m", "in role both"},
		{"leaving target has another copy", []*wire.Target{leaving}, nil, Unload, "m", "last ready copy"},
		{"no copy", nil, nil, Unload, "x", ""},
		{"load", nil, nil, Load, "m", ""},
		{"role", nil, nil, Role, "prefill", "last ready copy of model m"},
		{"same role", nil, nil, Role, "both", ""},
		{"role change, one of two models served elsewhere", []*wire.Target{target("b", "both", "m")}, nil, Role, "prefill", "model n"},
		{"other copy is being unloaded", []*wire.Target{target("b", "both", "m")},
			[]*wire.OrderState{orderToB(Unload, "m", "", 1, 0)}, Unload, "m", "orders remove it from b"},
		{"other copy changes role", []*wire.Target{target("b", "both", "m")},
			[]*wire.OrderState{orderToB(Role, "decode", "", 1, 0)}, Unload, "m", "orders remove it from b"},
		{"other copy was just unloaded", []*wire.Target{target("b", "both", "m")},
			[]*wire.OrderState{orderToB(Unload, "m", Obeyed, 1, settled+1)}, Unload, "m", "orders remove it from b"},
		{"other copy was loaded again", []*wire.Target{target("b", "both", "m")},
			[]*wire.OrderState{orderToB(Unload, "m", Obeyed, 1, settled)}, Unload, "m", ""},
		{"order to the other copy not sent", []*wire.Target{target("b", "both", "m")},
			[]*wire.OrderState{orderToB(Unload, "m", "", 0, 0), orderToB(Unload, "m", Refused, 0, settled+1)}, Unload, "m", ""},
		{"order to the other copy for another model", []*wire.Target{target("b", "both", "m")},
			[]*wire.OrderState{orderToB(Unload, "n", "", 1, 0)}, Unload, "m", ""},
	} {
		g := guard{targets: append(c.targets, target("a", "both", "m", "n")), orders: c.orders, settledBefore: settled}
		got := g.check(&wire.OrderState{Order: &wire.Order{Target: "a", Verb: c.verb, Subject: c.subject}})
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
	g := guard{targets: []*wire.Target{service}}
	if got := g.check(&wire.OrderState{Order: &wire.Order{Target: "s", Verb: Load, Subject: "m"}}); !strings.Contains(got, "not an engine") {
		t.Errorf("order to a service: got %q, want refused as not an engine", got)
	}
}

// Treating a transient response as final loses an order; treating a final one as
// transient blocks the orders behind it.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		status   int
		answer   string
		attempts uint64
		outcome  string
		detail   string
	}{
		{http.StatusOK, `{}`, 0, Obeyed, ""},
		{http.StatusConflict, `{"error":{"code":"fenced"},"fence":7}`, 0, Superseded, "fencing number 7"},
		{http.StatusConflict, `{"error":{"code":"busy","message":"other"}}`, 0, Refused, "other"},
		{http.StatusBadRequest, `{"error":{"message":"no such model"}}`, 0, Refused, "no such model"},
		{http.StatusUnauthorized, `no JSON`, 1, Refused, "may have been obeyed"},
		{http.StatusTooManyRequests, ``, 0, "", ""},
		{http.StatusServiceUnavailable, ``, 0, "", ""},
		{http.StatusNoContent, ``, 0, "", ""},
	} {
		outcome, detail := classify(&wire.OrderState{Attempts: c.attempts}, c.status, []byte(c.answer))
		if outcome != c.outcome || !strings.Contains(detail, c.detail) {
			t.Errorf("status %d %s: got %q %q, want %q %q", c.status, c.answer, outcome, detail, c.outcome, c.detail)
		}
	}
}
