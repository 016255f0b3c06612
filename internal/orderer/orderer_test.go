package orderer

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"
)

func call(o *Orderer, method, path, body string) (status int, text string) {
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // the fault "reset" aborts the handler
		o.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	}()
	return w.Code, w.Body.String()
}

// If the service hid a second run or lost its counts in a crash, duplicate orders
// would go unnoticed.
func TestRunCountsSurviveRestart(t *testing.T) {
	cfg := Config{Logger: zap.NewNop(), File: filepath.Join(t.TempDir(), "orders"), Crash: func() {}}
	o, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "a"} {
		if got, text := call(o, http.MethodPost, "/orders", `{"order":"`+id+`","sku":"x","quantity":1}`); got != http.StatusCreated {
			t.Fatalf("order %s: got %d %s", id, got, text)
		}
	}
	restarted, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, server := range []*Orderer{o, restarted} {
		if _, got := call(server, http.MethodGet, "/counts", ""); got != `{"a":2,"b":1}` {
			t.Errorf("counts: got %s, want a twice and b once", got)
		}
	}
	if got, _ := call(o, http.MethodGet, "/orders/c", ""); got != http.StatusNotFound {
		t.Errorf("unknown order: got %d, want %d", got, http.StatusNotFound)
	}
}

// The faults leave it uncertain whether an order ran, so they must occur after the
// run. Only "status" must occur before it.
func TestFaultTiming(t *testing.T) {
	for rule, want := range map[string]string{"crash": `{"a":1}`, "reset": `{"a":1}`, "status": `{}`} {
		crashed := false
		o, err := New(Config{Logger: zap.NewNop(), Faults: []string{rule + ",marker=a"}, Crash: func() { crashed = true }})
		if err != nil {
			t.Fatal(err)
		}
		if got, text := call(o, http.MethodPost, "/orders", `{"order":"a"}`); got == http.StatusCreated {
			t.Errorf("%s: got response %s, want none", rule, text)
		}
		if _, got := call(o, http.MethodGet, "/counts", ""); got != want {
			t.Errorf("%s: got counts %s, want %s", rule, got, want)
		}
		if crashed != (rule == "crash") {
			t.Errorf("%s: got crashed %v, want it only for the crash fault", rule, crashed)
		}
	}
}
