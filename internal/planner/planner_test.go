package planner

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
)

// The page must not show other figures than those that the program works out
// from the measured slopes.
func TestPageHoldsThePrintedTables(t *testing.T) {
	text, err := os.ReadFile("../../docs/capacity.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := p.Print(&want); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "<!-- begin papayameasure plan -->\n")
	got, _, found := strings.Cut(rest, "<!-- end papayameasure plan -->\n")
	if !found || got != want.String() {
		t.Errorf("docs/CAPACITY.md: got %d bytes between the marks, want the %d bytes that papayameasure plan prints", len(got), want.Len())
	}
}

// A load without its slope would count as 0 and seem to hold.
func TestParseRefusesAMissingSlope(t *testing.T) {
	_, err := Parse([]byte("[sizes]\ndaemons = 340.0\n"))
	if got, want := fault.Of(err), fault.Malformed; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestNumber(t *testing.T) {
	for _, test := range []struct {
		value float64
		want  string
	}{{0.0246123, "0.0246"}, {23.06, "23.1"}, {344.4, "344"}, {11_680_000, "11700000"}} {
		if got := number(test.value); got != test.want {
			t.Errorf("%v: got %s, want %s", test.value, got, test.want)
		}
	}
}
