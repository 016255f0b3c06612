package resubmitter

import (
	"context"
	"errors"
	"slices"
	"testing"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// Retained bills must reach a restored ledger before the statement that there
// are no more, and a failed call must be retried. Otherwise bills are lost, or
// tokens that may have been spent are freed.
func TestResubmit(t *testing.T) {
	epochs := map[string]uint64{"a": 1, "b": 1}
	kept := []*wire.KeepRequest{{Epoch: 1, Bills: []*wire.Bill{{Request: "r"}}}, {Epoch: 2}}
	var calls []*wire.KeepRequest
	failing := true
	r := New(Config{
		Holding:   func() *wire.Holding { return &wire.Holding{Instance: "a2", Incarnation: 9} },
		StartTime: 7,
		Holders:   map[string]string{"a": "a1", "b": "b1"},
		Epochs:    func(context.Context) (map[string]uint64, error) { return epochs, nil },
		RetainedBills: func(_ string, epoch uint64) ([]*wire.KeepRequest, uint64) {
			return slices.DeleteFunc(slices.Clone(kept), func(q *wire.KeepRequest) bool { return q.Epoch >= epoch }), 0
		},
		DropRetained: func(string, uint64) { kept = kept[1:] },
		Resubmit: func(_ context.Context, holder string, q *wire.KeepRequest) error {
			if failing {
				return errors.New("not reachable")
			}
			calls = append(calls, q)
			return nil
		},
		Logger: zap.NewNop(),
	})
	r.check(t.Context())
	epochs["a"] = 2
	r.check(t.Context())
	failing = false
	r.check(t.Context())
	r.check(t.Context())
	if got, want := len(calls), 2; got != want {
		t.Fatalf("calls: got %d, want %d", got, want)
	}
	if len(calls[0].Bills) != 1 || calls[0].Since != 0 {
		t.Errorf("first call: got %v, want the bill without the statement", calls[0])
	}
	if len(calls[1].Bills) != 0 || calls[1].Since != 7 || calls[1].Epoch != 1 {
		t.Errorf("second call: got %v, want the statement since 7", calls[1])
	}
}
