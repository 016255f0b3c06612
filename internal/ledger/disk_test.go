package ledger

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/journal"
)

var errDisk = errors.New("input/output error")

// disk tracks how much of each file has been synced, so that a crash can undo
// the rest. Renames persist; the journal's own tests undo those.
type disk struct {
	mu      sync.Mutex
	path    string
	random  *rand.Rand
	synced  map[uint64]int64 // by inode
	fail    bool
	journal *journal.Journal
}

func (d *disk) sync(f *os.File) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail {
		return errDisk
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	d.synced[info.Sys().(*syscall.Stat_t).Ino] = info.Size()
	return nil
}

// open opens the ledger, initially or after a crash.
func (d *disk) open(t rapid.TB, zone string, now func() time.Time) *Ledger {
	t.Helper()
	j, err := journal.Open(journal.Config{Path: d.path, Sync: d.sync})
	if err != nil {
		t.Fatalf("open journal: %v", err)
	}
	d.journal = j
	l, err := New(Config{Zone: zone, Journal: j, Now: now, CompactBytes: 500})
	if err != nil {
		t.Fatalf("open ledger: %v", err)
	}
	return l
}

// crash closes the files and truncates a random part of the unsynced bytes.
func (d *disk) crash(t rapid.TB) {
	t.Helper()
	_ = d.journal.Close()
	d.fail = false
	path := filepath.Join(d.path, "log")
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	synced := d.synced[info.Sys().(*syscall.Stat_t).Ino]
	if lost := info.Size() - synced; lost > 0 {
		if err := os.Truncate(path, synced+d.random.Int64N(lost+1)); err != nil {
			t.Fatal(err)
		}
	}
}

func newDisk(t rapid.TB) *disk {
	t.Helper()
	path, err := os.MkdirTemp("", "ledger")
	if err != nil {
		t.Fatal(err)
	}
	t.(interface{ Cleanup(func()) }).Cleanup(func() { _ = os.RemoveAll(path) })
	return &disk{path: filepath.Join(path, "journal"), random: rand.New(rand.NewPCG(1, 2)), synced: map[uint64]int64{}}
}
