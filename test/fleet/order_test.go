package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/sampler"
)

// command runs the operators' command line against an instance.
func (f *fleet) command(i int, args ...string) (string, error) {
	c := exec.Command(filepath.Join(binaries, "papayapond"), append(args, "--address", f.ports[i*4+1], "--key", sampler.OperatorKey, "--timeout", patience.String())...)
	out, err := c.CombinedOutput()
	return string(out), err
}

// obeyed returns the fencing numbers of the orders that an engine obeyed.
func (f *fleet) obeyed(address string) []uint64 {
	f.t.Helper()
	r, err := http.Get("http://" + address + "/v1/orders")
	if err != nil {
		f.t.Fatal(err)
	}
	defer r.Body.Close()
	var orders []struct{ Fence uint64 }
	if err := json.NewDecoder(r.Body).Decode(&orders); err != nil {
		f.t.Fatal(err)
	}
	var fences []uint64
	for _, o := range orders {
		fences = append(fences, o.Fence)
	}
	return fences
}

// Orders must reach targets that obey and that ignore fencing numbers, in
// their order and with one outcome, also when the leader is killed between
// them; the last ready copy must stay unless the order is forced.
func TestOrdersToTargets(t *testing.T) {
	f := start(t, []int{1, 1, 1}, 100_000, false)
	addresses := freeAddresses(t, 2)
	f.engine("engine-0", "a", []int{0, 1, 2}, "--address", addresses[0], "--load-time", "100ms")
	f.engine("engine-1", "b", []int{0, 1, 2}, "--address", addresses[1], "--load-time", "100ms", "--ignore-fence")
	for i := range f.names {
		f.routes(i)
	}
	order := func(i int, want, target, verb, subject, request string, flags ...string) {
		t.Helper()
		out, err := f.command(i, append([]string{"order", target, verb, subject, "--request", request}, flags...)...)
		if !strings.Contains(out, want) || (err == nil) != (want == "It was obeyed.") {
			t.Errorf("%s %s %s: got %v %q, want %q", target, verb, subject, err, out, want)
		}
	}
	const ok = "It was obeyed."
	order(0, ok, "engine-0", "load", "spare", "r1")
	order(1, ok, "engine-1", "load", "spare", "r1")
	order(0, ok, "engine-0", "unload", sampler.Model, "r2")
	order(1, "last ready copy of model "+sampler.Model, "engine-1", "unload", sampler.Model, "r2")

	// The next leader must go on with an order that was sent without an answer.
	leader := f.leader()
	next := (leader + 1) % len(f.names)
	f.signal("engine-1", syscall.SIGSTOP)
	if out, err := f.command(next, "order", "engine-1", "load", "large", "--request", "pending", "--no-wait"); err != nil {
		t.Fatalf("order to a stopped engine: %v %s", err, out)
	}
	f.eventually("attempt the order", func() error {
		out, err := f.command(next, "orders", "--target", "engine-1")
		if err == nil && strings.Count(out, `"attempts": 0`) != 1 {
			err = fmt.Errorf("got %s, want only the refused order without an attempt", out)
		}
		return err
	})
	f.kill(f.names[leader])
	f.signal("engine-1", syscall.SIGCONT)
	order(next, ok, "engine-1", "load", "large", "pending")
	order(next, ok, "engine-0", "load", sampler.Model, "r3")
	order(next, ok, "engine-1", "unload", sampler.Model, "r3", "--forced")
	order(next, ok, "engine-0", "load", "spare", "r1")
	if got, want := f.obeyed(addresses[0]), []uint64{1, 2, 3}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("orders of engine-0: got %v, want %v", got, want)
	}
	// An engine may read an order again whose answer was lost.
	if got, want := slices.Compact(f.obeyed(addresses[1])), []uint64{1, 3, 4}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("orders of engine-1: got %v, want %v", got, want)
	}
	out, err := f.command(next, "orders")
	if got := strings.Count(out, `"outcome": "obeyed"`); err != nil || got != 6 || !strings.Contains(out, `"outcome": "refused"`) {
		t.Errorf("list: got %v %s, want 6 obeyed orders and a refused one", err, out)
	}
}

// leader returns the number of the instance that leads the log.
func (f *fleet) leader() int {
	f.t.Helper()
	leader := -1
	f.eventually("have a leader", func() error {
		text, err := f.client(0).Call(f.t.Context(), http.MethodGet, "/v1/fleet", nil)
		if err != nil {
			return err
		}
		var fleet struct{ Leader string }
		if err := json.Unmarshal(text, &fleet); err != nil {
			return err
		}
		for i, name := range f.names {
			if name == fleet.Leader {
				leader = i
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
		return fmt.Errorf("leader is %q", fleet.Leader)
	})
	return leader
}
