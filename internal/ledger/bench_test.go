package ledger

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

var accountCounts = []int{10, 3700, 190000}

// The cost of a settle must not grow with the number of accounts.
func BenchmarkSettle(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			before := heapBytes()
			l := newFilledLedger(b, n, func() time.Time { return now })
			size := float64(heapBytes()-before) / float64(n)
			h := holding("entry", 1)
			bills := []*wire.Bill{{Digest: make([]byte, 32), Model: "model", Target: "target", Amount: 1}}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				// This keeps about 100,000 identities.
				now = now.Add(identityTTL / 100000)
				bills[0].Account, bills[0].Request = accountName(i*7919%n), fmt.Sprint("request-", i)
				got, _, err := l.Settle(h, 1, bills)
				if err != nil || got[0] != billed {
					b.Fatalf("got %v, %v", got, err)
				}
			}
			b.ReportMetric(size, "B/budget")
			runtime.KeepAlive(l)
		})
	}
}

// A compaction blocks the ledger while it encodes the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newFilledLedger(b, n, time.Now)
			var size int
			for b.Loop() {
				data, err := l.encodeState()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/budget")
		})
	}
}

// BenchmarkGroupCommit uses a real file, with many callers that share each
// sync.
func BenchmarkGroupCommit(b *testing.B) {
	for _, parallel := range []int{1, 6, 50} {
		b.Run(fmt.Sprint(parallel*runtime.GOMAXPROCS(0)), func(b *testing.B) {
			var syncs, requests atomic.Int64
			j, err := journal.Open(journal.Config{Path: filepath.Join(b.TempDir(), "journal"), Sync: func(f *os.File) error {
				syncs.Add(1)
				return f.Sync()
			}})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			l := fillLedger(b, j, 10, time.Now)
			syncs.Store(0)
			b.SetParallelism(parallel)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				h := holding("entry", 1)
				for pb.Next() {
					n := requests.Add(1)
					bill := &wire.Bill{Account: accountName(int(n % 10)), Request: fmt.Sprint(n), Digest: make([]byte, 32), Amount: 1}
					if _, _, err := l.Settle(h, 1, []*wire.Bill{bill}); err != nil {
						b.Errorf("settle: %v", err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/float64(syncs.Load()), "bills/sync")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "bills/s")
		})
	}
}

// newFilledLedger returns a ledger with n accounts on a journal that discards
// its writes.
func newFilledLedger(b *testing.B, n int, now func() time.Time) *Ledger {
	b.Helper()
	j, err := journal.Open(journal.Config{
		Path:  filepath.Join(b.TempDir(), "journal"),
		Write: func(_ *os.File, data []byte) (int, error) { return len(data), nil },
		Sync:  func(*os.File) error { return nil },
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = j.Close() })
	return fillLedger(b, j, n, now)
}

func fillLedger(b *testing.B, j *journal.Journal, n int, now func() time.Time) *Ledger {
	b.Helper()
	l, err := New(Config{Zone: "z", Journal: j, Now: now, CompactBytes: 1 << 60})
	if err != nil {
		b.Fatal(err)
	}
	for i := range n {
		if err := l.Grant(accountName(i), 1, 1<<40); err != nil {
			b.Fatal(err)
		}
		if _, _, err := l.Draw(holding("entry", 1), accountName(i), 1<<30, 0, 0); err != nil {
			b.Fatal(err)
		}
	}
	return l
}

func accountName(i int) string { return fmt.Sprintf("account-%06d", i) }

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Identities are kept for 24 h and dominate the memory use of a busy zone.
func BenchmarkIdentity(b *testing.B) {
	const count = 200_000
	for range b.N {
		l := newFilledLedger(b, 10, time.Now)
		before := heapBytes()
		h := holding("entry", 1)
		for i := range count {
			bill := &wire.Bill{Account: accountName(i % 10), Request: fmt.Sprintf("%032x", i), Digest: make([]byte, 32), Model: "papaya-small", Target: "engine-0001", Amount: 1}
			if _, _, err := l.Settle(h, 1, []*wire.Bill{bill}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/count, "B/identity")
		runtime.KeepAlive(l)
	}
}
