package forwarder_test

import (
	"net/http"
	"testing"
	"time"
)

// A target that names a limit must get no more than that, though it is nearest and
// has free slots; the rest goes to other targets. The limit was passed on to callers
// and ignored.
func TestTargetLimit(t *testing.T) {
	const (
		limit    = 2 // a second
		seconds  = 2
		requests = 60
		// maxSent is the bound for the targets' operators, plus the first answer.
		maxSent = 1.5*limit*seconds + 5 + 1
	)
	f := newFixture(t, respond(http.StatusOK, signed+"X-Limit: 2\r\n", "near"), respond(http.StatusOK, signed, "far"))
	for range requests {
		a, _, err := f.post("/again/", nil)
		if err != nil || a.StatusCode != http.StatusOK {
			t.Errorf("got status %d, error %v, want an answer of the other target", a.StatusCode, err)
		}
		time.Sleep(seconds * time.Second / requests)
	}
	sent := 0
	for _, r := range f.requests() {
		if r.Header.Get(headers.Target) == "a" {
			sent++
		}
	}
	if float64(sent) > maxSent {
		t.Errorf("got %d requests at the target in %d s, want at most %v", sent, seconds, maxSent)
	}
}

// When all targets are at their limits, a request must be refused at once, with a
// time to come back at which there is room.
func TestAllTargetsAtLimit(t *testing.T) {
	f := newFixture(t, respond(http.StatusOK, signed+"X-Limit: 0.5\r\n", "answer"))
	refused := 0
	for range 20 {
		begun := time.Now()
		a, _, err := f.post("/again/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if a.StatusCode == http.StatusOK {
			continue
		}
		refused++
		if took := time.Since(begun); a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" || took > 300*time.Millisecond {
			t.Errorf("got status %d, Retry-After %q after %v, want 503 with a time at once", a.StatusCode, a.Header.Get("Retry-After"), took)
		}
	}
	if got, want := refused, 15; got < want {
		t.Errorf("got %d refusals, want at least %d", got, want)
	}
}
