package spender_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/wire"
)

// syncOnce sends the declaration of a spender to an allocator and applies the
// reply.
func syncOnce(s *spender.Spender, a *allocator.Allocator, instance string, sequence uint64, spare int64) {
	result := a.Apply(&wire.Allotment{Instance: instance, Sequence: sequence, Allowances: s.Declare()})
	for _, l := range result.Limits {
		l.Spare = l.Free + spare
	}
	s.UpdateLimits(result.Limits, 1)
}

func newAllocator(total int64) *allocator.Allocator {
	return allocator.New(allocator.Config{Budget: func(string) (int64, bool) { return total, true }})
}

// A request must wait for a higher limit instead of being refused, as long as
// the budget may cover it.
func TestReserveWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s := newAllocator(1000), spender.New(spender.Config{})
		done := make(chan error, 1)
		go func() {
			_, err := s.Reserve(t.Context(), "shop", 900)
			done <- err
		}()
		synctest.Wait()
		syncOnce(s, a, "e#1", 1, 0)
		if err := <-done; err != nil {
			t.Errorf("got %v, want a reservation", err)
		}
	})
}

// An exhausted budget must be distinguished from a limit that is too low, since
// waiting helps only with the latter.
func TestReserveRefusals(t *testing.T) {
	for _, test := range []struct {
		name  string
		spare int64
		want  fault.Kind
	}{
		{"nothing idle elsewhere", 0, fault.Exhausted},
		{"idle at another instance", 2000, fault.Overloaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, s := newAllocator(1000), spender.New(spender.Config{})
				done := make(chan error, 1)
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					_, err := s.Reserve(ctx, "shop", 1500)
					done <- err
				}()
				synctest.Wait()
				for sequence := range uint64(4) {
					syncOnce(s, a, "e#1", sequence+1, test.spare)
					synctest.Wait()
				}
				if got := fault.Of(<-done); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}

// While the core instances answer, only the soft limit may be spent. Otherwise
// nothing could be proved about the spending of a killed process.
func TestSoftLimit(t *testing.T) {
	isolated := false
	s := spender.New(spender.Config{Isolated: func() bool { return isolated }})
	s.UpdateLimits([]*wire.Limit{{Account: "shop", Limit: 500, Lock: 100, Total: 1000, Free: 500}}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.Reserve(ctx, "shop", 101); !errors.Is(err, fault.Overloaded) {
		t.Errorf("beyond the soft limit: got %v, want %v", err, fault.Overloaded)
	}
	isolated = true
	if _, err := s.Reserve(ctx, "shop", 500); err != nil {
		t.Errorf("isolated, up to the limit: got %v, want a reservation", err)
	}
	if _, err := s.Reserve(ctx, "shop", 1); !errors.Is(err, fault.Overloaded) {
		t.Errorf("beyond the limit: got %v, want %v", err, fault.Overloaded)
	}
}

// The rest of a nearly exhausted budget must not sit idle at an instance that
// doesn't need it.
func TestScarceBudgetIsReturned(t *testing.T) {
	now := time.Unix(1000, 0)
	s := spender.New(spender.Config{Now: func() time.Time { return now }})
	s.UpdateLimits([]*wire.Limit{{Account: "shop", Limit: 400, Lock: 400, Total: 1000, Free: 600}}, 1)
	r, err := s.Reserve(t.Context(), "shop", 300)
	if err != nil {
		t.Fatal(err)
	}
	r.Settle(120)
	now = now.Add(200 * time.Millisecond)
	s.UpdateLimits([]*wire.Limit{{Account: "shop", Limit: 400, Lock: 400, Total: 1000, Free: 10}}, 1)
	got := s.Declare()[0]
	if got.Limit != 120 || got.Used != 120 {
		t.Errorf("got limit %d and used %d, want 120 and 120", got.Limit, got.Used)
	}
}
