package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/host"
	"github.com/papayapond/papayapond/internal/wire"
)

// sampleInterval is the minimum time between two samples of the load.
const sampleInterval = 20 * time.Millisecond

// sample is the load at one point in time.
type sample struct {
	at               time.Time
	running, waiting int
}

// Report returns the announcement of the engine: its load as of Lag ago and the
// cache events that are at least EventLag old, except for dropped ones. It
// removes the events, so that each is announced once.
func (e *Engine) Report() *wire.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Now()
	e.sample()
	load := e.sampleAt(now.Add(-e.cfg.Lag))
	t := &wire.Target{
		Name: e.cfg.Name, Zone: e.cfg.Zone, Kind: "engine", Address: e.cfg.Address,
		Models: e.readyModels(), State: e.state(), Incarnation: e.cfg.Incarnation,
		Running: uint32(load.running), Waiting: uint32(load.waiting), Slots: uint32(e.cfg.Slots),
		Time: load.at.UnixMilli(), Fencing: !e.cfg.IgnoreFence, Role: e.role,
	}
	for _, ev := range e.cache.takeEvents(now.Add(-e.cfg.EventLag)) {
		if e.cfg.EventLoss > 0 && e.rng.Float64() < e.cfg.EventLoss {
			continue
		}
		t.Events = append(t.Events, &wire.Cache{Sequence: ev.sequence, Hash: ev.hash, Evicted: ev.evicted})
	}
	return t
}

// sample records the load. The caller holds e.mu.
func (e *Engine) sample() {
	now := e.cfg.Now()
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < sampleInterval {
		return
	}
	e.samples = append(e.samples, sample{now, len(e.running), e.waiting.size()})
	old := 0
	for old < len(e.samples)-1 && !e.samples[old+1].at.After(now.Add(-e.cfg.Lag)) {
		old++
	}
	e.samples = e.samples[old:]
}

// sampleAt returns the newest sample up to the given time, or else the oldest
// one.
func (e *Engine) sampleAt(at time.Time) sample {
	found := e.samples[0]
	for _, s := range e.samples {
		if !s.at.After(at) {
			found = s
		}
	}
	return found
}

func (e *Engine) state() string {
	if e.leftAt.IsZero() {
		return "ready"
	}
	return "leaving"
}

func (e *Engine) readyModels() []string {
	names := make([]string, 0, len(e.models))
	for m, ready := range e.models {
		if ready {
			names = append(names, m)
		}
	}
	slices.Sort(names)
	return names
}

// reportLoad serves GET /v1/load, the current state without lag.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	body := map[string]any{
		"name": e.cfg.Name, "zone": e.cfg.Zone, "state": e.state(), "role": e.role, "models": e.readyModels(),
		"incarnation": e.cfg.Incarnation, "running": len(e.running), "waiting": e.waiting.size(),
		"slots": e.cfg.Slots, "blocks": e.cache.order.Len(), "fence": e.fence, "counts": e.counts,
	}
	e.mu.Unlock()
	host.Reply(w, http.StatusOK, body)
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	e.mu.Lock()
	data := []model{}
	for _, m := range e.readyModels() {
		data = append(data, model{m, "model"})
	}
	e.mu.Unlock()
	host.Reply(w, http.StatusOK, map[string]any{"object": "list", "data": data})
}

func replyError(w http.ResponseWriter, status int, code, message string) {
	host.Reply(w, status, map[string]any{"error": map[string]string{"code": code, "type": code, "message": message}})
}
