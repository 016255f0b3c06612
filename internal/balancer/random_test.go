package balancer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
)

// randomBalancer is a balancer whose targets, pools and loads change at random.
type randomBalancer struct {
	b      *balancer.Balancer
	now    time.Time
	picks  []*balancer.Pick
	listed []*wire.Listing
}

// list draws a list of targets.
func (r *randomBalancer) list(t *rapid.T) {
	r.listed = nil
	for i := range rapid.IntRange(0, 16).Draw(t, "targets") {
		r.listed = append(r.listed, &wire.Listing{
			Id: fmt.Sprint("t", i), Born: int64(rapid.IntRange(1, 2).Draw(t, "born")), Address: fmt.Sprint("a", i),
			Pool: rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "pool"), Zone: rapid.SampledFrom([]string{"near", "far"}).Draw(t, "zone"),
			Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0, Gone: rapid.IntRange(0, 7).Draw(t, "gone") == 0,
		})
	}
	r.b.SetTargets(r.listed)
}

// configure draws the kinds of the pools.
func (r *randomBalancer) configure(t *rapid.T) {
	var pools []pool.Pool
	for _, name := range []string{"p1", "p2"} {
		p := pool.Pool{Name: name}
		if rapid.Bool().Draw(t, "engine") {
			p = p.WithEngine(pool.Engine{Batch: rapid.IntRange(0, 4).Draw(t, "batch"), CacheTokens: int64(rapid.IntRange(0, 9000).Draw(t, "memory"))})
		}
		pools = append(pools, p)
	}
	r.b.SetPools(pools)
}

// load draws loads of other instances.
func (r *randomBalancer) load(t *rapid.T) {
	var loads []*wire.Load
	for i := range rapid.IntRange(0, 16).Draw(t, "loads") {
		loads = append(loads, &wire.Load{Target: fmt.Sprint("t", i), Running: int32(rapid.IntRange(0, 20).Draw(t, "running")), Unread: 100})
	}
	if rapid.Bool().Draw(t, "remote") {
		r.b.SetRemoteLoads(loads)
		return
	}
	table := &wire.Table{}
	for _, l := range loads {
		table.Append(l)
	}
	r.b.SetTable(table, r.b.LocalLoads())
}

// choose draws a query. It must get a target that the query permits, or an error that
// says that none is available.
func (r *randomBalancer) choose(t *rapid.T) {
	q := balancer.Query{
		Pool: rapid.SampledFrom([]string{"p1", "p2", "unknown"}).Draw(t, "pool"), Tokens: 600, Output: 10,
		Retryable: rapid.Bool().Draw(t, "retryable"), Spare: rapid.Bool().Draw(t, "spare"), Exclude: map[string]bool{"t0": rapid.Bool().Draw(t, "exclude")},
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "parts") {
		q.Parts = append(q.Parts, balancer.Part{ID: fmt.Sprint("part", i), Tokens: 200})
	}
	pick, err := r.b.Choose(q)
	if err != nil {
		if !errors.Is(err, fault.Unavailable) {
			t.Fatalf("got error %v, want one of fault.Unavailable", err)
		}
		return
	}
	if q.Exclude[pick.ID()] {
		t.Fatalf("got %s, which is excluded", pick.ID())
	}
	r.picks = append(r.picks, pick)
}

// finish ends a request, whose target may have said something.
func (r *randomBalancer) finish(t *rapid.T) {
	if len(r.picks) == 0 {
		return
	}
	p := r.picks[0]
	r.picks = r.picks[1:]
	switch rapid.IntRange(0, 3).Draw(t, "notice") {
	case 0:
		p.MarkLeaving()
	case 1:
		p.MarkResting(time.Second)
	}
	if rapid.IntRange(0, 5).Draw(t, "panic") == 0 {
		p.Release()
		p.Release()
		return
	}
	p.Done(balancer.Outcome(rapid.IntRange(int(balancer.Served), int(balancer.Misdirected)).Draw(t, "outcome")))
	p.Release()
}

// No order of changes of the lists, the pools, the loads and what targets say may make
// the choice of a target panic, and none may leave a load on a target without a request.
func TestRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &randomBalancer{now: time.Unix(1000, 0)}
		r.b = balancer.New(balancer.Config{Self: "e1", Zone: "near", Now: func() time.Time { return r.now }})
		t.Repeat(map[string]func(*rapid.T){
			"list": r.list, "configure": r.configure, "load": r.load, "choose": r.choose, "choose again": r.choose, "finish": r.finish,
			"advance": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for _, p := range r.picks {
			p.Done(balancer.Served)
		}
		if loads := r.b.LocalLoads(); len(loads) > 0 {
			t.Fatalf("got loads %v after all requests, want none", loads)
		}
	})
}

// No outcomes of requests may take a target out for longer than an ejection and a probe
// last: the pool may get no request that could show that it is sound.
func TestEjectionEndsByTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &randomBalancer{now: time.Unix(1000, 0)}
		r.b = balancer.New(balancer.Config{Self: "e1", Zone: "near", Random: rand.New(rand.NewPCG(1, 1)).IntN, Now: func() time.Time { return r.now }})
		r.configure(t)
		r.listed = []*wire.Listing{{Id: "t1", Pool: "p1", Zone: "near"}, {Id: "t2", Pool: "p1", Zone: "far"}, {Id: "t3", Pool: "p1", Zone: "near"}}
		r.b.SetTargets(r.listed)
		t.Repeat(map[string]func(*rapid.T){
			"choose": r.choose, "choose again": r.choose, "load": r.load,
			"finish": func(t *rapid.T) {
				if len(r.picks) == 0 {
					return
				}
				p := r.picks[0]
				r.picks = r.picks[1:]
				if rapid.Bool().Draw(t, "begun") {
					p.MarkPrefilled()
				}
				p.Done(balancer.Outcome(rapid.IntRange(int(balancer.Served), int(balancer.Misdirected)).Draw(t, "outcome")))
			},
			"advance": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		r.now = r.now.Add(8 * time.Second)
		for _, l := range r.listed {
			q := balancer.Query{Pool: l.Pool, Only: l.Id, Retryable: rapid.Bool().Draw(t, "retryable")}
			if _, err := r.b.Choose(q); err != nil {
				t.Fatalf("after 8 s without requests: got %v, want %s", err, l.Id)
			}
		}
	})
}
