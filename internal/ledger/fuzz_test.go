package ledger

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// A damaged snapshot or record from another holder must be rejected or yield
// consistent balances, and must never panic.
func FuzzRestore(f *testing.F) {
	l := openLedger(f, newDisk(f), 1000)
	draw(f, l, holding("entry", 1), 100)
	settle(f, l, holding("entry", 1), bill("x", 10), billed)
	if err := l.Fence("entry", 1); err != nil {
		f.Fatal(err)
	}
	snapshot, err := l.encodeState()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot)
	f.Add(snapshot[:len(snapshot)-1])
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		_, _, _ = ExtractBills("z", snapshot, nil)
		l := &Ledger{cfg: Config{Zone: "z", Now: time.Now, Logger: zap.NewNop()}, accounts: map[string]*account{}, instances: map[string]*instance{}}
		if l.restore(snapshot) != nil {
			return
		}
		for name, a := range l.accounts {
			if !a.stopped && !a.valid() {
				t.Errorf("account %s: inconsistent balances %+v", name, a.balances)
			}
		}
		if _, err := l.encodeState(); err != nil {
			t.Errorf("encode again: %v", err)
		}
	})
}
