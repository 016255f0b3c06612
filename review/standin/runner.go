package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a target that serves one service.
type runner struct {
	e             *environment
	id, service   string
	zone, version string
	weights       int
	address       string
	// serve answers a request that the runner has begun to run.
	serve func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	born     int64
	sequence int
	draining bool
	server   *http.Server
	stop     context.CancelFunc
}

// start listens and announces the runner until it is ended.
func (g *runner) start(f *fleet) error {
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	g.born, g.sequence, g.draining, g.stop = time.Now().UnixMilli(), 0, false, cancel
	g.server = &http.Server{Handler: g}
	s := g.server
	g.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	g.e.record.printf("runner %s of %s, version %s, starts at %s", g.id, g.service, g.version, g.address)
	go g.announce(ctx, f)
	return nil
}

// announce sends a liveness report each 1.2 s to one core machine, and to the next
// one if that doesn't confirm it.
func (g *runner) announce(ctx context.Context, f *fleet) {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; {
		g.mu.Lock()
		g.sequence++
		phase := "ready"
		if g.draining {
			phase = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"Service": g.service, "Address": g.address, "Zone": g.zone, "Version": g.version, "Capacity": 64, "Phase": phase,
			names["warm"]: 0, "Stage": "unified", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
			"Seq": g.sequence, "born": g.born,
		})
		g.mu.Unlock()
		for range f.cores {
			core := f.cores[i%len(f.cores)]
			if post(client, fmt.Sprintf("http://%s:%d/%s/%s", core.ip, controlPort, names["announce"], g.id), body) == http.StatusOK {
				break
			}
			i++
		}
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// post sends a body and returns the status, 0 without an answer.
func post(client *http.Client, url string, body []byte) int {
	r, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// drain makes the runner report that it is leaving.
func (g *runner) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.e.record.printf("runner %s reports draining from now on", g.id)
}

// ServeHTTP implements http.Handler.
func (g *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(names["attempt"])
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", g.id)
		return
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Seq":0,"Queued":0,"Active":0,"KvUsedTokens":0,"KvTotalTokens":500000,"OpenHandles":0}`)
		return
	}
	w.Header().Set(names["attempt"], attempt)
	if named := r.Header.Get(names["target"]); named != "" && named != g.id {
		w.Header().Set(names["refused"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g.mu.Lock()
	if g.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	g.mu.Unlock()
	w.Header().Set(names["signature"], "sig."+g.id+"."+attempt)
	g.serve(w, r)
}

// streamEvents is the number of events of a stream, eventPause the time between two.
const (
	streamEvents = 40
	eventPause   = 50 * time.Millisecond
)

// stream answers with events that name the version, from Last-Event-Id on. It breaks
// off after breakAfter events, if that isn't 0.
func (g *runner) stream(w http.ResponseWriter, r *http.Request, breakAfter int) {
	attempt := r.Header.Get(names["attempt"])
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g.e.record.printf("runner %s (%s) runs %s after event %d", g.id, g.version, attempt, last)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.Itoa(g.weights))
	out := http.NewResponseController(w)
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		if r.Context().Err() != nil {
			g.e.record.printf("runner %s: the sender of %s has left", g.id, attempt)
			return
		}
		if breakAfter > 0 && n > breakAfter {
			g.e.record.printf("runner %s breaks %s off after event %d", g.id, attempt, n-1)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d/%d\n\n", n, g.version, n, streamEvents); err != nil || out.Flush() != nil {
			return
		}
	}
}

// route is a route of a configuration.
func route(name, kind, service string, timeoutMs int, resume bool) map[string]any {
	return map[string]any{
		"Name": "r-" + name, "Host": host, "PathPrefix": "/" + name + "/", "Type": kind, "TimeoutMs": timeoutMs, names["objective"]: 400,
		"Priority": 0, "Service": service, "MaxAttempts": 2, "Public": false, "SessionAffinity": resume, names["resume"]: resume, "ItlTargetMs": 300,
	}
}

// host is the host of all routes, key and hotKey are the keys of the two tenants.
const (
	host   = "clerks.example"
	key    = "n2ctnfzs989anu6wsjnb"
	hotKey = "anfqasnmgkcuyj8pjbvk"
)

// engine describes the engines of a service, as in the pages.
func engine() map[string]any {
	return map[string]any{
		"Capacity": 64, names["cache"]: 509365, "KvBytes": 18432, "LinkMbps": 130000.0, "Moves": false, "Backups": false, "Stride": 6,
		"most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleTtlS": 5.0, "Models": []any{map[string]any{"Name": "m"}},
	}
}

// configure sends a configuration until it is confirmed.
func (f *fleet) configure(version int, routes, services []any) error {
	body, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{
			map[string]any{"Name": "hule930", "ApiKeys": []string{key}, "Priority": 1, "Reserved": 500000000},
			map[string]any{"Name": "fobu112", "ApiKeys": []string{hotKey}, "Priority": 1, "Reserved": 500000000},
		},
	})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for i := range 60 {
		core := f.cores[i%len(f.cores)]
		status := post(client, fmt.Sprintf("http://%s:%d/%s", core.ip, controlPort, names["replace"]), body)
		if status == http.StatusOK {
			f.e.record.printf("configuration %d confirmed by %s", version, core.name)
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d isn't confirmed", version)
}

// versionOf returns the version that an event names.
func versionOf(data string) string {
	version, _, _ := strings.Cut(data, " ")
	return version
}

// drainNow reports that the runner is leaving, at once and with each later report.
func (g *runner) drainNow(f *fleet) {
	g.drain()
	g.mu.Lock()
	g.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": g.service, "Address": g.address, "Zone": g.zone, "Version": g.version, "Capacity": 64, "Phase": "draining",
		names["warm"]: 0, "Seq": g.sequence, "born": g.born,
	})
	g.mu.Unlock()
	go func() {
		status := post(&http.Client{Timeout: time.Second}, fmt.Sprintf("http://%s:%d/%s/%s", f.cores[0].ip, controlPort, names["announce"], g.id), body)
		g.e.record.printf("draining of %s: status %d", g.id, status)
	}()
}

// end deregisters the runner and ends it.
func (g *runner) end(f *fleet) {
	g.mu.Lock()
	g.sequence++
	body, _ := json.Marshal(map[string]any{"born": g.born, "Seq": g.sequence})
	g.stop()
	s := g.server
	g.mu.Unlock()
	_ = post(&http.Client{Timeout: time.Second}, fmt.Sprintf("http://%s:%d/%s/%s", f.cores[0].ip, controlPort, names["deregister"], g.id), body)
	_ = s.Close()
}
