package admitter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// fixed returns an admitter before one busy target, shared by two instances.
func fixed(slots uint32, wait time.Duration) *Admitter {
	target := &wire.Target{Name: "e", Models: []string{"m"}, Slots: slots, Running: slots}
	return New(Config{
		Ready:     func(string, string, string) []*wire.Target { return []*wire.Target{target} },
		Instances: func(string) int { return 2 },
		Wait:      map[string]time.Duration{"chat": wait, "quote": wait},
	})
}

// More requests than this instance's share of the slots must not be in flight,
// and a request that gave up must not take a place.
func TestLimit(t *testing.T) {
	a := fixed(4, 20*time.Millisecond)
	var releases []func()
	for range 2 {
		release, err := a.Admit(t.Context(), "m", "a", 1, "chat")
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	_, err := a.Admit(t.Context(), "m", "a", 1, "chat")
	var retry interface{ RetryAfter() time.Duration }
	if fault.Of(err) != fault.Overloaded || !errors.As(err, &retry) || retry.RetryAfter() < time.Second {
		t.Errorf("third request: got %v, want overloaded with a pause", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := a.Admit(ctx, "m", "a", 1, "chat"); fault.Of(err) != fault.Expired {
		t.Errorf("caller has gone: got %v, want expired", err)
	}
	releases[0]()
	releases[0]()
	if got, want := a.Flight(), 1; got != want {
		t.Errorf("in flight after a double release: got %d, want %d", got, want)
	}
	if _, err := a.Admit(t.Context(), "m", "a", 1, "chat"); err != nil {
		t.Errorf("after a release: got %v, want admission", err)
	}
}

// A zone whose targets are full must use the free slots of other zones, but
// not more than its share of them.
func TestOtherZones(t *testing.T) {
	targets := []*wire.Target{
		{Name: "a", Zone: "a", Models: []string{"m"}, Slots: 8, Running: 8},
		{Name: "b", Zone: "b", Models: []string{"m"}, Slots: 16, Running: 4},
		{Name: "s", Zone: "a", Services: []string{"orders"}},
	}
	a := New(Config{
		Zone:  "a",
		Ready: func(string, string, string) []*wire.Target { return targets },
		Instances: func(zone string) int {
			if zone == "a" {
				return 2
			}
			return 4
		},
	})
	var l limit
	if got, want := a.bound(&l, "m"), 4+3; got != want {
		t.Errorf("limit: got %d, want a half of 8 slots and a quarter of 12 free ones", got)
	}
}

// At the start of a burst the late reports say that all slots are free. The
// limit must stay near the share, or the engines' queues grow for seconds.
func TestBurst(t *testing.T) {
	a := fixed(16, time.Second)
	a.cfg.Ready = func(string, string, string) []*wire.Target {
		return []*wire.Target{{Name: "e", Models: []string{"m"}, Slots: 16}}
	}
	var l limit
	if got, want := a.bound(&l, "m"), 12; got != want {
		t.Errorf("limit: got %d, want 1.5 times the share of 8", got)
	}
}

// A request whose expected wait exceeds its deadline must be refused at once
// instead of after the deadline.
func TestEarlyRefusal(t *testing.T) {
	a := fixed(2, 10*time.Second)
	if _, err := a.Admit(t.Context(), "m", "a", 1, "chat"); err != nil {
		t.Fatal(err)
	}
	a.models["m"].hold = time.Minute
	start := time.Now()
	_, err := a.Admit(t.Context(), "m", "a", 1, "chat")
	if took := time.Since(start); fault.Of(err) != fault.Overloaded || took > time.Second {
		t.Errorf("got %v after %v, want overloaded at once", err, took)
	}
}

// A model without a ready target must not block its callers, since the
// dispatcher tells them the truth.
func TestNoTarget(t *testing.T) {
	a := New(Config{
		Ready:     func(string, string, string) []*wire.Target { return nil },
		Instances: func(string) int { return 1 },
	})
	for range 3 {
		if _, err := a.Admit(t.Context(), "m", "a", 1, "chat"); err != nil {
			t.Errorf("got %v, want admission", err)
		}
	}
}

// take drains n waiters and counts them by key.
func take(q *queue, n int, key func(*waiter) string) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[key(q.take())]++
	}
	return counts
}

// A large backlog of one account must not crowd out another account: both get
// admissions by their weights.
func TestAccounts(t *testing.T) {
	q := newQueue()
	for i := range 100 {
		q.put(&waiter{account: "large", weight: 1})
		if i < 30 {
			q.put(&waiter{account: "small", weight: 3})
		}
	}
	late := &waiter{account: "late", weight: 1}
	if got := q.ahead(late); got > 5 {
		t.Errorf("waiters ahead of a new account: got %v, want at most 5", got)
	}
	counts := take(&q, 40, func(w *waiter) string { return w.account })
	if counts["small"] < 29 || counts["large"] < 9 {
		t.Errorf("admissions: got %v, want 30 of small and 10 of large", counts)
	}
	q.put(late)
	if counts := take(&q, 3, func(w *waiter) string { return w.account }); counts["late"] != 1 {
		t.Errorf("admissions after an idle account came: got %v, want it among them", counts)
	}
}

// Chats must go before drafts, but a stream of chats must not starve drafts.
func TestClasses(t *testing.T) {
	q := newQueue()
	for range 100 {
		for _, class := range []string{"quote", "json", "chat"} {
			q.put(&waiter{account: "a", weight: 1, rank: rank(class)})
		}
	}
	counts := take(&q, 42, func(w *waiter) string { return []string{"chat", "json", "quote"}[w.rank] })
	if counts["chat"] < 31 || counts["json"] < 7 || counts["quote"] < 1 {
		t.Errorf("admissions: got %v, want shares of 16, 4 and 1", counts)
	}
}
