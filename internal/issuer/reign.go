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

// reign is the state of one term of leadership.
type reign struct {
	cfg   Config
	since time.Time
	loads *rate.Limiter

	mu     sync.Mutex
	active map[string]bool // targets with an order being issued
	open   map[string]unanswered

	// permit keeps two orders from taking the last two copies of a model out
	// of service at the same time.
	permit chan struct{}
}

// unanswered is the last sending to a target that got no answer.
type unanswered struct {
	fence  uint64
	closed time.Time
}

func newReign(cfg Config, since time.Time) *reign {
	r := &reign{
		cfg: cfg, since: since, loads: rate.NewLimiter(rate.Every(cfg.LoadInterval), 1),
		active: map[string]bool{}, open: map[string]unanswered{}, permit: make(chan struct{}, 1),
	}
	// The last leader may have sent a load order just now.
	r.loads.AllowN(since, 1)
	return r
}

// heads returns the oldest pending order of each target that has none being
// issued, and marks these targets.
func (r *reign) heads(orders []*wire.OrderState) []*wire.OrderState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heads []*wire.OrderState
	for _, o := range orders {
		if o.Outcome == "" && !r.active[o.Order.Target] {
			r.active[o.Order.Target] = true
			heads = append(heads, o)
		}
	}
	return heads
}

func (r *reign) leave(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, target)
}

// issue sends an order until it has an outcome or the reign ends.
func (r *reign) issue(ctx context.Context, o *wire.OrderState) {
	for backoff := firstBackoff; ctx.Err() == nil; backoff = min(2*backoff, lastBackoff) {
		outcome, detail, next := r.try(ctx, o)
		if outcome != "" {
			r.conclude(ctx, o, outcome, detail)
			return
		}
		if next == nil {
			return
		}
		o = next
		pause(ctx, backoff)
	}
}

// try sends an order once. Without an outcome it returns the order as the log
// has it now, or nil if there is nothing more to do.
func (r *reign) try(ctx context.Context, o *wire.OrderState) (outcome, detail string, next *wire.OrderState) {
	if time.Since(time.Unix(0, o.Time)) > r.cfg.Expiry {
		return r.expire(ctx, o)
	}
	t := r.find(o.Order.Target)
	if t == nil {
		return "", "", o
	}
	if !r.wait(ctx, o, t) {
		return "", "", o
	}
	if t = r.find(o.Order.Target); t == nil {
		return "", "", o
	}
	send, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	refusal, latest, err := r.allow(send, o)
	switch {
	case refusal != "":
		return Refused, refusal, nil
	case isOver(err):
		return "", "", nil
	case err != nil:
		return "", "", o
	}
	outcome, detail = r.send(send, latest, t)
	return outcome, detail, latest
}

// expire returns the outcome of an order that is too old. The attempts are
// those of the log, which may hold one whose commit was not confirmed here.
func (r *reign) expire(ctx context.Context, o *wire.OrderState) (outcome, detail string, next *wire.OrderState) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	latest, _, err := r.latest(ctx, o)
	switch {
	case isOver(err):
		return "", "", nil
	case err != nil:
		return "", "", o
	case latest.Attempts == 0:
		return Expired, fmt.Sprintf("it was not sent within %v", r.cfg.Expiry), nil
	}
	return Expired, fmt.Sprintf("it was sent up to %d times without a confirmation and may have been obeyed", latest.Attempts), nil
}

// isOver tells whether an error means that the order has an outcome or is
// known no longer.
func isOver(err error) bool {
	return err != nil && (fault.Of(err) == fault.Conflict || fault.Of(err) == fault.Missing)
}

func (r *reign) find(name string) *wire.Target {
	targets := r.cfg.Targets()
	if i := slices.IndexFunc(targets, func(t *wire.Target) bool { return t.Name == name }); i >= 0 {
		return targets[i]
	}
	return nil
}

// wait returns when an order may be sent, or false if the reign ends.
func (r *reign) wait(ctx context.Context, o *wire.OrderState, t *wire.Target) bool {
	if !t.Fencing {
		until := r.since
		r.mu.Lock()
		if last, ok := r.open[t.Name]; ok && last.fence != o.Fence {
			until = last.closed
		}
		r.mu.Unlock()
		pause(ctx, time.Until(until.Add(r.cfg.QuietPeriod)))
	}
	if o.Order.Verb == Load {
		return r.loads.Wait(ctx) == nil
	}
	return ctx.Err() == nil
}

// allow commits an attempt as the leader and returns the order after it. An
// order that was never sent is refused if it would take the last ready copy of
// a model out of service.
func (r *reign) allow(ctx context.Context, o *wire.OrderState) (refusal string, latest *wire.OrderState, err error) {
	select {
	case r.permit <- struct{}{}:
		defer func() { <-r.permit }()
	case <-ctx.Done():
		return "", nil, eris.Wrap(fault.Isolated, "attempt: no turn in time")
	}
	latest, orders, err := r.latest(ctx, o)
	if err != nil {
		return "", nil, err
	}
	if latest.Attempts == 0 && !latest.Order.Forced {
		g := guard{targets: r.cfg.Targets(), orders: orders, settled: time.Now().Add(-r.cfg.SettleTime).UnixNano()}
		if text := g.check(latest); text != "" {
			return text, nil, nil
		}
	}
	err = r.cfg.Propose(ctx, &wire.Command{Change: &wire.Command_Attempt{Attempt: &wire.Attempt{
		Target: o.Order.Target, Request: o.Order.Request, Fence: o.Fence}}})
	// An attempt without a known result may be in the log, but is not sent.
	return "", latest, err
}

// latest returns an order and all others as the log has them now. The error
// wraps fault.Conflict if the order has an outcome.
func (r *reign) latest(ctx context.Context, o *wire.OrderState) (*wire.OrderState, []*wire.OrderState, error) {
	if err := r.cfg.Barrier(ctx); err != nil {
		return nil, nil, err
	}
	orders, err := r.cfg.Orders(ctx)
	if err != nil {
		return nil, nil, err
	}
	i := slices.IndexFunc(orders, func(other *wire.OrderState) bool {
		return other.Order.Target == o.Order.Target && other.Fence == o.Fence
	})
	if i < 0 || orders[i].Outcome != "" {
		return nil, nil, eris.Wrapf(fault.Conflict, "order %s to target %s is over", o.Order.Request, o.Order.Target)
	}
	return orders[i], orders, nil
}

// send posts an order and returns its outcome, or "" if it must be repeated.
func (r *reign) send(ctx context.Context, o *wire.OrderState, t *wire.Target) (outcome, detail string) {
	body, err := json.Marshal(struct {
		Request string `json:"request"`
		Verb    string `json:"verb"`
		Subject string `json:"subject"`
		Fence   uint64 `json:"fence"`
	}{o.Order.Request, o.Order.Verb, o.Order.Subject, o.Fence})
	if err != nil {
		return Refused, err.Error()
	}
	// The commit may have used up the time. A late sending could reach the
	// target after an order of the next leader.
	if ctx.Err() != nil {
		return "", ""
	}
	status, answer, err := r.cfg.Send(ctx, t.Address, body)
	if err == nil {
		outcome, detail = classify(o, status, answer)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == "" {
		r.open[t.Name] = unanswered{o.Fence, time.Now()}
		r.cfg.Logger.Info("Order was not answered.", zap.String("target", t.Name), zap.Uint64("fence", o.Fence), zap.Int("status", status), zap.Error(err))
	}
	return outcome, detail
}

// conclude records an outcome. Without the quorum the next leader sends the
// order again.
func (r *reign) conclude(ctx context.Context, o *wire.OrderState, outcome, detail string) {
	command := &wire.Command{Change: &wire.Command_Conclude{Conclude: &wire.Conclude{
		Target: o.Order.Target, Request: o.Order.Request, Fence: o.Fence, Outcome: outcome, Detail: detail}}}
	for ctx.Err() == nil {
		err := r.propose(ctx, command)
		if err == nil {
			r.cfg.Logger.Info("Order concluded.", zap.String("target", o.Order.Target), zap.Uint64("fence", o.Fence), zap.String("outcome", outcome))
			return
		}
		if k := fault.Of(err); k == fault.Conflict || k == fault.Missing {
			r.cfg.Logger.Info("Order has another outcome.", zap.String("target", o.Order.Target), zap.Uint64("fence", o.Fence), zap.Error(err))
			return
		}
		pause(ctx, firstBackoff)
	}
}

func (r *reign) propose(ctx context.Context, command *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	return r.cfg.Propose(ctx, command)
}
