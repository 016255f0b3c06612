package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// prefillSpeed is the number of prompt tokens that an engine reads in a ms.
	prefillSpeed = 20
	// sharedTokens and ownTokens are the parts of a prompt; the sum is below the
	// largest prompt of the sheet.
	sharedTokens = 40000
	ownTokens    = 9000
	// promptCount is the number of long prompts that wait at an engine.
	promptCount = 15
	// moveAfter is when the route is moved to another service, and retireAfter when
	// the engines of the old one are emptied, from the first prompt on.
	moveAfter   = 1500 * time.Millisecond
	retireAfter = 3600 * time.Millisecond
	// rounds is the number of services that are retired, one after the other.
	rounds = 4
	// callerCount is the number of callers of the plain service on kept channels,
	// and callTime the time that a call takes.
	callerCount = 6
	callTime    = 60 * time.Millisecond
	// restartDelay is the time until the platform restarts a process that has ended.
	restartDelay = time.Second
)

// playRetire lets all engines of a service that is no longer needed be emptied at once
// while long prompts wait for their first token, and counts the requests of a plain
// service whose channel ends without an answer at a machine without a disruption.
func playRetire(e *environment) (broken bool, err error) {
	f, err := newFleet(e, []string{"z0", "z1", "z2", "z0", "z1", "z2", "z0", "z1"}, 134, false)
	if err != nil {
		return false, err
	}
	next := map[string]any{"Name": "next", "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "Tls": false, "Engine": engine()}
	services := []any{next, map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "Tls": false}}
	routes := []any{route("order", "non_idempotent", "app", 3000, false)}
	for n := range rounds {
		services = append(services, map[string]any{"Name": fmt.Sprint("bench", n), "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "Tls": false, "Engine": engine()})
		r := route(fmt.Sprint("sheet", n), "streaming", fmt.Sprint("bench", n), 15000, true)
		r[names["objective"]], r["ItlTargetMs"] = 1000, 400
		routes = append(routes, r)
	}
	if err := f.configure(1, routes, services); err != nil {
		return false, err
	}
	for i := range 3 {
		g := &runner{e: e, id: fmt.Sprint("i-app-", i), service: "app", zone: fmt.Sprint("z", i), version: "v1", address: fmt.Sprint(f.prefix, 40+i, ":8080")}
		g.serve = func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			plain.begun(r.Header.Get(names["attempt"]))
			e.record.printf("runner %s runs %s", g.id, r.Header.Get(names["attempt"]))
			time.Sleep(callTime)
			_, _ = io.WriteString(w, strings.Repeat("x", 800))
		}
		if err := g.start(f); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		g := &runner{e: e, id: fmt.Sprint("i-next-", i), service: "next", zone: fmt.Sprint("z", i), version: "v1", weights: 1, address: fmt.Sprint(f.prefix, 45+i, ":8080")}
		g.serve = func(w http.ResponseWriter, r *http.Request) { g.stream(w, r, 0) }
		if err := g.start(f); err != nil {
			return false, err
		}
	}
	return f.retire(routes, services)
}

// calls counts calls and which of them runners have begun to run.
type calls struct {
	mu   sync.Mutex
	runs map[string]bool
	lost atomic.Int64
	sent atomic.Int64
}

// plain is the count of the calls of a plain service.
var plain = &calls{runs: map[string]bool{}}

func (c *calls) begun(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[attempt] = true
}

func (c *calls) hasRun(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[attempt]
}

// retire plays the rounds.
func (f *fleet) retire(routes, services []any) (broken bool, err error) {
	if err := f.await(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	ends := atomic.Int64{}
	stopping := atomic.Bool{}
	for i, m := range f.edges {
		group.Go(func() { f.supervise(ctx, m, &ends, &stopping) })
		for j := range callerCount {
			group.Go(func() { f.call(ctx, m, i*callerCount+j) })
		}
	}
	for n := range rounds {
		move := func() error {
			routes[1+n].(map[string]any)["Service"] = "next"
			return f.configure(2+n, routes, services)
		}
		if err := f.round(n, move); err != nil {
			return false, err
		}
		f.e.record.printf("after round %d: processes have ended by themselves %d times; %d calls of the plain service, %d run and ended without an answer", n, ends.Load(), plain.sent.Load(), plain.lost.Load())
		if plain.lost.Load() > 3 {
			break
		}
	}
	cancel()
	stopping.Store(true)
	group.Wait()
	for _, m := range f.machines() {
		f.signal(m, syscall.SIGTERM)
	}
	if plain.sent.Load() < 100 {
		return false, errors.New("too few calls")
	}
	return plain.lost.Load() > 3, nil
}

// supervise restarts the process of a machine that has ended.
func (f *fleet) supervise(ctx context.Context, m *machine, ends *atomic.Int64, stopping *atomic.Bool) {
	for {
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		select {
		case <-exited:
		case <-ctx.Done():
			return
		}
		if stopping.Load() {
			return
		}
		ends.Add(1)
		f.e.record.printf("%s: the process has ended by itself: %s", m.name, f.lastWords(m))
		time.Sleep(restartDelay)
		if err := f.start(m); err != nil {
			f.e.record.printf("%s: %v", m.name, err)
			return
		}
	}
}

// round lets two engines of a service start, sends long prompts that share a part to
// them, moves the route to another service and empties both of them.
func (f *fleet) round(n int, move func() error) error {
	zone := make(chan int, promptCount)
	var engines []*runner
	for i := range 2 {
		g := &runner{e: f.e, id: fmt.Sprintf("i-bench-%d-%d", n, i), service: fmt.Sprint("bench", n), zone: fmt.Sprint("z", i), version: "v1", weights: 1, address: fmt.Sprintf("%s%d:8080", f.prefix, 50+2*n+i)}
		var mu sync.Mutex
		read := false // the shared part
		g.serve = func(w http.ResponseWriter, r *http.Request) {
			begun := time.Now()
			zone <- i
			mu.Lock()
			tokens := ownTokens
			if !read {
				tokens, read = tokens+sharedTokens, true
			}
			time.Sleep(time.Duration(float64(tokens) / prefillSpeed * float64(time.Millisecond)))
			mu.Unlock()
			f.e.record.printf("runner %s has read the prompt of %s after %v", g.id, r.Header.Get(names["attempt"]), time.Since(begun).Round(time.Millisecond))
			g.stream(w, r, 0)
		}
		if err := g.start(f); err != nil {
			return err
		}
		engines = append(engines, g)
	}
	time.Sleep(1500 * time.Millisecond)
	var group sync.WaitGroup
	// The first prompt tells at which engine the shared part is kept. The clients are
	// in its zone.
	group.Go(func() { f.prompt(f.edges[0], n, 0) })
	var edges []*machine
	select {
	case i := <-zone:
		for _, m := range f.edges {
			if m.zone == engines[i].zone {
				edges = append(edges, m)
			}
		}
	case <-time.After(3 * time.Second):
		return errors.New("the first prompt isn't run")
	}
	for i := range promptCount - 1 {
		group.Go(func() { f.prompt(edges[i%len(edges)], n, i+1) })
		time.Sleep(27 * time.Millisecond)
	}
	time.Sleep(moveAfter - promptCount*27*time.Millisecond)
	if err := move(); err != nil {
		return err
	}
	time.Sleep(retireAfter - moveAfter)
	if f.e.trouble {
		f.e.record.printf("both engines of service bench%d are emptied", n)
		for _, g := range engines {
			g.drainNow(f)
		}
	}
	group.Wait()
	for _, g := range engines {
		g.end(f)
	}
	return nil
}

// prompt sends a long prompt and reads its stream.
func (f *fleet) prompt(m *machine, n, i int) {
	attempt := fmt.Sprintf("%08x%08x", n, i)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/sheet%d/%s", m.ip, frontendPort, n, attempt), strings.NewReader("draw the cut sheet"))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set(names["attempt"], attempt)
	r.Header.Set(names["limit"], "15000")
	r.Header.Set("X-Model", "m")
	r.Header.Set(names["usage"], strconv.Itoa(sharedTokens+ownTokens)+",240")
	r.Header.Set(names["parts"], fmt.Sprintf("5c1e07a%d:%d,%08x:%d", n, sharedTokens, i+1, ownTokens))
	r.Header.Set("Authorization", "Bearer "+key)
	f.e.record.printf("client sends %s to %s", attempt, m.name)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		f.e.record.printf("client gets no answer to %s: %v", attempt, err)
		return
	}
	defer a.Body.Close()
	size, err := io.Copy(io.Discard, a.Body)
	f.e.record.printf("client gets %d for %s, %d bytes, error %v", a.StatusCode, attempt, size, err)
}

// call calls the plain service on a kept channel until ctx ends.
func (f *fleet) call(ctx context.Context, m *machine, number int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: 3 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("ca11%04x%08x", number, i)
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/order/%s", m.ip, frontendPort, attempt), strings.NewReader("deposit"))
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set(names["attempt"], attempt)
		r.Header.Set(names["limit"], "3000")
		r.Header.Set("Authorization", "Bearer "+key)
		plain.sent.Add(1)
		sent := time.Now()
		a, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		if err == nil {
			f.e.record.printf("call %s, sent to %s %v ago: %d", attempt, m.name, time.Since(sent).Round(time.Millisecond), a.StatusCode)
		}
		if err != nil {
			ran := plain.hasRun(attempt)
			if ran && i > 0 {
				plain.lost.Add(1)
			}
			f.e.record.printf("call %s ends without an answer, run %v: %v", attempt, ran, err)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
