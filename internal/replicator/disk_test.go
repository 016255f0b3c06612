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

// fakeDisk holds the files of a node: the ballot in memory, and the journal
// in a folder whose syncs are only simulated. After crash, or after the
// number of operations given to crashAfter, every operation fails and part of
// the unsynced data is lost.
type fakeDisk struct {
	path string

	mu       sync.Mutex
	random   *rand.Rand
	ballot   []byte
	unsynced map[*os.File]int64 // file size before the unsynced writes
	// dropped holds files whose sync has failed. As on Linux, a later sync
	// reports success although the earlier writes are lost.
	dropped    map[*os.File]bool
	crashed    bool
	opsLeft    int           // operations until a simulated power failure, 0 for none
	fail       bool          // operations fail, but the process continues
	full       bool          // writes fail, as on a full disk
	writesLeft int           // writes until the disk is full, 0 for none
	space      int           // size of the largest write that succeeds, 0 for any
	failSync   bool          // syncs fail
	hang       chan struct{} // if not nil, syncs block until it is closed
	failBallot bool          // writes of the ballot fail
	// hangBallot blocks writes of the ballot until it is closed, if not nil.
	hangBallot chan struct{}
}

// setFull makes writes fail, or succeed again.
func (d *fakeDisk) setFull(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = on
}

// setFullAfter makes the disk full after a number of writes.
func (d *fakeDisk) setFullAfter(writes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writesLeft = writes
}

// setSpace makes larger writes fail; 0 allows all.
func (d *fakeDisk) setSpace(space int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.space = space
}

// setSyncFailure makes syncs fail, or succeed again.
func (d *fakeDisk) setSyncFailure(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = on
}

func (d *fakeDisk) setBallotFailure(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failBallot = on
}

// isFaulty reports whether writes or syncs fail.
func (d *fakeDisk) isFaulty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full || d.failSync
}

func (d *fakeDisk) setBallotHang(hang chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hangBallot = hang
}

func newDisk(t testing.TB, seed uint64) *fakeDisk {
	return &fakeDisk{path: t.TempDir(), random: rand.New(rand.NewPCG(seed, 2)), unsynced: map[*os.File]int64{}, dropped: map[*os.File]bool{}}
}

// restart makes the disk usable by a new process.
func (d *fakeDisk) restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed, d.opsLeft = false, 0
}

// crash fails all later operations and drops a random part of the unsynced
// tail of each file.
func (d *fakeDisk) crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loseUnsynced()
}

// crashAfter schedules a power failure during a later operation. 0 cancels
// it.
func (d *fakeDisk) crashAfter(operations int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opsLeft = operations
}

func (d *fakeDisk) isCrashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

// loseUnsynced implements crash. The caller holds mu.
func (d *fakeDisk) loseUnsynced() {
	d.crashed = true
	for f, size := range d.unsynced {
		if info, err := f.Stat(); err == nil && info.Size() > size {
			_ = f.Truncate(size + d.random.Int64N(info.Size()-size+1))
		}
		delete(d.unsynced, f)
	}
}

// countOp counts an operation and reports whether it fails. The caller holds
// mu.
func (d *fakeDisk) countOp() bool {
	if d.opsLeft > 0 && !d.crashed {
		if d.opsLeft--; d.opsLeft == 0 {
			d.loseUnsynced()
		}
	}
	return d.crashed || d.fail
}

func (d *fakeDisk) open(path string) (*journal.Journal, error) {
	return journal.Open(journal.Config{Path: path, Write: d.write, Sync: d.sync, Rename: d.rename})
}

func (d *fakeDisk) write(f *os.File, data []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.countOp() {
		return 0, errDisk
	}
	if _, ok := d.unsynced[f]; !ok {
		info, err := f.Stat()
		if err != nil {
			return 0, err
		}
		d.unsynced[f] = info.Size()
	}
	if d.full || d.space > 0 && len(data) > d.space {
		n, _ := f.Write(data[:len(data)/2])
		return n, errDisk
	}
	if d.writesLeft > 0 {
		d.writesLeft--
		d.full = d.writesLeft == 0
	}
	return f.Write(data)
}

func (d *fakeDisk) sync(f *os.File) error {
	d.mu.Lock()
	hang := d.hang
	d.mu.Unlock()
	if hang != nil {
		<-hang
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.countOp() {
		return errDisk
	}
	if d.failSync {
		d.dropped[f] = true
		return errDisk
	}
	if !d.dropped[f] {
		delete(d.unsynced, f)
	}
	return nil
}

func (d *fakeDisk) rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.countOp() {
		return errDisk
	}
	return os.Rename(from, to)
}

func (d *fakeDisk) load(string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ballot == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(d.ballot), nil
}

// store replaces the ballot. If the power fails during the call, the write
// may or may not complete.
func (d *fakeDisk) store(_ string, data []byte) error {
	d.mu.Lock()
	hang := d.hangBallot
	d.mu.Unlock()
	if hang != nil {
		<-hang
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	running := !d.crashed
	if d.full || d.failSync || d.failBallot {
		return errDisk
	}
	if d.countOp() {
		if running && d.crashed && d.random.IntN(2) == 0 {
			d.ballot = bytes.Clone(data)
		}
		return errDisk
	}
	d.ballot = bytes.Clone(data)
	return nil
}
