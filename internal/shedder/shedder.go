package shedder

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// averageTime is the time over which the traffic is averaged.
	averageTime = 700 * time.Millisecond
	// fullShare is the part of the link from which callers are sent elsewhere.
	// Traffic comes in bursts, and packets have headers that aren't counted.
	fullShare = 0.55
	// clearShare is the part of the link below which callers may come again.
	// Hysteresis keeps readiness from switching with each burst.
	clearShare = 0.35
	// noticeTime is the time until the load balancer has noticed: two checks a
	// second apart. Connections that are closed sooner would come back.
	noticeTime = 2500 * time.Millisecond
	// minTime and maxTime bound the time for which callers are sent elsewhere.
	minTime = 3 * time.Second
	maxTime = 8 * time.Second
	// restTime is the time for which callers may come after maxTime, whatever
	// the load: all instances may be equally busy.
	restTime = 10 * time.Second
	// closeShare is the part of the answers that end their connection. If all
	// did, the whole load would move to one other instance.
	closeShare = 0.5
)

// Config configures a Shedder.
type Config struct {
	// Capacity is what the link carries in each direction, in bytes per second;
	// 0 for no limit.
	Capacity float64
	Now      func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Logger *zap.Logger
}

// Shedder is safe for concurrent use.
type Shedder struct {
	cfg Config

	mu       sync.Mutex
	received float64 // bytes per second
	sent     float64
	at       time.Time
	full     bool
	since    time.Time // of the last change
	rest     time.Time // until then the link doesn't count as full
}

// New returns a shedder that has seen no traffic.
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
	return &Shedder{cfg: cfg, at: now, since: now}
}

// CountBytes notes bytes that have come over the link and bytes that leave over it.
// What comes counts also if the request is refused.
func (s *Shedder) CountBytes(received, sent int) {
	if s.cfg.Capacity <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	s.received += float64(received) / averageTime.Seconds()
	s.sent += float64(sent) / averageTime.Seconds()
}

// IsSaturated reports whether callers are to be sent elsewhere.
func (s *Shedder) IsSaturated() bool {
	if s.cfg.Capacity <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.full
}

// Utilization returns the part of the link in use, of the direction that is busier.
func (s *Shedder) Utilization() float64 {
	if s.cfg.Capacity <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.share()
}

// ShouldClose reports whether the connection of an answer is to be closed, so that
// its caller goes elsewhere with the next request.
func (s *Shedder) ShouldClose() bool {
	if s.cfg.Capacity <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.full && s.cfg.Now().Sub(s.since) > noticeTime && s.share() > clearShare && s.cfg.Random() < closeShare
}

// update ages the rate and decides whether the link is full. The caller holds
// mu.
func (s *Shedder) update() {
	now := s.cfg.Now()
	fade := math.Exp(-now.Sub(s.at).Seconds() / averageTime.Seconds())
	s.received *= fade
	s.sent *= fade
	s.at = now
	share := s.share()
	lasted := now.Sub(s.since)
	switch {
	case !s.full && share > fullShare && now.After(s.rest):
		s.full = true
	case s.full && lasted > maxTime:
		s.full, s.rest = false, now.Add(restTime)
	case s.full && lasted > minTime && share < clearShare:
		s.full = false
	default:
		return
	}
	s.since = now
	s.cfg.Logger.Warn("Link load changes.", zap.Bool("full", s.full), zap.Float64("share", share), zap.Duration("lasted", lasted))
}

// share returns the part of the link in use, of the direction that is busier.
// The caller holds mu.
func (s *Shedder) share() float64 { return max(s.received, s.sent) / s.cfg.Capacity }
