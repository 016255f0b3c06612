package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
)

// A disk that was full or failed a sync must not make a journal unusable until
// the process restarts, and what was acknowledged before and after must last.
func TestRecover(t *testing.T) {
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
			j := open(t, d)
			if _, err := j.Append([][]byte{[]byte("kept")}); err != nil {
				t.Fatal(err)
			}
			test.inject(d)
			if err := test.call(j); !errors.Is(err, fault.Corrupt) {
				t.Errorf("first call: got %v, want %v", err, fault.Corrupt)
			}
			if err := j.Recover(1); !errors.Is(err, fault.Corrupt) {
				t.Errorf("recover with a failing disk: got %v, want %v", err, fault.Corrupt)
			}
			d.syncErr, d.writeErr, d.renameErr = nil, nil, nil
			if err := j.Recover(1); err != nil {
				t.Fatal(err)
			}
			if _, err := j.Append([][]byte{[]byte("after")}); err != nil {
				t.Fatal(err)
			}
			_ = j.Close()
			d.crash(t)
			j = open(t, d)
			defer j.Close()
			verify(t, j, 0, [][]byte{[]byte("kept"), []byte("after")}, nil)
		})
	}
}

// A Compact or Reset that replaced the snapshot but not the log must be
// completed, because records before the snapshot don't belong to it.
func TestRecoverBetweenRenames(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
			j, want := failBetweenRenames(t, d, reset)
			j.cfg.Rename = d.rename
			if err := j.Recover(0); err != nil {
				t.Fatal(err)
			}
			verify(t, j, 2, want, []byte("s"))
			if _, err := j.Append([][]byte{[]byte("d")}); err != nil {
				t.Fatal(err)
			}
			_ = j.Close()
			j = open(t, d)
			defer j.Close()
			verify(t, j, 2, append(want, []byte("d")), []byte("s"))
		})
	}
}

// Records that were queued behind a failed batch may depend on it. Written after
// a recovery they would make a log that no caller has seen.
func TestRecoverDropsQueuedRecords(t *testing.T) {
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	defer j.Close()
	d.syncErr = errDisk
	first := j.Submit([][]byte{[]byte("first")})
	var second func() (uint64, error)
	j.cfg.Sync = func(*os.File) error {
		second = j.Submit([][]byte{[]byte("second")})
		return errDisk
	}
	if _, err := first(); !errors.Is(err, fault.Corrupt) {
		t.Errorf("first: got %v, want %v", err, fault.Corrupt)
	}
	d.syncErr, j.cfg.Sync = nil, d.sync
	if err := j.Recover(0); err != nil {
		t.Fatal(err)
	}
	if _, err := second(); !errors.Is(err, fault.Corrupt) {
		t.Errorf("second: got %v, want %v", err, fault.Corrupt)
	}
	verify(t, j, 0, nil, nil)
}

// A batch may take several writes. If a later one failed, the records of the earlier ones
// stayed, although the callers of the batch had been told that it failed.
func TestRecoverDropsPartOfBatch(t *testing.T) {
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	defer j.Close()
	if _, err := j.Append([][]byte{[]byte("a")}); err != nil {
		t.Fatal(err)
	}
	j.cfg.Write = func(f *os.File, data []byte) (int, error) {
		n, err := d.write(f, data)
		d.writeErr = errDisk // of all later writes
		return n, err
	}
	large := bytes.Repeat([]byte("x"), maxFrameBytes*3/4)
	if _, err := j.Append([][]byte{large, large}); !errors.Is(err, fault.Corrupt) {
		t.Errorf("got %v, want %v", err, fault.Corrupt)
	}
	if got, want := j.Next(), uint64(1); got != want {
		t.Errorf("next after the failure: got %d, want %d", got, want)
	}
	d.writeErr, j.cfg.Write = nil, d.write
	if err := j.Recover(0); err != nil {
		t.Fatal(err)
	}
	verify(t, j, 0, [][]byte{[]byte("a")}, nil)
	if next, err := j.Append([][]byte{large, large}); err != nil || next != 3 {
		t.Errorf("after the recovery: got position %d and %v, want 3", next, err)
	}
	_ = j.Close()
	j = open(t, d)
	defer j.Close()
	verify(t, j, 0, [][]byte{[]byte("a"), large, large}, nil)
}

// A journal that recovers on a nearly full disk fails again at its next append.
func TestRecoverNeedsReserve(t *testing.T) {
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	defer j.Close()
	d.writeErr = errDisk
	if _, err := j.Append([][]byte{{1}}); !errors.Is(err, fault.Corrupt) {
		t.Fatalf("append: got %v, want %v", err, fault.Corrupt)
	}
	d.writeErr = nil
	j.cfg.Write = func(f *os.File, data []byte) (int, error) {
		if len(data) >= 1<<10 {
			return 0, errDisk
		}
		return d.write(f, data)
	}
	if err := j.Recover(1 << 10); !errors.Is(err, fault.Corrupt) {
		t.Errorf("recover: got %v, want %v", err, fault.Corrupt)
	}
	if _, err := j.Append([][]byte{{1}}); !errors.Is(err, fault.Corrupt) {
		t.Errorf("append: got %v, want %v", err, fault.Corrupt)
	}
	j.cfg.Write = d.write
	if err := j.Recover(1 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := j.Append([][]byte{{1}}); err != nil {
		t.Error(err)
	}
	verify(t, j, 0, [][]byte{{1}}, nil)
}
