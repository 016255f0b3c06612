package issuer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// leaderState is the state of one term of leadership.
type leaderState struct {
	cfg         Config
	start       time.Time
	loadLimiter *rate.Limiter

	mu         sync.Mutex
	active     map[string]bool // targets with an order in progress
	unanswered map[string]unansweredSend

	// attemptSem serializes check and commit, so that two orders can't take the
	// last two copies of a model out of service at the same time.
	attemptSem chan struct{}
}

// unansweredSend is the last request to a target that got no final response.
type unansweredSend struct {
	fence    uint64
	closedAt time.Time
}

func newLeaderState(cfg Config, start time.Time) *leaderState {
	s := &leaderState{
		cfg: cfg, start: start, loadLimiter: rate.NewLimiter(rate.Every(cfg.LoadInterval), 1),
		active: map[string]bool{}, unanswered: map[string]unansweredSend{}, attemptSem: make(chan struct{}, 1),
	}
	// The previous leader may have sent a load order just before.
	s.loadLimiter.AllowN(start, 1)
	return s
}

// claimNext returns the oldest pending order of each idle target and marks these
// targets active.
func (s *leaderState) claimNext(orders []*wire.OrderState) []*wire.OrderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next []*wire.OrderState
	for _, o := range orders {
		if o.Outcome == "" && !s.active[o.Order.Target] {
			s.active[o.Order.Target] = true
			next = append(next, o)
		}
	}
	return next
}

func (s *leaderState) release(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, target)
}

// issue retries an order with exponential backoff until it has an outcome or
// leadership ends.
func (s *leaderState) issue(ctx context.Context, o *wire.OrderState) {
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		outcome, detail, next := s.attempt(ctx, o)
		if outcome != "" {
			s.conclude(ctx, o, outcome, detail)
			return
		}
		if next == nil {
			return
		}
		o = next
		pause(ctx, backoff)
	}
}

// attempt sends an order once. Without an outcome it returns the current state of
// the order for a retry, or nil if there is nothing left to do.
func (s *leaderState) attempt(ctx context.Context, o *wire.OrderState) (outcome, detail string, next *wire.OrderState) {
	if time.Since(time.Unix(0, o.Time)) > s.cfg.Expiry {
		return s.expire(ctx, o)
	}
	t := s.findTarget(o.Order.Target)
	if t == nil {
		return "", "", o
	}
	if !s.waitToSend(ctx, o, t) {
		return "", "", o
	}
	if t = s.findTarget(o.Order.Target); t == nil {
		return "", "", o
	}
	sendCtx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	refusal, latest, err := s.commitAttempt(sendCtx, o)
	switch {
	case refusal != "":
		return Refused, refusal, nil
	case isConcluded(err):
		return "", "", nil
	case err != nil:
		return "", "", o
	}
	outcome, detail = s.send(sendCtx, latest, t)
	return outcome, detail, latest
}

// expire returns the outcome of an order that is too old. It counts the attempts in
// the log, which may include one whose commit this member didn't see confirmed.
func (s *leaderState) expire(ctx context.Context, o *wire.OrderState) (outcome, detail string, next *wire.OrderState) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	latest, _, err := s.latest(ctx, o)
	switch {
	case isConcluded(err):
		return "", "", nil
	case err != nil:
		return "", "", o
	case latest.Attempts == 0:
		return Expired, fmt.Sprintf("not sent within %v", s.cfg.Expiry), nil
	}
	return Expired, fmt.Sprintf("sent up to %d times without confirmation, may have been obeyed", latest.Attempts), nil
}

// isConcluded reports whether an error means that the order already has an outcome
// or no longer exists.
func isConcluded(err error) bool {
	return err != nil && (fault.Of(err) == fault.Conflict || fault.Of(err) == fault.Missing)
}

func (s *leaderState) findTarget(name string) *wire.Target {
	targets := s.cfg.Targets()
	if i := slices.IndexFunc(targets, func(t *wire.Target) bool { return t.Name == name }); i >= 0 {
		return targets[i]
	}
	return nil
}

// waitToSend blocks until an order may be sent. It returns false if ctx ends first.
func (s *leaderState) waitToSend(ctx context.Context, o *wire.OrderState, t *wire.Target) bool {
	if !t.Fencing {
		until := s.start
		s.mu.Lock()
		if last, ok := s.unanswered[t.Name]; ok && last.fence != o.Fence {
			until = last.closedAt
		}
		s.mu.Unlock()
		pause(ctx, time.Until(until.Add(s.cfg.QuietPeriod)))
	}
	if o.Order.Verb == Load {
		return s.loadLimiter.Wait(ctx) == nil
	}
	return ctx.Err() == nil
}

// commitAttempt commits an attempt as the leader and returns the order as read
// before it. It refuses an order that has never been sent if it would take the last
// ready copy of a model out of service.
func (s *leaderState) commitAttempt(ctx context.Context, o *wire.OrderState) (refusal string, latest *wire.OrderState, err error) {
	select {
	case s.attemptSem <- struct{}{}:
		defer func() { <-s.attemptSem }()
	case <-ctx.Done():
		return "", nil, eris.Wrap(fault.Isolated, "commit attempt: timed out waiting for another attempt")
	}
	latest, orders, err := s.latest(ctx, o)
	if err != nil {
		return "", nil, err
	}
	if latest.Attempts == 0 && !latest.Order.Forced {
		g := guard{targets: s.cfg.Targets(), orders: orders, settledBefore: time.Now().Add(-s.cfg.SettleTime).UnixNano()}
		if reason := g.check(latest); reason != "" {
			return reason, nil, nil
		}
	}
	err = s.cfg.Propose(ctx, &wire.Command{Change: &wire.Command_Attempt{Attempt: &wire.Attempt{
		Target: o.Order.Target, Request: o.Order.Request, Fence: o.Fence}}})
	// If the result of the commit is unknown, the attempt may be in the log but
	// the order is not sent.
	return "", latest, err
}

// latest reads an order and all others after a barrier. The error wraps
// fault.Conflict if the order has an outcome or no longer exists.
func (s *leaderState) latest(ctx context.Context, o *wire.OrderState) (*wire.OrderState, []*wire.OrderState, error) {
	if err := s.cfg.Barrier(ctx); err != nil {
		return nil, nil, err
	}
	orders, err := s.cfg.Orders(ctx)
	if err != nil {
		return nil, nil, err
	}
	i := slices.IndexFunc(orders, func(other *wire.OrderState) bool {
		return other.Order.Target == o.Order.Target && other.Fence == o.Fence
	})
	if i < 0 || orders[i].Outcome != "" {
		return nil, nil, eris.Wrapf(fault.Conflict, "order %s to target %s has an outcome or no longer exists", o.Order.Request, o.Order.Target)
	}
	return orders[i], orders, nil
}

// send posts an order and returns its outcome, or "" if it must be retried.
func (s *leaderState) send(ctx context.Context, o *wire.OrderState, t *wire.Target) (outcome, detail string) {
	body, err := json.Marshal(struct {
		Request string `json:"request"`
		Verb    string `json:"verb"`
		Subject string `json:"subject"`
		Fence   uint64 `json:"fence"`
	}{o.Order.Request, o.Order.Verb, o.Order.Subject, o.Fence})
	if err != nil {
		return Refused, err.Error()
	}
	// The commit may have used up the timeout. A late request could reach the
	// target after an order of the next leader.
	if ctx.Err() != nil {
		return "", ""
	}
	status, answer, err := s.cfg.Send(ctx, t.Address, body)
	if err == nil {
		outcome, detail = classify(o, status, answer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if outcome == "" {
		s.unanswered[t.Name] = unansweredSend{o.Fence, time.Now()}
		s.cfg.Logger.Info("order not confirmed", zap.String("target", t.Name), zap.Uint64("fence", o.Fence), zap.Int("status", status), zap.Error(err))
	}
	return outcome, detail
}

// conclude records an outcome. If there is no quorum, the next leader sends the
// order again.
func (s *leaderState) conclude(ctx context.Context, o *wire.OrderState, outcome, detail string) {
	command := &wire.Command{Change: &wire.Command_Conclude{Conclude: &wire.Conclude{
		Target: o.Order.Target, Request: o.Order.Request, Fence: o.Fence, Outcome: outcome, Detail: detail}}}
	for ctx.Err() == nil {
		err := s.propose(ctx, command)
		if err == nil {
			s.cfg.Logger.Info("order concluded", zap.String("target", o.Order.Target), zap.Uint64("fence", o.Fence), zap.String("outcome", outcome))
			return
		}
		if k := fault.Of(err); k == fault.Conflict || k == fault.Missing {
			s.cfg.Logger.Info("order already concluded or removed", zap.String("target", o.Order.Target), zap.Uint64("fence", o.Fence), zap.Error(err))
			return
		}
		pause(ctx, minBackoff)
	}
}

func (s *leaderState) propose(ctx context.Context, command *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	return s.cfg.Propose(ctx, command)
}
