package wire

import (
	"errors"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// The text of a kind must not be repeated by each hop, and the kind must
// survive.
func TestFaultOverHops(t *testing.T) {
	for _, test := range []struct {
		err  error
		want string
	}{
		{fault.Isolated, fault.Isolated.Error()},
		{eris.Wrap(fault.Isolated, "read the epoch"), "read the epoch: " + fault.Isolated.Error()},
		{errors.New("bad \xff"), "bad ?: " + fault.Internal.Error()},
	} {
		err := test.err
		for range 3 {
			err = NewFault(err).Err()
		}
		if got := err.Error(); got != test.want || fault.Of(err) != fault.Of(test.err) {
			t.Errorf("%v: got %q, want %q", test.err, got, test.want)
		}
	}
	if err := NewFault(nil).Err(); err != nil {
		t.Errorf("no fault: got %v, want nil", err)
	}
}
