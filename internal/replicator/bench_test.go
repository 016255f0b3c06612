package replicator

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

// process is a member that uses drpc over loopback and files on the real
// disk.
type process struct {
	member *Replicator
	stop   func()
}

func startProcess(b *testing.B, name, folder string, listeners map[string]net.Listener) process {
	b.Helper()
	addresses := map[string]string{}
	members := make([]string, 0, len(listeners))
	for n, l := range listeners {
		addresses[n] = l.Addr().String()
		members = append(members, n)
	}
	slices.Sort(members)
	d := dialer.New(dialer.Config{Addresses: addresses})
	peer := func(name string) wire.DRPCLogClient { return wire.NewDRPCLogClient(d.Conn(name)) }
	member, err := New(Config{
		Name: name, Members: members, Path: filepath.Join(folder, name),
		Apply:    func(uint64, []byte) []byte { return nil },
		Snapshot: func() []byte { return nil },
		Restore:  func([]byte) error { return nil },
		Vote: func(ctx context.Context, to string, q *wire.VoteRequest) (*wire.VoteReply, error) {
			return peer(to).Vote(ctx, q)
		},
		Append: func(ctx context.Context, to string, q *wire.AppendRequest) (*wire.AppendReply, error) {
			return peer(to).Append(ctx, q)
		},
		Install: func(ctx context.Context, to string, q *wire.InstallRequest) (*wire.InstallReply, error) {
			return peer(to).Install(ctx, q)
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterLog(mux, member); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		_ = drpcserver.New(mux).Serve(ctx, listeners[name])
		done <- struct{}{}
	}()
	go func() {
		member.Run(ctx)
		done <- struct{}{}
	}()
	return process{member, sync.OnceFunc(func() {
		cancel()
		<-done
		<-done
		_ = d.Close()
	})}
}

func startProcesses(b *testing.B, folder string, names ...string) (map[string]process, func()) {
	b.Helper()
	listeners := map[string]net.Listener{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[name] = l
	}
	processes := map[string]process{}
	for _, name := range names {
		processes[name] = startProcess(b, name, folder, listeners)
	}
	return processes, func() {
		for _, p := range processes {
			p.stop()
		}
	}
}

// awaitLeader waits until a leader has committed in its term and returns its
// name.
func awaitLeader(b *testing.B, processes map[string]process) string {
	b.Helper()
	for range 100000 {
		for name, p := range processes {
			if p.member.Leader() == name {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				err := p.member.Barrier(ctx)
				cancel()
				if err == nil {
					return name
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	b.Fatal("no leader")
	return ""
}

// BenchmarkFailover stops the leader, with and without a transfer, and
// measures the time until another member commits an entry. Run it with
// -benchtime=20x.
func BenchmarkFailover(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprint("planned=", planned), func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				times = append(times, failover(b, planned))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median-ms")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "worst-ms")
		})
	}
}

func failover(b *testing.B, planned bool) time.Duration {
	processes, stop := startProcesses(b, b.TempDir(), "a", "b", "c")
	defer stop()
	name := awaitLeader(b, processes)
	time.Sleep(300 * time.Millisecond)
	old := processes[name]
	delete(processes, name)
	defer old.stop()
	start := time.Now()
	if planned {
		if err := old.member.Transfer(b.Context()); err != nil {
			b.Error(err)
		}
	} else {
		old.stop()
	}
	next := awaitLeader(b, processes)
	if _, _, err := processes[next].member.Propose(b.Context(), []byte("x")); err != nil {
		b.Error(err)
	}
	return time.Since(start)
}

// BenchmarkPropose measures acknowledged 200-byte proposals while every
// member syncs to the real disk.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			processes, stop := startProcesses(b, b.TempDir(), "a", "b", "c")
			defer stop()
			leader := processes[awaitLeader(b, processes)].member
			command := make([]byte, 200)
			var left atomic.Int64
			left.Store(int64(b.N))
			var group sync.WaitGroup
			b.ResetTimer()
			for range callers {
				group.Go(func() {
					for left.Add(-1) >= 0 {
						if _, _, err := leader.Propose(b.Context(), command); err != nil {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// BenchmarkRecovery measures New and the replay of all entries on a single
// member without a snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{500, 5000, 50000} {
		b.Run(fmt.Sprint("entries=", count), func(b *testing.B) {
			path := b.TempDir()
			writeJournal(b, path, count)
			for b.Loop() {
				applied := make(chan struct{})
				m, err := New(Config{
					Name: "a", Members: []string{"a"}, Path: path, SnapshotEvery: 1 << 40,
					Apply: func(index uint64, _ []byte) []byte {
						if index == uint64(count) {
							close(applied)
						}
						return nil
					},
				})
				if err != nil {
					b.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					m.Run(ctx)
				}()
				<-applied
				b.StopTimer()
				cancel()
				<-done
				b.StartTimer()
			}
		})
	}
}

// writeJournal writes a journal of count 200-byte entries, one per record,
// and a matching ballot.
func writeJournal(b *testing.B, path string, count int) {
	b.Helper()
	j, err := journal.Open(journal.Config{Path: path})
	if err != nil {
		b.Fatal(err)
	}
	e := &entryLog{journal: j}
	batch := make([]*wire.Entry, count)
	for i := range batch {
		batch[i] = &wire.Entry{Term: 1, Index: uint64(i + 1), Command: make([]byte, 200)}
	}
	if err := e.write(batch); err != nil {
		b.Fatal(err)
	}
	if err := j.Close(); err != nil {
		b.Fatal(err)
	}
	data, err := encodeBallot(&wire.Ballot{Member: "a", Disk: "1", Started: true, Term: 1, Vote: "a"})
	if err != nil {
		b.Fatal(err)
	}
	if err := replaceFile(filepath.Join(path, ballotFile), data); err != nil {
		b.Fatal(err)
	}
}
