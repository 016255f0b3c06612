package dissolver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// Closing a venture while a zone holds unbilled tokens, or with other sums than
// those of the replicated log, would owe or lose tokens. One unreachable zone
// must not keep the others from releasing their tokens.
func TestStep(t *testing.T) {
	pools := func(a, b int64) []*wire.Pool {
		return []*wire.Pool{
			{Account: "x", Prepaid: 90, Topups: 10, Unassigned: 100 - a - b, Zones: map[string]int64{"a": a, "b": b}},
			{Account: "y", Prepaid: 50, Unassigned: 50, Zones: map[string]int64{"a": 0}},
		}
	}
	tally := func(granted, released, billed, free, allowances, stranded int64) *wire.Tally {
		return &wire.Tally{Account: "x", Granted: granted, Released: released, Billed: billed, Free: free, Allowances: allowances, Stranded: stranded}
	}
	all := []string{"a1 x 30", "b1 x 12"}
	for _, c := range []struct {
		name     string
		phase    string
		pools    []*wire.Pool
		a, b     *wire.Tally // nil: the holder doesn't reply
		refused  string      // holder that refuses to release
		released []string
		want     string
	}{
		{"open", "open", pools(30, 12), tally(30, 0, 30, 0, 0, 0), tally(12, 0, 12, 0, 0, 0), "", nil, ""},
		{"all is billed", phaseDissolving, pools(30, 12), tally(40, 10, 30, 0, 0, 0), tally(12, 0, 12, 0, 0, 0), "", all, "x 100 42 58, y 50 0 50"},
		{"nothing was used", phaseDissolving, pools(0, 0), tally(0, 0, 0, 0, 0, 0), tally(5, 5, 0, 0, 0, 0), "", nil, "x 100 0 100, y 50 0 50"},
		{"free rights", phaseDissolving, pools(30, 12), tally(30, 0, 30, 1, 0, 0), tally(12, 0, 12, 0, 0, 0), "", all, ""},
		{"allowances", phaseDissolving, pools(30, 12), tally(30, 0, 30, 0, 1, 0), tally(12, 0, 12, 0, 0, 0), "", all, ""},
		{"stranded", phaseDissolving, pools(30, 12), tally(30, 0, 30, 0, 0, 1), tally(12, 0, 12, 0, 0, 0), "", all, ""},
		{"billed less than assigned", phaseDissolving, pools(30, 12), tally(30, 0, 29, 0, 0, 0), tally(12, 0, 12, 0, 0, 0), "", all, ""},
		{"release not in the log", phaseDissolving, pools(30, 12), tally(30, 2, 30, 0, 0, 0), tally(12, 0, 12, 0, 0, 0), "", all, ""},
		{"holder doesn't answer", phaseDissolving, pools(30, 12), tally(30, 0, 30, 0, 0, 0), nil, "", all, ""},
		{"a doesn't release", phaseDissolving, pools(30, 12), tally(30, 0, 30, 0, 0, 0), tally(12, 0, 12, 0, 0, 0), "a1", all, ""},
		{"b doesn't release", phaseDissolving, pools(30, 12), tally(30, 0, 30, 0, 0, 0), tally(12, 0, 12, 0, 0, 0), "b1", all, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed, released := runStep(t, &wire.ReadReply{Phase: c.phase, Pools: c.pools}, map[string]*wire.Tally{"a1": c.a, "b1": c.b}, c.refused)
			if closed != c.want || !slices.Equal(released, c.released) {
				t.Errorf("got %q, released %q, want %q, %q", closed, released, c.want, c.released)
			}
		})
	}
}

// runStep runs one step and returns the balances of the proposed statement and
// the releases requested from the holders. The holder named refused releases
// nothing.
func runStep(t *testing.T, state *wire.ReadReply, tallies map[string]*wire.Tally, refused string) (closed string, released []string) {
	d := New(Config{
		Read: func(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) { return state, nil },
		Propose: func(_ context.Context, m *wire.Command) (*wire.ProposeReply, error) {
			var balances []string
			for _, b := range m.GetClose().Balances {
				balances = append(balances, fmt.Sprint(b.Account, " ", b.Prepaid, " ", b.Billed, " ", b.Refundable))
			}
			closed = strings.Join(balances, ", ")
			return &wire.ProposeReply{}, nil
		},
		Holders: map[string]string{"a": "a1", "b": "b1"},
		Release: func(_ context.Context, holder string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
			released = append(released, fmt.Sprint(holder, " ", q.Account, " ", q.Amount))
			if holder == refused || !q.Closing {
				return nil, errors.New("unreachable")
			}
			return &wire.ReleaseReply{}, nil
		},
		Tally: func(_ context.Context, holder string, _ *wire.TallyRequest) (*wire.TallyReply, error) {
			if tallies[holder] == nil {
				return nil, errors.New("unreachable")
			}
			return &wire.TallyReply{Tallies: []*wire.Tally{tallies[holder]}}, nil
		},
		Logger: zap.NewNop(),
	})
	d.step(t.Context())
	slices.Sort(released)
	return closed, released
}
