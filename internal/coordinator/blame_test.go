package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayapond/papayapond/internal/coordinator"
	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/wire"
)

// A part that crashes targets must be refused everywhere soon after the third crash,
// whatever the number of entry instances and also if the leader is lost at that moment;
// the users' pages leave 3 s after the fifth crash. Sound parts of the same requests
// must pass everywhere.
func TestBlameReachesAll(t *testing.T) {
	for _, test := range []struct {
		entries    int
		loseLeader bool
		want       time.Duration
	}{{8, false, 1500 * time.Millisecond}, {80, false, 1500 * time.Millisecond}, {300, false, 1500 * time.Millisecond}, {300, true, 2500 * time.Millisecond}} {
		t.Run(fmt.Sprint(test.entries, test.loseLeader), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				l := newBlameLog()
				var entries []*detector.Detector
				for i := range test.entries {
					d := detector.New(detector.Config{})
					entries = append(entries, d)
					go l.callAll(ctx, fmt.Sprint("e", i), d)
				}
				time.Sleep(2 * time.Second)
				for i, d := range entries {
					d.RecordAnswer(detector.Content{Parts: []string{"shop"}, Digest: fmt.Sprint("sound", i)})
				}
				for i := range 3 {
					entries[i].RecordCrash(fmt.Sprint("t", i), detector.Content{Parts: []string{"shop", "deadly"}, Digest: fmt.Sprint("own", i)}, true)
					time.Sleep(300 * time.Millisecond)
				}
				if test.loseLeader {
					l.setLeader("")
					time.AfterFunc(time.Second, func() { l.setLeader(coreName(1)) })
				}
				time.Sleep(test.want - 300*time.Millisecond)
				for i, d := range entries {
					if d.Blocked(detector.Content{Parts: []string{"shop", "deadly"}, Digest: "new"}) == nil {
						t.Errorf("instance %d passes the part %v after the third crash", i, test.want)
					}
					if got := d.Blocked(detector.Content{Parts: []string{"shop", "other"}, Digest: "new"}); got != nil {
						t.Errorf("instance %d refuses a sound part for %v", i, got)
					}
				}
				cancel()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// blameLog is a log with coreCount coordinators whose leader changes.
type blameLog struct {
	log    *log
	mu     sync.Mutex
	leader string
	term   uint64
}

func newBlameLog() *blameLog {
	l := &blameLog{leader: coreName(0), term: 1, log: &log{coordinators: map[string]*coordinator.Coordinator{}}}
	for i := range coreCount {
		name := coreName(i)
		l.log.coordinators[name] = coordinator.New(coordinator.Config{
			Name: name, Leader: l.current, Term: func() uint64 { l.mu.Lock(); defer l.mu.Unlock(); return l.term },
			Instances: func() []string { return nil }, Barrier: func(context.Context) error { return nil },
			Propose: func(_ context.Context, c []byte) (uint64, []byte, error) { return l.log.propose(name, c) },
			Peer:    func(peerName string) wire.DRPCSteeringClient { return peer{l.log.coordinators[peerName]} },
		})
	}
	return l
}

func (l *blameLog) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

func (l *blameLog) setLeader(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = name
	l.term++
}

// callAll calls one core instance after the other twice a second, as an entry instance
// of a large fleet.
func (l *blameLog) callAll(ctx context.Context, name string, d *detector.Detector) {
	s := d.NewSession()
	core := rand.IntN(coreCount)
	time.Sleep(rand.N(500 * time.Millisecond))
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		q := &wire.SyncRequest{Instance: name + "#1", Address: name, Sequence: sequence, Evidence: s.Request()}
		r, err := peer{l.log.coordinators[coreName(core)]}.Sync(ctx, q)
		if err == nil && r.Fault.Err() == nil {
			s.Apply(q.Evidence, r.Evidence)
		} else {
			core = (core + 1) % coreCount
		}
		time.Sleep(500 * time.Millisecond)
	}
}
