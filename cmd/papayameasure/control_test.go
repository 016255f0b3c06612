package main

import (
	"errors"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
)

// A rate without changes must be reported as a malformed argument before anything is
// measured: a ticker without an interval panics.
func TestControlArguments(t *testing.T) {
	for _, test := range []struct {
		name string
		args controlArguments
	}{
		{"no changes", controlArguments{Rate: 0, Time: time.Second}},
		{"negative rate", controlArguments{Rate: -1, Time: time.Second}},
		{"rate beyond the resolution of the clock", controlArguments{Rate: 2e9, Time: time.Second}},
		{"no time", controlArguments{Rate: 2}},
	} {
		test.args.File = "../../docs/capacity.toml"
		if err := test.args.run(); !errors.Is(err, fault.Malformed) {
			t.Errorf("%s: got %v, want an error of kind %v", test.name, err, fault.Malformed)
		}
	}
}
