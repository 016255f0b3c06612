package replicator

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"github.com/papayapond/papayapond/internal/journal"
)

var errDisk = errors.New("disk failure")

// disk holds the files of a node: the ballot in memory, the journal in a
// folder whose syncs are only counted. After kill, or after the given number
// of operations, the process can't change the files any more; what it wrote
// without a sync is lost in part.
type disk struct {
	path string

	mu      sync.Mutex
	random  *rand.Rand
	ballot  []byte
	written map[*os.File]int64 // size before the unsynced writes
	dead    bool
	left    int           // operations until the power fails, 0 for none planned
	fail    bool          // syncs fail, and the process goes on
	hang    chan struct{} // if set, syncs wait until it is closed
}

func newDisk(t testing.TB, seed uint64) *disk {
	return &disk{path: t.TempDir(), random: rand.New(rand.NewPCG(seed, 2)), written: map[*os.File]int64{}}
}

// revive lets a new process use the disk.
func (d *disk) revive() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead, d.left = false, 0
}

// kill fails all later operations and loses a random part of the unsynced
// end of each file.
func (d *disk) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.die()
}

// killAfter plans a power failure in the middle of a later operation.
func (d *disk) killAfter(operations int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = operations
}

func (d *disk) isDead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dead
}

func (d *disk) die() {
	d.dead = true
	for f, size := range d.written {
		if info, err := f.Stat(); err == nil && info.Size() > size {
			_ = f.Truncate(size + d.random.Int64N(info.Size()-size+1))
		}
		delete(d.written, f)
	}
}

// refuse counts an operation and tells whether it fails. The caller holds
// mu.
func (d *disk) refuse() bool {
	if d.left > 0 && !d.dead {
		if d.left--; d.left == 0 {
			d.die()
		}
	}
	return d.dead || d.fail
}

func (d *disk) open(path string) (*journal.Journal, error) {
	return journal.Open(journal.Config{Path: path, Write: d.write, Sync: d.sync, Rename: d.rename})
}

func (d *disk) write(f *os.File, data []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse() {
		return 0, errDisk
	}
	if _, ok := d.written[f]; !ok {
		info, err := f.Stat()
		if err != nil {
			return 0, err
		}
		d.written[f] = info.Size()
	}
	return f.Write(data)
}

func (d *disk) sync(f *os.File) error {
	d.mu.Lock()
	hang := d.hang
	d.mu.Unlock()
	if hang != nil {
		<-hang
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse() {
		return errDisk
	}
	delete(d.written, f)
	return nil
}

func (d *disk) rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse() {
		return errDisk
	}
	return os.Rename(from, to)
}

func (d *disk) load(string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ballot == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(d.ballot), nil
}

// store may complete or not when the power fails during it.
func (d *disk) store(_ string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	alive := !d.dead
	if d.refuse() {
		if alive && d.dead && d.random.IntN(2) == 0 {
			d.ballot = bytes.Clone(data)
		}
		return errDisk
	}
	d.ballot = bytes.Clone(data)
	return nil
}
