package holder

import (
	"fmt"
	"math"
	"testing"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// If a zone loses its disk again while the copy of its new epoch is incomplete,
// it must find the complete copy of the previous epoch, also after a restart of
// this holder. A delayed call of the old epoch must change nothing.
func TestReplicaKeepsCompleteCopy(t *testing.T) {
	path := t.TempDir()
	r := mustOpenReplica(t, path)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 1, Records: records("a", 5)}, 5)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 1, Position: 5}, 5)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 2, Position: math.MaxUint64}, 0)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 2, Records: records("b", 2)}, 2)
	r.close()
	r = mustOpenReplica(t, path)
	defer r.close()
	expectCopy(t, r, 1, "a", 5)
	if _, err := r.write(&wire.CopyRequest{Epoch: 1, Position: 5, Records: records("a", 1)}, 1); fault.Of(err) != fault.Fenced {
		t.Errorf("old epoch: got %v, want %v", err, fault.Fenced)
	}
	mustWrite(t, r, &wire.CopyRequest{Epoch: 2, Position: 1, Records: records("b", 3)}, 4)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 2, Position: 9, Records: records("b", 3)}, 4)
	expectCopy(t, r, 1, "a", 5)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 2, Position: 4}, 4)
	expectCopy(t, r, 2, "b", 4)
}

// A compacted journal must replace a copy that is behind its snapshot. A copy
// that is not must keep the records after the snapshot.
func TestReplicaSnapshot(t *testing.T) {
	r := mustOpenReplica(t, t.TempDir())
	defer r.close()
	mustWrite(t, r, &wire.CopyRequest{Epoch: 1, Position: 3, Snapshot: []byte("s"), Records: records("a", 4)}, 7)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 1, Position: 7}, 7)
	mustWrite(t, r, &wire.CopyRequest{Epoch: 1, Position: 5, Snapshot: []byte("t"), Records: records("a", 1)}, 7)
	reply, err := r.read(0)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprintf("%s %d %d", reply.Snapshot, reply.Position, len(reply.Records)), "t 5 2"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Copies of a compacted journal must start from its snapshot, and such a copy
// must restore the ledger.
func TestCopyAfterCompaction(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 60_000}, func(cfg *Config) { cfg.CompactBytes = 4 << 10 })
	epoch := mustDraw(t, c.holder("a"), 10_000)
	for i := range 200 {
		mustSettle(t, c.holder("a"), epoch, fmt.Sprint(i), 10)
	}
	if c.holder("a").journal.First() == 0 {
		t.Fatal("journal was not compacted")
	}
	c.waitForReplication()
	for _, zone := range []string{"b", "c", "a"} {
		c.replaceDisk(zone)
		c.waitForLedger(zone)
		c.waitForReplication()
	}
	if got, want := tally(c.holder("a").Ledger(), "acme").Billed, int64(2000); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	if bill, _ := c.holder("b").Ledger().FindBill("acme", "0", nil); bill == nil {
		t.Error("bill in the snapshot: got none in the other zone, want it merged")
	}
	c.verify()
}

func mustOpenReplica(t *testing.T, path string) *replica {
	t.Helper()
	r, err := openReplica(path, true, Config{Logger: zap.NewNop()}.withDefaults())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func mustWrite(t *testing.T, r *replica, request *wire.CopyRequest, want uint64) {
	t.Helper()
	if got, err := r.write(request, 1); err != nil || got != want {
		t.Fatalf("position: got %d, %v, want %d", got, err, want)
	}
}

func expectCopy(t *testing.T, r *replica, epoch uint64, text string, count int) {
	t.Helper()
	reply, err := r.read(0)
	if err != nil || reply.Epoch != epoch || len(reply.Records) != count || string(reply.Records[0]) != text {
		t.Fatalf("copy: got %v, %v, want %d records %s of epoch %d", reply, err, count, text, epoch)
	}
}

func records(text string, count int) [][]byte {
	records := make([][]byte, count)
	for i := range records {
		records[i] = []byte(text)
	}
	return records
}

// Of two copies that are equally long, one may not be confirmed to be complete
// yet. A restore from that one knows no time from which instances must hand over
// their bills, so that its stranded tokens never become free.
func TestRestorePrefersConfirmedCopy(t *testing.T) {
	held := source{holder: "b", epoch: 2, next: 7, lastComplete: 5}
	for _, test := range []struct {
		other source
		want  bool
	}{
		{source{epoch: 2, next: 7, lastComplete: 6}, true},
		{source{epoch: 2, next: 7, lastComplete: 5}, false},
		{source{epoch: 2, next: 7}, false},
		{source{epoch: 2, next: 8}, true},
		{source{epoch: 2, next: 6, lastComplete: 9}, false},
		{source{epoch: 3}, true},
		{source{epoch: 1, next: 9, lastComplete: 9}, false},
	} {
		if got := test.other.isBetterThan(held); got != test.want {
			t.Errorf("%+v better than %+v: got %t, want %t", test.other, held, got, test.want)
		}
	}
}
