package journal

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
)

// The seed is fixed unless a flag sets it; -rapid.checks sets the number of runs.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// A crash must neither lose or change an acknowledged record, which would lose
// a bill, nor restore a truncated one.
func TestCrashRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDisk(filepath.Join(tempDir(t), "journal"), rapid.Uint64().Draw(t, "seed"))
		j := open(t, d)
		first, want := uint64(0), [][]byte{} // acknowledged
		var snapshot []byte
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"append", "append", "fail", "recover", "crash", "compact", "truncate", "reset"}).Draw(t, "op") {
			case "append":
				records := [][]byte{fmt.Appendf(nil, "%d", step), bytes.Repeat([]byte{byte(step)}, step*10)}
				if _, err := j.Append(records); err != nil {
					t.Fatalf("append: %v", err)
				}
				want = append(want, records...)
			case "fail":
				d.syncErr = errDisk
				if _, err := j.Append([][]byte{[]byte("unacknowledged")}); !errors.Is(err, fault.Corrupt) {
					t.Fatalf("append: got %v, want %v", err, fault.Corrupt)
				}
				fallthrough
			case "crash":
				_ = j.Close()
				d.crash(t)
				j = open(t, d)
				want = append(want, unacknowledged(t, j, first+uint64(len(want)))...)
			case "recover":
				failChange(t, d, j, step)
				if err := j.Recover(1 << 10); err != nil {
					t.Fatalf("recover: %v", err)
				}
			case "compact":
				n := rapid.IntRange(0, len(want)).Draw(t, "n")
				first, want, snapshot = first+uint64(n), want[n:], fmt.Appendf(nil, "snapshot %d", step)
				if err := j.Compact(snapshot, first); err != nil {
					t.Fatalf("compact: %v", err)
				}
			case "truncate":
				want = want[:rapid.IntRange(0, len(want)).Draw(t, "n")]
				if err := j.Truncate(first + uint64(len(want))); err != nil {
					t.Fatalf("truncate: %v", err)
				}
			case "reset":
				first, want, snapshot = rapid.Uint64Range(0, 100).Draw(t, "first"), nil, fmt.Appendf(nil, "reset %d", step)
				if err := j.Reset(snapshot, first); err != nil {
					t.Fatalf("reset: %v", err)
				}
			}
			verify(t, j, first, want, snapshot)
		}
		_ = j.Close()
	})
}

// failChange makes a change of the journal fail before it takes effect.
func failChange(t *rapid.T, d *disk, j *Journal, step int) {
	t.Helper()
	change := rapid.SampledFrom([]func() error{
		func() error { _, err := j.Append([][]byte{fmt.Appendf(nil, "failed %d", step)}); return err },
		func() error { return j.Compact([]byte("failed"), j.First()) },
		func() error { return j.Reset([]byte("failed"), 200) },
	}).Draw(t, "change")
	target := rapid.SampledFrom([]*error{&d.writeErr, &d.syncErr}).Draw(t, "error")
	*target = errDisk
	if err := change(); !errors.Is(err, fault.Corrupt) {
		t.Fatalf("change with a failing disk: got %v, want %v", err, fault.Corrupt)
	}
	*target = nil
}

// failBetweenRenames makes a Compact or Reset at position 2 fail after it has
// replaced the snapshot by "s", and returns the records that must be left.
func failBetweenRenames(t *testing.T, d *disk, reset bool) (*Journal, [][]byte) {
	t.Helper()
	j := open(t, d)
	want := [][]byte{[]byte("a"), []byte("b"), []byte("c")}
	if _, err := j.Append(want); err != nil {
		t.Fatal(err)
	}
	j.cfg.Rename = func(from, to string) error {
		if filepath.Base(to) == logName {
			return errDisk
		}
		return d.rename(from, to)
	}
	change := j.Compact
	if want = want[2:]; reset {
		change, want = j.Reset, nil
	}
	if err := change([]byte("s"), 2); !errors.Is(err, fault.Corrupt) {
		t.Fatalf("got %v, want %v", err, fault.Corrupt)
	}
	return j, want
}

// A crash between the two renames of Compact or Reset leaves a new snapshot
// with an old log. Open must recover the state after the call.
func TestCrashBetweenRenames(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
			j, want := failBetweenRenames(t, d, reset)
			_ = j.Close()
			j = open(t, d)
			defer j.Close()
			verify(t, j, 2, want, []byte("s"))
		})
	}
}

// failures are the ways in which a change fails and makes the journal refuse all
// further ones.
var failures = []struct {
	name   string
	inject func(*disk)
	call   func(*Journal) error
}{
	{"sync", func(d *disk) { d.syncErr = errDisk }, func(j *Journal) error { _, err := j.Append([][]byte{{1}}); return err }},
	{"full disk", func(d *disk) { d.writeErr = errDisk }, func(j *Journal) error { _, err := j.Append([][]byte{{1}}); return err }},
	{"rename", func(d *disk) { d.renameErr = errDisk }, func(j *Journal) error { return j.Compact(nil, 1) }},
}

// The operating system may drop dirty pages after a failed sync and report
// success for the next one. A journal that continued would acknowledge lost
// records.
func TestFailureIsPermanent(t *testing.T) {
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
			j := open(t, d)
			defer j.Close()
			if _, err := j.Append([][]byte{[]byte("kept")}); err != nil {
				t.Fatal(err)
			}
			test.inject(d)
			if err := test.call(j); !errors.Is(err, fault.Corrupt) {
				t.Errorf("first call: got %v, want %v", err, fault.Corrupt)
			}
			d.syncErr, d.writeErr, d.renameErr = nil, nil, nil
			if _, err := j.Append([][]byte{{2}}); !errors.Is(err, fault.Corrupt) {
				t.Errorf("append: got %v, want %v", err, fault.Corrupt)
			}
			if got, err := j.Read(0, 10); err != nil || len(got) != 1 {
				t.Errorf("read: got %q, %v, want one record", got, err)
			}
		})
	}
}

// A full disk during a compaction must not block appends that still fit.
func TestFullDiskInCompact(t *testing.T) {
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	defer j.Close()
	if _, err := j.Append([][]byte{{1}, {2}}); err != nil {
		t.Fatal(err)
	}
	d.writeErr = errDisk
	if err := j.Compact([]byte("s"), 1); !errors.Is(err, fault.Corrupt) {
		t.Errorf("got %v, want %v", err, fault.Corrupt)
	}
	d.writeErr = nil
	if _, err := j.Append([][]byte{{3}}); err != nil {
		t.Fatal(err)
	}
	verify(t, j, 0, [][]byte{{1}, {2}, {3}}, nil)
}

// A journal with a torn tail must open on a full disk, or the process can't
// start. Appends must fail until there is space.
func TestFullDiskAtOpen(t *testing.T) {
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	if _, err := j.Append([][]byte{{1}, {2}}); err != nil {
		t.Fatal(err)
	}
	d.writeErr = errDisk
	for range 2 {
		if _, err := j.Append([][]byte{{3}}); !errors.Is(err, fault.Corrupt) {
			t.Errorf("append on a full disk: got %v, want %v", err, fault.Corrupt)
		}
		_ = j.Close()
		j = open(t, d)
		if j.TornBytes() == 0 {
			t.Error("torn bytes: got 0, want more")
		}
		verify(t, j, 0, [][]byte{{1}, {2}}, nil)
	}
	defer j.Close()
	d.writeErr = nil
	if _, err := j.Append([][]byte{{3}}); err != nil {
		t.Fatal(err)
	}
	verify(t, j, 0, [][]byte{{1}, {2}, {3}}, nil)
}

// Damage to synced records must not be mistaken for a torn tail, because
// truncating it would drop the acknowledged records after it.
func TestDamagedRecord(t *testing.T) {
	const records = 4
	size := len(appendFrame(nil, 0, [][]byte{[]byte("record 0")}))
	for at := range fileHeaderSize + records*size {
		d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
		j := open(t, d)
		for i := range records {
			if _, err := j.Append([][]byte{fmt.Appendf(nil, "record %d", i)}); err != nil {
				t.Fatal(err)
			}
		}
		_ = j.Close()
		path := filepath.Join(d.path, logName)
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data[at] ^= 1
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		j, err = Open(d.config())
		if last := at >= fileHeaderSize+(records-1)*size; !last {
			if !errors.Is(err, fault.Corrupt) {
				t.Errorf("offset %d: got %v, want %v", at, err, fault.Corrupt)
			}
			continue
		}
		if err != nil {
			t.Fatalf("offset %d: %v", at, err)
		}
		if got, want := j.TornBytes(), int64(size); got != want {
			t.Errorf("offset %d: torn bytes: got %d, want %d", at, got, want)
		}
		if got, want := j.Next(), uint64(records-1); got != want {
			t.Errorf("offset %d: next: got %d, want %d", at, got, want)
		}
		_ = j.Close()
	}
}

// Open exposes records that a crashed process left unsynced, so it must sync
// them, or a later crash of the machine would lose them.
func TestOpenSyncsLog(t *testing.T) {
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	d.syncErr = errDisk
	if _, err := j.Append([][]byte{[]byte("left")}); err == nil {
		t.Fatal("append on a failing disk: got no error")
	}
	d.syncErr = nil
	_ = j.Close()
	j = open(t, d)
	verify(t, j, 0, [][]byte{[]byte("left")}, nil)
	_ = j.Close()
	d.crash(t)
	j = open(t, d)
	defer j.Close()
	verify(t, j, 0, [][]byte{[]byte("left")}, nil)
}

// A misplaced frame would shift the positions of all records after it, which
// replicas and the replicated log rely on.
func TestMisplacedFrame(t *testing.T) {
	one := appendFrame(nil, 0, [][]byte{[]byte("one")})
	for _, data := range [][]byte{append(bytes.Clone(one), one...), appendFrame(bytes.Clone(one), 2, [][]byte{[]byte("two")})} {
		if _, _, err := decodeFrames(data, 0); !errors.Is(err, fault.Corrupt) {
			t.Errorf("%x: got %v, want %v", data, err, fault.Corrupt)
		}
	}
}

// Concurrent appends must return the positions of their own records.
func TestGroupCommit(t *testing.T) {
	const callers, appends = 32, 20
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	defer j.Close()
	d.syncs = 0
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range appends {
				record := fmt.Appendf(nil, "%d %d", c, i)
				next, err := j.Append([][]byte{record})
				if err != nil {
					t.Errorf("append: %v", err)
					return
				}
				if got, err := j.Read(next-1, 1); err != nil || !bytes.Equal(got[0], record) {
					t.Errorf("read %d: got %q, %v, want %q", next-1, got, err, record)
				}
			}
		})
	}
	wg.Wait()
	if got, want := j.Next(), uint64(callers*appends); got != want {
		t.Errorf("next: got %d, want %d", got, want)
	}
}

// Concurrent callers must share one sync, or each bill costs a separate one.
// All records are submitted before the first wait, so the result doesn't depend
// on the scheduler.
func TestGroupCommitSharesSync(t *testing.T) {
	const callers = 32
	d := newDisk(filepath.Join(t.TempDir(), "journal"), 1)
	j := open(t, d)
	defer j.Close()
	d.syncs = 0
	waits := make([]func() (uint64, error), callers)
	for c := range waits {
		waits[c] = j.Submit([][]byte{fmt.Appendf(nil, "%d", c)})
	}
	for c, wait := range waits {
		if next, err := wait(); err != nil || next != uint64(c+1) {
			t.Errorf("caller %d: got %d, %v, want %d", c, next, err, c+1)
		}
	}
	if got, want := d.syncs, 1; got != want {
		t.Errorf("syncs: got %d, want %d", got, want)
	}
}

func open(t rapid.TB, d *disk) *Journal {
	t.Helper()
	j, err := Open(d.config())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return j
}

// unacknowledged returns the records at and after the position. After a crash
// these must be records whose append failed.
func unacknowledged(t rapid.TB, j *Journal, position uint64) [][]byte {
	t.Helper()
	got, err := j.Read(position, 100)
	if err != nil {
		t.Fatalf("reading after the acknowledged records failed: %v", err)
	}
	for _, r := range got {
		if string(r) != "unacknowledged" {
			t.Errorf("record after the crash: got %q, want an unacknowledged one", r)
		}
	}
	return got
}

func verify(t rapid.TB, j *Journal, first uint64, want [][]byte, snapshot []byte) {
	t.Helper()
	data, position := j.Snapshot()
	if position != first || !bytes.Equal(data, snapshot) {
		t.Errorf("snapshot: got %q before %d, want %q before %d", data, position, snapshot, first)
	}
	if got, w := j.Next(), first+uint64(len(want)); got != w {
		t.Errorf("next: got %d, want %d", got, w)
	}
	var got [][]byte
	for p := first; p < j.Next(); p = first + uint64(len(got)) {
		records, err := j.Read(p, 3)
		if err != nil || len(records) == 0 {
			t.Fatalf("read %d: got %d records, %v", p, len(records), err)
		}
		got = append(got, records...)
	}
	for i := range got {
		if !bytes.Equal(got[i], want[i]) {
			t.Errorf("record %d: got %q, want %q", i, got[i], want[i])
		}
	}
}

func tempDir(t *rapid.T) string {
	path, err := os.MkdirTemp("", "journal")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(path) })
	return path
}
