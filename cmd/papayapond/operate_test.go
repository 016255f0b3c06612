package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/sampler"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// Guards against a plan that compares the configurations in the wrong order and
// shows an added objective as removed.
func TestPlan(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := sampler.New(sampler.Config{Zones: []int{1}, Budget: 10, Start: start, End: start.AddDate(1, 0, 0)})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(s.Configuration()) }))
	defer server.Close()
	v := s.Venture().WithVersion(2, 1).WithObjectives(venture.Objective{Name: "first", Measure: venture.FirstToken, Limit: 420, Share: 0.95})
	next, err := configuration.Parse(printer.Text(v))
	if err != nil {
		t.Fatal(err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = w
	command := applyCommand{remoteOptions: remoteOptions{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second}}
	err = command.plan(t.Context(), next)
	os.Stdout = stdout
	_ = w.Close()
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), "objective first: added"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q in it", got, want)
	}
}

// Guards against error texts that mention a request when a mistyped command
// never sent one.
func TestErrorText(t *testing.T) {
	for _, test := range []struct {
		err  error
		want string
	}{
		{eris.Wrap(fault.Malformed, "add --confirm"), "add --confirm"},
		{fault.Malformed, fault.Malformed.Error()},
		{eris.Wrap(fault.Conflict, "version 2"), "version 2: " + fault.Conflict.Error()},
	} {
		if got := errorText(test.err); got != test.want {
			t.Errorf("got %q, want %q", got, test.want)
		}
	}
}
