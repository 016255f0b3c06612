package admitter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// newAdmitter returns an admitter for one busy target, shared by two instances.
func newAdmitter(slots uint32, wait time.Duration) *Admitter {
	target := &wire.Target{Name: "e", Models: []string{"m"}, Slots: slots, Running: slots}
	return New(Config{
		Ready:     func(string, string, string) []*wire.Target { return []*wire.Target{target} },
		Instances: func(string) int { return 2 },
		MaxWait:   map[string]time.Duration{"chat": wait, "quote": wait},
	})
}

// The requests in flight must not exceed this instance's share of the slots,
// and an abandoned request must not take a slot.
func TestInFlightLimit(t *testing.T) {
	a := newAdmitter(4, 20*time.Millisecond)
	var releases []func()
	for range 2 {
		_, release, err := a.Admit(t.Context(), "m", "", "a", 1, "chat")
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	_, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat")
	var retry interface{ RetryAfter() time.Duration }
	if fault.Of(err) != fault.Overloaded || !errors.As(err, &retry) || retry.RetryAfter() < time.Second {
		t.Errorf("third request: got error %v, want overloaded with a retry delay", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, err := a.Admit(ctx, "m", "", "a", 1, "chat"); fault.Of(err) != fault.Expired {
		t.Errorf("canceled caller: got error %v, want expired", err)
	}
	releases[0]()
	releases[0]()
	if got, want := a.InFlight(), 1; got != want {
		t.Errorf("in flight after a double release: got %d, want %d", got, want)
	}
	if _, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat"); err != nil {
		t.Errorf("after a release: got error %v, want admission", err)
	}
}

// A zone whose targets are full must use its share of the free slots of other
// zones, and no more.
func TestBorrowFromOtherZones(t *testing.T) {
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
	if got, want := a.currentLimit(&l, "m", ""), 4+3; got != want {
		t.Errorf("limit: got %d, want half of 8 slots plus a quarter of 12 free slots", got)
	}
}

// At the start of a burst, delayed reports show all slots as free. The limit
// must stay near the share, or the engines' queues would grow for seconds.
func TestBurstLimit(t *testing.T) {
	a := newAdmitter(16, time.Second)
	a.cfg.Ready = func(string, string, string) []*wire.Target {
		return []*wire.Target{{Name: "e", Models: []string{"m"}, Slots: 16}}
	}
	var l limit
	if got, want := a.currentLimit(&l, "m", ""), 12; got != want {
		t.Errorf("limit: got %d, want 1.5 times the share of 8", got)
	}
}

// A request whose expected wait exceeds its maximum must be rejected
// immediately instead of after the wait.
func TestRejectEarly(t *testing.T) {
	a := newAdmitter(2, 10*time.Second)
	if _, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat"); err != nil {
		t.Fatal(err)
	}
	a.resources[key{"m", ""}].duration.add(time.Minute)
	start := time.Now()
	_, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat")
	if took := time.Since(start); fault.Of(err) != fault.Overloaded || took > time.Second {
		t.Errorf("got error %v after %v, want overloaded immediately", err, took)
	}
}

// A model without a ready target must not block its callers, since the
// dispatcher reports the actual error.
func TestNoTarget(t *testing.T) {
	a := New(Config{
		Ready:     func(string, string, string) []*wire.Target { return nil },
		Instances: func(string) int { return 1 },
	})
	for range 3 {
		if _, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat"); err != nil {
			t.Errorf("got error %v, want admission", err)
		}
	}
}

// Calls to a service must be limited by the slots of its targets. Services and
// models must not use up each other's slots.
func TestServiceLimit(t *testing.T) {
	a := newAdmitter(2, 20*time.Millisecond)
	a.cfg.Ready = func(_, model, service string) []*wire.Target {
		if service != "" {
			return []*wire.Target{{Name: "o1", Services: []string{service}, Slots: 4, Running: 4}, {Name: "o2", Services: []string{service}, Slots: 2, Running: 2}}
		}
		return []*wire.Target{{Name: "e", Models: []string{"m"}, Slots: 2, Running: 2}}
	}
	a.cfg.MaxWait["service"] = 20 * time.Millisecond
	for _, test := range []struct {
		model, service string
		want           int
	}{{"m", "", 1}, {"", "orders", 3}, {"", "stock", 3}} {
		admitted := 0
		for range 5 {
			if _, _, err := a.Admit(t.Context(), test.model, test.service, "a", 1, "service"); err == nil {
				admitted++
			} else if fault.Of(err) != fault.Overloaded {
				t.Errorf("got error %v, want overloaded", err)
			}
		}
		if admitted != test.want {
			t.Errorf("%s%s: got %d admissions, want half of the slots, %d", test.model, test.service, admitted, test.want)
		}
	}
}

// A request must be rejected if its wait plus the engine's time to the first
// token would miss the latency objective.
func TestMaxWait(t *testing.T) {
	for _, test := range []struct {
		class string
		took  time.Duration
		want  time.Duration
	}{
		{"chat", 0, maxInteractiveWait}, {"chat", 50 * time.Millisecond, maxInteractiveWait}, {"chat", 320 * time.Millisecond, 100 * time.Millisecond},
		{"quote", time.Second, minInteractiveWait}, {"sheet", time.Second, maxPlainWait},
	} {
		now := time.Unix(0, 0)
		a := newAdmitter(8, 0)
		a.cfg.MaxWait, a.cfg.Now = nil, func() time.Time { return now }
		started, release, err := a.Admit(t.Context(), "m", "", "a", 1, test.class)
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(test.took)
		started()
		now = now.Add(time.Minute)
		release()
		if got := a.maxWait(a.resources[key{"m", ""}], test.class); got != test.want {
			t.Errorf("%s that took %v: got maximum wait %v, want %v", test.class, test.took, got, test.want)
		}
	}
}

// An instance must not exceed its share abruptly, nor at all while chats are
// late, since the instances would fill the engines' queues before any report
// shows it.
func TestRamp(t *testing.T) {
	now := time.Unix(0, 0)
	l := newResource("m", "")
	l.limit = limit{value: 30, share: 20}
	l.queue.push(&waiter{account: "a", weight: 1})
	grow := func(d time.Duration) {
		for range d / maxStep {
			now = now.Add(maxStep)
			l.step(now)
		}
	}
	grow(maxStep)
	if got, want := l.allowed(), 20; got != want {
		t.Errorf("at the start: got %d, want the share of %d", got, want)
	}
	if grow(time.Minute); l.allowed() != 30 {
		t.Errorf("after a minute: got %d, want the limit of 30", l.allowed())
	}
	for range maxLate {
		l.unstarted[&admission{class: "chat", start: now.Add(-lateAfter)}] = struct{}{}
	}
	if grow(maxStep); l.allowed() != 20 {
		t.Errorf("with late chats: got %d, want the share of 20", l.allowed())
	}
}

// popN pops n waiters and counts them by key.
func popN(q *queue, n int, key func(*waiter) string) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[key(q.pop())]++
	}
	return counts
}

// A large backlog of one account must not starve another account: admissions
// must follow their weights.
func TestAccountFairness(t *testing.T) {
	q := newQueue()
	for i := range 100 {
		q.push(&waiter{account: "large", weight: 1})
		if i < 30 {
			q.push(&waiter{account: "small", weight: 3})
		}
	}
	late := &waiter{account: "late", weight: 1}
	if got := q.ahead(late); got > 5 {
		t.Errorf("waiters ahead of a new account: got %v, want at most 5", got)
	}
	counts := popN(&q, 40, func(w *waiter) string { return w.account })
	if counts["small"] < 29 || counts["large"] < 9 {
		t.Errorf("admissions: got %v, want 30 of small and 10 of large", counts)
	}
	q.push(late)
	if counts := popN(&q, 3, func(w *waiter) string { return w.account }); counts["late"] != 1 {
		t.Errorf("admissions after an idle account was queued: got %v, want one of late", counts)
	}
}

// Chats must go before drafts, but must not starve them.
func TestClassPriority(t *testing.T) {
	q := newQueue()
	for range 100 {
		for _, class := range []string{"quote", "json", "chat"} {
			q.push(&waiter{account: "a", weight: 1, rank: rankOf(class)})
		}
	}
	counts := popN(&q, 42, func(w *waiter) string { return []string{"chat", "json", "quote"}[w.rank] })
	if counts["chat"] < 31 || counts["json"] < 7 || counts["quote"] < 1 {
		t.Errorf("admissions: got %v, want shares of 16, 4 and 1", counts)
	}
}
