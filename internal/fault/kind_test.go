package fault

import (
	"testing"

	"github.com/rotisserie/eris"
)

// A kind without a row would be answered as internal, which tells the caller
// "maybe" where the truth may be "no".
func TestTableIsComplete(t *testing.T) {
	codes := map[string]bool{}
	for _, k := range Kinds() {
		r, ok := table[k]
		if !ok {
			t.Errorf("kind %d has no row", k)
		}
		if codes[r.code] {
			t.Errorf("code %q is used twice", r.code)
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
		{"foreign", eris.New("disk on fire"), Internal},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Of(test.err); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
