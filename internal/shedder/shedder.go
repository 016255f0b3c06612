package shedder

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// averageWindow is the time constant of the moving average.
	averageWindow = 700 * time.Millisecond
	// highWatermark is the link utilization above which the instance sheds
	// load. The balancer in front sends all new connections of a caller to the same
	// instance while that one is ready, and a thin instance has processor time for
	// little more than half of its link: answers come late before the link is full.
	highWatermark = 0.32
	// lowWatermark is the utilization below which the instance accepts callers
	// again. The hysteresis keeps readiness from flapping with each burst.
	lowWatermark = 0.21
	// healthCheckDelay is the time until the load balancer notices: two health
	// checks, one second apart. Callers disconnected earlier would reconnect to
	// this instance.
	healthCheckDelay = 2500 * time.Millisecond
	// minSaturatedTime and maxSaturatedTime bound how long the instance sheds
	// load.
	minSaturatedTime = 3 * time.Second
	maxSaturatedTime = 8 * time.Second
	// cooldown is how long callers are accepted after maxSaturatedTime
	// regardless of load, since all instances may be equally busy.
	cooldown = 10 * time.Second
	// closeRatio is the fraction of responses that close their connection, times
	// the excess of the utilization. More at a time would move the whole load to one
	// other instance before the utilization shows that enough have gone.
	closeRatio = 0.06
)

// Config configures a Shedder.
type Config struct {
	// Capacity is the link capacity in each direction, in bytes per second; 0
	// means no limit.
	Capacity float64
	Now      func() time.Time
	// Random returns a number in [0, 1). It defaults to rand.Float64.
	Random func() float64
	Logger *zap.Logger
}

// Shedder measures the link utilization and decides when to shed load. It is
// safe for concurrent use.
type Shedder struct {
	cfg Config

	mu            sync.Mutex
	receiveRate   float64 // bytes per second
	sendRate      float64
	updated       time.Time
	saturated     bool
	changed       time.Time // time of the last change of saturated
	cooldownUntil time.Time // the link is not considered saturated before this time
}

// New returns a Shedder that has seen no traffic.
func New(cfg Config) *Shedder {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	now := cfg.Now()
	return &Shedder{cfg: cfg, updated: now, changed: now}
}

// CountBytes records bytes received and sent over the link. Received bytes
// count even if the request is rejected.
func (s *Shedder) CountBytes(received, sent int) {
	if s.cfg.Capacity <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	s.receiveRate += float64(received) / averageWindow.Seconds()
	s.sendRate += float64(sent) / averageWindow.Seconds()
}

// IsSaturated reports whether the instance should receive no new callers.
func (s *Shedder) IsSaturated() bool {
	if s.cfg.Capacity <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.saturated
}

// Utilization returns the utilization of the link, in its busier direction.
func (s *Shedder) Utilization() float64 {
	if s.cfg.Capacity <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.utilization()
}

// ShouldClose reports whether to close the connection after a response, so that
// the caller's next request goes to another instance.
func (s *Shedder) ShouldClose() bool {
	if s.cfg.Capacity <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.saturated && s.cfg.Now().Sub(s.changed) > healthCheckDelay && s.cfg.Random() < closeRatio*s.excess()
}

// excess returns the part of the utilization above the low watermark. The caller
// holds mu.
func (s *Shedder) excess() float64 { return max(1-lowWatermark/max(s.utilization(), lowWatermark), 0) }

// update decays the rates and updates the saturation state. The caller holds
// mu.
func (s *Shedder) update() {
	now := s.cfg.Now()
	decay := math.Exp(-now.Sub(s.updated).Seconds() / averageWindow.Seconds())
	s.receiveRate *= decay
	s.sendRate *= decay
	s.updated = now
	share := s.utilization()
	lasted := now.Sub(s.changed)
	switch {
	case !s.saturated && share > highWatermark && now.After(s.cooldownUntil):
		s.saturated = true
	case s.saturated && lasted > maxSaturatedTime:
		s.saturated, s.cooldownUntil = false, now.Add(cooldown)
	case s.saturated && lasted > minSaturatedTime && share < lowWatermark:
		s.saturated = false
	default:
		return
	}
	s.changed = now
	s.cfg.Logger.Warn("link saturation changed", zap.Bool("full", s.saturated), zap.Float64("share", share), zap.Duration("lasted", lasted))
}

// utilization returns the utilization of the busier direction. The caller holds
// mu.
func (s *Shedder) utilization() float64 { return max(s.receiveRate, s.sendRate) / s.cfg.Capacity }
