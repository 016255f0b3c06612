package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// drawingBytes is the size of the bodies, the largest that the limits allow.
	drawingBytes = 4194304
	// otherCallers and hotCallers send drawings all the while, the latter for one
	// tenant. That one sends hotFactor times its usual for hotTime, hotCount times.
	otherCallers = 11
	hotCallers   = 3
	hotFactor    = 7
	hotTime      = 6 * time.Second
	hotCount     = 3
	// memoryLimit is that of the edge machines, in MB.
	memoryLimit = 134
	// drawingTime is the time that a runner works on a drawing.
	drawingTime = 60 * time.Millisecond
)

// playHot sends large bodies through one edge machine, within the limits of the
// configuration, and more of them for one tenant at times. The platform kills a process above its
// memory limit and starts it again.
func playHot(e *environment) (broken bool, err error) {
	f, err := newFleet(e, []string{"z0", "z1", "z2"}, memoryLimit, false)
	if err != nil {
		return false, err
	}
	if err := f.configure(1, []any{route("order", "non_idempotent", "app", 3000, false)}, []any{
		map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "Tls": false},
	}); err != nil {
		return false, err
	}
	for i := range 3 {
		g := &runner{e: e, id: fmt.Sprint("i-app-", i), service: "app", zone: fmt.Sprint("z", i), version: "v1", address: fmt.Sprint(f.prefix, 40+i, ":8080")}
		g.serve = func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			plain.begun(r.Header.Get(names["attempt"]))
			e.record.printf("runner %s runs %s", g.id, r.Header.Get(names["attempt"]))
			time.Sleep(drawingTime)
			_, _ = io.WriteString(w, strings.Repeat("x", 800))
		}
		if err := g.start(f); err != nil {
			return false, err
		}
	}
	if err := f.await(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	m := f.edges[0]
	kills, peak := atomic.Int64{}, atomic.Int64{}
	group.Go(func() { f.limitMemory(ctx, m, &kills, &peak) })
	for i := range otherCallers {
		group.Go(func() { f.draw(ctx, m, key, i) })
	}
	for i := range hotCallers {
		group.Go(func() { f.draw(ctx, m, hotKey, 50+i) })
	}
	for n := range hotCount {
		time.Sleep(4 * time.Second)
		if e.trouble {
			e.record.printf("the tenant fobu112 has %d callers instead of %d for %v", hotFactor*hotCallers, hotCallers, hotTime)
			hot, end := context.WithTimeout(ctx, hotTime)
			var more sync.WaitGroup
			for i := range (hotFactor - 1) * hotCallers {
				more.Go(func() { f.draw(hot, m, hotKey, 100*(n+1)+i) })
			}
			more.Wait()
			end()
		} else {
			time.Sleep(hotTime)
		}
		e.record.printf("%s: at most %d MB of memory, %d kills above %d MB; %d requests, %d run and ended without an answer", m.name, peak.Load()>>20, kills.Load(), memoryLimit, plain.sent.Load(), plain.lost.Load())
	}
	cancel()
	group.Wait()
	for _, m := range f.machines() {
		f.signal(m, syscall.SIGTERM)
	}
	if plain.sent.Load() < 100 {
		return false, errors.New("too few requests")
	}
	return kills.Load() > 0 && plain.lost.Load() > 3, nil
}

// draw sends drawings to a machine on a kept channel until ctx ends.
func (f *fleet) draw(ctx context.Context, m *machine, key string, number int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	body := bytes.Repeat([]byte("d"), drawingBytes)
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("d4a3%04x%08x", number, i)
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/order/%s", m.ip, frontendPort, attempt), bytes.NewReader(body))
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
		switch {
		case err != nil:
			ran := plain.hasRun(attempt)
			if ran && i > 0 {
				plain.lost.Add(1)
			}
			f.e.record.printf("request %s ends without an answer, run %v: %v", attempt, ran, err)
			time.Sleep(300 * time.Millisecond)
		default:
			f.e.record.printf("request %s, sent to %s %v ago: %d", attempt, m.name, time.Since(sent).Round(time.Millisecond), a.StatusCode)
			if a.StatusCode != http.StatusOK {
				time.Sleep(300 * time.Millisecond)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// limitMemory kills the process of a machine when it takes more memory than it may, and
// starts it again.
func (f *fleet) limitMemory(ctx context.Context, m *machine, kills, peak *atomic.Int64) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		n, err := anonymousMemory(m.pid())
		if err != nil {
			continue
		}
		peak.Store(max(peak.Load(), n))
		if n <= memoryLimit<<20 {
			continue
		}
		f.e.record.printf("%s takes %d MB of memory, more than %d MB: the platform kills the process", m.name, n>>20, memoryLimit)
		kills.Add(1)
		f.signal(m, syscall.SIGKILL)
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		<-exited
		time.Sleep(restartDelay)
		if err := f.start(m); err != nil {
			f.e.record.printf("%s: %v", m.name, err)
			return
		}
	}
}

// anonymousMemory returns the memory of a process that isn't backed by files, in bytes.
func anonymousMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no RssAnon")
}
