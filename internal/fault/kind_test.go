package fault

import (
	"testing"

	"github.com/rotisserie/eris"
)

// A kind without a row is reported as internal, which tells the caller that the
// request may have run even if it did not.
func TestTableIsComplete(t *testing.T) {
	codes := map[string]bool{}
	for _, k := range Kinds() {
		r, ok := table[k]
		if !ok {
			t.Errorf("kind %d: got no row, want one", k)
		}
		if codes[r.code] {
			t.Errorf("code %q: got more than one kind, want one", r.code)
		}
		codes[r.code] = true
		if got := Parse(r.code); got != k {
			t.Errorf("Parse(%q): got %d, want %d", r.code, got, k)
		}
	}
	if got, want := len(table), len(Kinds()); got != want {
		t.Errorf("rows: got %d, want %d", got, want)
	}
}

func TestOf(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want Kind
	}{
		{"kind", Exhausted, Exhausted},
		{"wrapped", eris.Wrap(eris.Wrapf(Isolated, "zone %s", "a"), "claim"), Isolated},
		{"foreign", eris.New("disk failure"), Internal},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Of(test.err); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
