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
		MaxWait:   map[string]time.Duration{"chat": wait, "quote": wait},
	})
}

// More requests than this instance's share of the slots must not be in flight,
// and a request that gave up must not take a place.
func TestLimit(t *testing.T) {
	a := fixed(4, 20*time.Millisecond)
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
		t.Errorf("third request: got %v, want overloaded with a pause", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, err := a.Admit(ctx, "m", "", "a", 1, "chat"); fault.Of(err) != fault.Expired {
		t.Errorf("caller has gone: got %v, want expired", err)
	}
	releases[0]()
	releases[0]()
	if got, want := a.InFlight(), 1; got != want {
		t.Errorf("in flight after a double release: got %d, want %d", got, want)
	}
	if _, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat"); err != nil {
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
	if got, want := a.bound(&l, "m", ""), 4+3; got != want {
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
	if got, want := a.bound(&l, "m", ""), 12; got != want {
		t.Errorf("limit: got %d, want 1.5 times the share of 8", got)
	}
}

// A request whose expected wait exceeds its deadline must be refused at once
// instead of after the deadline.
func TestEarlyRefusal(t *testing.T) {
	a := fixed(2, 10*time.Second)
	if _, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat"); err != nil {
		t.Fatal(err)
	}
	a.lines[key{"m", ""}].hold.add(time.Minute)
	start := time.Now()
	_, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat")
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
		if _, _, err := a.Admit(t.Context(), "m", "", "a", 1, "chat"); err != nil {
			t.Errorf("got %v, want admission", err)
		}
	}
}

// Calls to a service must be bounded by what its targets take, and neither
// they nor model requests may use up the places of the other.
func TestServices(t *testing.T) {
	a := fixed(2, 20*time.Millisecond)
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
				t.Errorf("got %v, want overloaded", err)
			}
		}
		if admitted != test.want {
			t.Errorf("%s%s: got %d admissions, want a half of the slots, %d", test.model, test.service, admitted, test.want)
		}
	}
}

// A request that waits for so long that the engine's part of the time to the
// first token breaks the service level must be refused instead.
func TestDeadline(t *testing.T) {
	for _, test := range []struct {
		class string
		took  time.Duration
		want  time.Duration
	}{
		{"chat", 0, mostWait}, {"chat", 50 * time.Millisecond, mostWait}, {"chat", 320 * time.Millisecond, 100 * time.Millisecond},
		{"quote", time.Second, leastWait}, {"sheet", time.Second, plainWait},
	} {
		now := time.Unix(0, 0)
		a := fixed(8, 0)
		a.cfg.MaxWait, a.cfg.Now = nil, func() time.Time { return now }
		started, release, err := a.Admit(t.Context(), "m", "", "a", 1, test.class)
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(test.took)
		started()
		now = now.Add(time.Minute)
		release()
		if got := a.longest(a.lines[key{"m", ""}], test.class); got != test.want {
			t.Errorf("%s that took %v: got a wait of %v, want %v", test.class, test.took, got, test.want)
		}
	}
}

// An instance must not go beyond its share at once, nor at all while chats
// wait long for their first token: the instances would fill the engines'
// queues before any report shows it.
func TestRamp(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLine("m", "")
	l.limit = limit{value: 30, share: 20}
	l.queue.put(&waiter{account: "a", weight: 1})
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
		l.begun[&place{class: "chat", start: now.Add(-lateTime)}] = struct{}{}
	}
	if grow(maxStep); l.allowed() != 20 {
		t.Errorf("with late chats: got %d, want the share of 20", l.allowed())
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
