package holder

import (
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

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

// While the ledger rejects all changes, bills of another zone go on to come. Each
// attempt to merge them fails, 20 times a second: that must be logged once, and the
// bills must be merged once the disk has space.
func TestMergeResumesAfterStorageError(t *testing.T) {
	d := &failingDisk{}
	core, logs := observer.New(zap.WarnLevel)
	c := newCluster(t, map[string]int64{"acme": 60_000}, func(cfg *Config) {
		if cfg.Zone != "a" {
			return
		}
		cfg.Logger = zap.New(core)
		cfg.Journal = func(path string) (*journal.Journal, error) {
			if filepath.Base(path) == "ledger" {
				return d.open(path)
			}
			return journal.Open(journal.Config{Path: path}) // copies have space
		}
	})
	epoch := mustDraw(t, c.holder("b"), 500)
	bill := func(request string) {
		t.Helper()
		mustSettle(t, c.holder("b"), epoch, request, 100)
	}
	merged := func(request string) bool {
		l := c.holder("a").Ledger()
		if l == nil {
			return false // being opened again
		}
		bill, _ := l.FindBill("acme", request, nil)
		return bill != nil
	}
	const text = "failed to merge bills of another zone"
	bill("before")
	waitFor(t, "merged bill", func() bool { return merged("before") })
	d.full.Store(true)
	bill("meanwhile")
	waitFor(t, "failed merge", func() bool { return logs.FilterMessage(text).Len() > 0 })
	time.Sleep(3 * defaultRecoveryInterval)
	bill("later")
	time.Sleep(defaultRecoveryInterval)
	if got := logs.FilterMessage(text).Len(); got != 1 {
		t.Errorf("%s: got %d lines, want 1", text, got)
	}
	d.full.Store(false)
	waitFor(t, "merged bills with space again", func() bool { return merged("meanwhile") && merged("later") })
	c.verify()
}
