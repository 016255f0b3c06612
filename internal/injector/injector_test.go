package injector

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
)

// A fault that hits other requests than the marked ones, or more often than
// allowed, would make tests fail for the wrong reason.
func TestHit(t *testing.T) {
	j, err := New([]string{"crash", "hang"}, []string{"crash,marker=boom,times=2,value=3"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i, test := range []struct {
		kind, text string
		want       bool
	}{{"crash", "quiet", false}, {"hang", "boom", false}, {"crash", "a boom", true}, {"crash", "boom", true}, {"crash", "boom", false}} {
		value, got := j.Hit(test.kind, test.text)
		if got != test.want || got && value != 3 {
			t.Errorf("hit %d: got %v %v, want %v", i, got, value, test.want)
		}
	}
}

func TestShare(t *testing.T) {
	j, err := New([]string{"crash"}, []string{"crash,share=0.25"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for range 4000 {
		if _, ok := j.Hit("crash", ""); ok {
			got++
		}
	}
	if got < 900 || got > 1100 {
		t.Errorf("got %d hits of 4000, want about 1000", got)
	}
}

// A misspelt fault that is ignored would let a test pass without its fault.
func TestUnknownRulesAreRefused(t *testing.T) {
	for _, rule := range []string{"crahs", "crash,mark=x", "crash,times=x", ""} {
		if _, err := New([]string{"crash"}, []string{rule}, 1); !errors.Is(err, fault.Malformed) {
			t.Errorf("rule %q: got %v, want %v", rule, err, fault.Malformed)
		}
	}
	j, err := New([]string{"crash"}, nil, 1)
	if err != nil {
		t.Fatal(err)
	}
	for body, want := range map[string]int{`[{"kind":"crash"}]`: http.StatusOK, `[{"kind":"x"}]`: http.StatusBadRequest} {
		w := httptest.NewRecorder()
		j.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/faults", strings.NewReader(body)))
		if got := w.Code; got != want {
			t.Errorf("%s: got %d, want %d", body, got, want)
		}
	}
	if _, got := j.Hit("crash", ""); !got {
		t.Error("the rule that was put has no effect")
	}
}
