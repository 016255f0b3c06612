package wire_test

import (
	"fmt"
	"testing"

	"github.com/papayapond/papayapond/internal/wire"
)

// A load that is read for another target sends requests to a full one, so a table must
// keep the order, never round work down to none, and be refused for another list.
func TestTable(t *testing.T) {
	table := &wire.Table{}
	for _, l := range []*wire.Load{{Running: 3, Unread: 1, Memory: 1}, {}, {Running: 1, Unread: 3200, Memory: 512, Silence: 4000}, {Running: -1, Unread: -5, Memory: 1 << 60}} {
		table.Append(l)
	}
	got := ""
	for _, l := range table.Loads(4) {
		got += fmt.Sprintln(l.Running, l.Unread, l.Memory, l.Silence)
	}
	if want := "3 16 256 0\n0 0 0 0\n1 3200 512 4000\n0 0 549755813888 0\n"; got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	for _, n := range []int{3, 5} {
		if got := table.Loads(n); got != nil {
			t.Errorf("for %d targets: got %v, want nil", n, got)
		}
	}
	for _, broken := range []*wire.Table{
		{Running: []uint32{1}, Unread: []uint32{1}},
		{Running: []uint32{1}, Unread: []uint32{1}, Memory: []uint32{1}, Silent: []uint32{0}},
	} {
		if got := broken.Loads(1); got != nil {
			t.Errorf("%v: got %v, want nil", broken, got)
		}
	}
	far := &wire.Table{Running: []uint32{1}, Unread: []uint32{1}, Memory: []uint32{1}, Silent: []uint32{7}, Silence: []uint32{1}}
	if got := far.Loads(1); len(got) != 1 || got[0].Silence != 0 {
		t.Errorf("with a position out of range: got %v, want the load without a silence", got)
	}
}
