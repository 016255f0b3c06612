package holder

import (
	"errors"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

var errFull = errors.New("no space left on device")

// failingDisk opens journals whose writes fail while full is set.
type failingDisk struct{ full atomic.Bool }

func (d *failingDisk) open(path string) (*journal.Journal, error) {
	return journal.Open(journal.Config{Path: path, Write: func(f *os.File, data []byte) (int, error) {
		if d.full.Load() {
			return 0, errFull
		}
		return f.Write(data)
	}})
}

// A copy that refuses records until the process restarts leaves the bills of
// another zone without a copy after a disk was full for a moment.
func TestCopyResumesAfterStorageError(t *testing.T) {
	d := &failingDisk{}
	path := t.TempDir()
	r, err := openReplica(path, true, Config{Journal: d.open, Logger: zap.NewNop()}.withDefaults())
	if err != nil {
		t.Fatal(err)
	}
	mustWrite(t, r, &wire.CopyRequest{Epoch: 1, Records: records("a", 2)}, 2)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 1, Position: 2}, 2)
	now := int64(time.Hour)
	d.full.Store(true)
	for range 3 {
		if _, err := r.write(&wire.CopyRequest{Epoch: 1, Position: 2, Records: records("a", 1)}, now); fault.Of(err) != fault.Corrupt {
			t.Errorf("write to a full disk: got %v, want %v", err, fault.Corrupt)
		}
		now += defaultRecoveryInterval.Nanoseconds()
	}
	d.full.Store(false)
	if got, err := r.write(&wire.CopyRequest{Epoch: 1, Position: 2, Records: records("a", 3)}, now); err != nil || got != 5 {
		t.Errorf("write with space again: got %d, %v, want 5", got, err)
	}
	r.close()
	r = mustOpenReplica(t, path)
	defer r.close()
	expectCopy(t, r, 1, "a", 5)
}

// A ledger that rejects all changes until the process restarts leaves its zone
// without tokens after a disk was full for a moment.
func TestLedgerResumesAfterStorageError(t *testing.T) {
	d := &failingDisk{}
	c := newCluster(t, map[string]int64{"acme": 60_000}, func(cfg *Config) {
		if cfg.Zone == "a" {
			cfg.Journal = d.open
		}
	})
	request := &wire.DrawRequest{Holding: &wire.Holding{Instance: "a1", Incarnation: 1}, Account: "acme", Need: 100, Want: 100}
	draw := func() error {
		reply, err := c.holder("a").Draw(t.Context(), request)
		if err != nil {
			return err
		}
		return reply.Fault.Err()
	}
	if err := draw(); err != nil {
		t.Fatal(err)
	}
	d.full.Store(true)
	if err := draw(); err == nil {
		t.Error("draw with a full disk: got no error")
	}
	d.full.Store(false)
	deadline := time.Now().Add(4 * time.Second)
	for err := draw(); err != nil; err = draw() {
		if time.Now().After(deadline) {
			t.Fatalf("draw 4 s after the disk has space again: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
