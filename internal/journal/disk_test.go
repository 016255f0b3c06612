package journal

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"pgregory.net/rapid"
)

var errDisk = errors.New("input/output error")

// disk tracks which bytes and renames in a directory have been synced, so that
// crash can undo the others.
type disk struct {
	mu      sync.Mutex
	path    string
	random  *rand.Rand
	synced  map[uint64]int64 // by inode
	renames []rename
	syncs   int
	// dropped holds files whose sync has failed. As on Linux, a later
	// sync reports success although the earlier writes are lost.
	dropped map[*os.File]bool
	// Errors that the operations return, if set.
	writeErr, syncErr, renameErr error
}

type rename struct {
	path    string
	content []byte
	existed bool
}

func newDisk(path string, seed uint64) *disk {
	return &disk{path: path, random: rand.New(rand.NewPCG(seed, 1)), synced: map[uint64]int64{}, dropped: map[*os.File]bool{}}
}

func (d *disk) config() Config {
	return Config{Path: d.path, Write: d.write, Sync: d.sync, Rename: d.rename}
}

func (d *disk) write(f *os.File, data []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.writeErr != nil {
		n, _ := f.Write(data[:len(data)/2])
		return n, d.writeErr
	}
	return f.Write(data)
}

func (d *disk) sync(f *os.File) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncs++
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if d.syncErr != nil {
		d.dropped[f] = true
		return d.syncErr
	}
	if d.dropped[f] {
		return nil
	}
	if info.IsDir() && f.Name() == d.path {
		d.renames = nil
	}
	d.synced[inode(info)] = info.Size()
	return nil
}

func (d *disk) rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.renameErr != nil {
		return d.renameErr
	}
	content, err := os.ReadFile(to)
	d.renames = append(d.renames, rename{path: to, content: content, existed: err == nil})
	return os.Rename(from, to)
}

// crash undoes a random number of the latest unsynced renames and removes a
// random part of the unsynced bytes of each file. It may corrupt one of those
// that are left.
func (d *disk) crash(t rapid.TB) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := d.random.IntN(len(d.renames) + 1)
	for i := len(d.renames) - 1; i >= keep; i-- {
		r := d.renames[i]
		if err := os.Remove(r.path); err != nil {
			t.Fatal(err)
		}
		if r.existed {
			if err := os.WriteFile(r.path, r.content, 0o600); err != nil {
				t.Fatal(err)
			}
			d.markSynced(t, r.path, int64(len(r.content)))
		}
	}
	d.renames = nil
	for _, name := range []string{logName, snapshotName} {
		d.loseUnsynced(t, filepath.Join(d.path, name))
	}
	d.writeErr, d.syncErr, d.renameErr = nil, nil, nil
}

func (d *disk) loseUnsynced(t rapid.TB, path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	synced := d.synced[inode(info)]
	if lost := int64(len(data)) - synced; lost > 0 {
		data = data[:synced+d.random.Int64N(lost+1)]
		if d.random.IntN(2) == 0 && int64(len(data)) > synced {
			data[synced+d.random.Int64N(int64(len(data))-synced)] ^= 0x5a
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d.markSynced(t, path, int64(len(data)))
}

func (d *disk) markSynced(t rapid.TB, path string, size int64) {
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	d.synced[inode(info)] = size
}

func inode(info os.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }
