package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// started returns the number of requests that an engine has taken.
func started(t *testing.T, address string) int {
	t.Helper()
	r, err := http.Get("http://" + address + "/v1/load")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var load struct{ Counts struct{ Started int } }
	if err := json.NewDecoder(r.Body).Decode(&load); err != nil {
		t.Fatal(err)
	}
	return load.Counts.Started
}

// A burst beyond the capacity must be refused in part, with a pause for the
// retry, and a refused request must not have reached a target.
func TestBurst(t *testing.T) {
	f := start(t, []int{1, 1, 1}, 1_000_000, false)
	address := freeAddresses(t, 1)[0]
	f.engine("engine-a", "a", []int{0}, "--address", address, "--slots", "2", "--decode", "20ms")
	f.routes(0)
	before := started(t, address)
	answers := make([]answer, 40)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = f.chat(0, fmt.Sprintf("Burst %d", i), 20, true, "") })
	}
	wg.Wait()
	whole, refused := 0, 0
	for _, a := range answers {
		code, run := a.code()
		switch {
		case code == "overloaded" && run == "no" && a.status == http.StatusTooManyRequests && a.header.Get("Retry-After") != "":
			refused++
		case code == "" && a.status == http.StatusOK:
			whole++
		default:
			t.Errorf("got %d %s run=%s, want 200 or overloaded run=no with Retry-After", a.status, code, run)
		}
	}
	if refused == 0 || whole == 0 {
		t.Errorf("got %d whole answers and %d refusals, want both", whole, refused)
	}
	if got := started(t, address) - before; got != whole {
		t.Errorf("requests at the engine: got %d, want the %d that were answered", got, whole)
	}
}

// A target that freezes with open connections must not hold requests for good:
// those without a token go to another target, and a broken stream ends with an
// error.
func TestFrozenTarget(t *testing.T) {
	f := start(t, []int{1, 1, 1}, 1_000_000, false)
	for _, name := range []string{"engine-a", "engine-b"} {
		f.engine(name, "a", []int{0}, "--decode", "20ms")
	}
	f.routes(0)
	time.Sleep(2 * time.Second) // both engines are known
	answers := make([]answer, 12)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			if i >= len(answers)/2 {
				time.Sleep(time.Second)
			}
			answers[i] = f.chat(0, fmt.Sprintf("Frozen %d", i), 60, i%2 == 0, "")
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.signal("engine-a", syscall.SIGSTOP)
	began := time.Now()
	wg.Wait()
	if took := time.Since(began); took > 12*time.Second {
		t.Errorf("answers took %v after the freeze, want at most 12 s", took)
	}
	whole := 0
	for i, a := range answers {
		code, run := a.code()
		switch {
		case a.status == http.StatusOK && code == "":
			whole++
		case i < len(answers)/2 && i%2 == 0 && code == "interrupted" && run == "yes":
		default:
			t.Errorf("request %d: got %d %s run=%s, want an answer or a truthful error", i, a.status, code, run)
		}
	}
	if whole < len(answers)/2 {
		t.Errorf("whole answers: got %d of %d, want at least those sent after the freeze", whole, len(answers))
	}
}
