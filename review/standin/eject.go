package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// ledgerCallers is the number of callers of the ledger at each edge machine,
	// stockCallers of those of the first route.
	ledgerCallers = 12
	stockCallers  = 4
	// ledgerTime is the time that the runners work on a request.
	ledgerTime = 60 * time.Millisecond
	// ledgerLimit is the time limit of the callers.
	ledgerLimit = 1500 * time.Millisecond
	// lostShare is the share of the answers that two of the three runners lose for
	// lossTime, lossCount times. pauseTime passes before each time.
	lostShare = 0.4
	lossTime  = 4 * time.Second
	lossCount = 6
	pauseTime = 2 * time.Second
	// settleTime passes until requests count, steadyTime is how
	// long they count.
	settleTime = 8 * time.Second
	steadyTime = 20 * time.Second
)

// playEject loses answers of the runners of a service with one route, which isn't
// idempotent, and counts what is served there after that has ended.
func playEject(e *environment) (broken bool, err error) {
	f, err := newFleet(e, []string{"z0", "z1", "z2"}, 134, false)
	if err != nil {
		return false, err
	}
	app := map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false}
	ledger := map[string]any{"Name": "ledger", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false}
	stock := route("stock", "idempotent", "app", 1500, false)
	deposit := route("deposit", "non_idempotent", "ledger", 1500, false)
	if err := f.configure(1, []any{stock}, []any{app, ledger}); err != nil {
		return false, err
	}
	lost := &losses{}
	for _, service := range []string{"app", "ledger"} {
		for i := range 3 {
			g := &runner{e: e, id: fmt.Sprint("i-", service, "-", i), service: service, zone: fmt.Sprint("z", i), version: "v1", address: fmt.Sprintf("%s%d:8080", f.prefix, 40+i+5*len(service))}
			g.serve = func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				e.record.printf("runner %s runs %s", g.id, r.Header.Get(names["attempt"]))
				time.Sleep(ledgerTime)
				if service == "ledger" && lost.loses(i) {
					e.record.printf("runner %s has run %s, its answer is lost", g.id, r.Header.Get(names["attempt"]))
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 800))
			}
			if err := g.start(f); err != nil {
				return false, err
			}
		}
	}
	if err := f.await(20 * time.Second); err != nil {
		return false, err
	}
	if err := f.configure(2, []any{stock, deposit}, []any{app, ledger}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	counts := newTally()
	for _, m := range f.edges[:1] {
		for i := range ledgerCallers {
			group.Go(func() { f.callSteadily(ctx, m, "deposit", fmt.Sprint("d", i), counts) })
		}
		for i := range stockCallers {
			group.Go(func() { f.callSteadily(ctx, m, "stock", fmt.Sprint("s", i), counts) })
		}
	}
	for i := range lossCount {
		time.Sleep(pauseTime)
		if e.trouble {
			affected := []int{i % 3, (i + 1) % 3}
			e.record.printf("runners %v of ledger lose %v of their answers for %v", affected, lostShare, lossTime)
			lost.set(affected...)
		}
		time.Sleep(lossTime)
		lost.set()
	}
	e.record.printf("no more answers are lost")
	time.Sleep(settleTime)
	counts.clear()
	e.record.printf("steady state from here on")
	time.Sleep(steadyTime)
	for _, m := range f.edges[:1] {
		e.record.printf("%s: first route %v, later route %v", m.name, counts.of(m.name, "stock"), counts.of(m.name, "deposit"))
	}
	var served, all, servedFirst, allFirst int
	for _, m := range f.edges[:1] {
		s, n := counts.share(m.name, "deposit")
		served, all = served+s, all+n
		s, n = counts.share(m.name, "stock")
		servedFirst, allFirst = servedFirst+s, allFirst+n
	}
	e.record.printf("in all: first route %d of %d served, later route %d of %d", servedFirst, allFirst, served, all)
	cancel()
	group.Wait()
	for _, m := range f.machines() {
		f.signal(m, syscall.SIGTERM)
	}
	if all < 20 || allFirst < 20 {
		return false, errors.New("too few requests")
	}
	return float64(served)/float64(all) < 0.25*float64(servedFirst)/float64(allFirst), nil
}

// callSteadily sends requests on a route to a machine, on a kept channel. After a
// refusal it waits as long as it is told.
func (f *fleet) callSteadily(ctx context.Context, m *machine, name, caller string, counts *tally) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: ledgerLimit + time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("%s%s%06x", m.name, caller, i)
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/%s", m.ip, frontendPort, name, attempt), strings.NewReader("deposit"))
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set(names["attempt"], attempt)
		r.Header.Set(names["limit"], strconv.FormatInt(ledgerLimit.Milliseconds(), 10))
		r.Header.Set("Authorization", "Bearer "+key)
		outcome, pause := "no answer", 20*time.Millisecond
		sent := time.Now()
		a, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		if err == nil {
			outcome = fmt.Sprint(a.StatusCode)
			if d, err := time.ParseDuration(a.Header.Get("Retry-After") + "s"); err == nil {
				pause = d
			}
		}
		counts.add(m.name, name, outcome)
		f.e.record.printf("%s, sent on the route %s %v ago: %s", attempt, name, time.Since(sent).Round(time.Millisecond), outcome)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// tally counts outcomes by machine and route.
type tally struct {
	mu     sync.Mutex
	counts map[string]map[string]int
}

func newTally() *tally { return &tally{counts: map[string]map[string]int{}} }

func (t *tally) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.counts)
}

func (t *tally) add(machine, route, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := machine + " " + route
	if t.counts[k] == nil {
		t.counts[k] = map[string]int{}
	}
	t.counts[k][outcome]++
}

func (t *tally) of(machine, route string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts[machine+" "+route])
}

func (t *tally) share(machine, route string) (served, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for outcome, n := range t.counts[machine+" "+route] {
		all += n
		if outcome == "200" {
			served += n
		}
	}
	return served, all
}

// losses tells which runners lose answers.
type losses struct {
	mu       sync.Mutex
	affected []int
}

func (l *losses) set(runners ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.affected = runners
}

func (l *losses) loses(runner int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.affected, runner) && rand.Float64() < lostShare
}
