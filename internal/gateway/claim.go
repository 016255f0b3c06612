package gateway

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// claimTimeout bounds a claim. A claim that is committed later is void, so
	// that one that was held up in a partition doesn't block the retry.
	claimTimeout = 3 * time.Second
	// abandonInterval and abandonTime are the pause and the bound of the
	// attempts to void a claim whose commit is unknown.
	abandonInterval = time.Second
	abandonTime     = 10 * time.Minute
)

// runClaimed runs a call that may run at most once: it commits a claim, sends
// the call, and commits the outcome.
func (g *Gateway) runClaimed(ctx context.Context, s *session, c *serviceCall) error {
	holding := g.cfg.Self()
	claim := &wire.Claim{
		Account: s.account.Name, Request: s.identity, Digest: s.digest, Service: c.service.Name,
		Instance: holding.Instance, Incarnation: holding.Incarnation, Attempt: newAttempt(),
	}
	resolve := &wire.Resolve{Account: claim.Account, Request: claim.Request, Instance: claim.Instance, Incarnation: claim.Incarnation, Attempt: claim.Attempt}
	result, err := g.claim(ctx, claim)
	g.trace(s, "Claim proposed.", zap.Bool("granted", result.GetGranted()), zap.Error(err))
	switch {
	case err != nil:
		g.abandon(resolve)
		return err
	case result.Conflict:
		return eris.Wrapf(fault.Conflict, "Idempotency-Key %s was used with another request", s.key)
	case result.Resolved && result.Outcome.GetRan():
		return c.replay(result.Outcome)
	case !result.Granted:
		return eris.Wrapf(fault.Uncertain, "an earlier attempt on instance %s has no outcome yet; ask GET /v1/requests/%s", result.Instance, s.key)
	}
	if err := g.send(ctx, c); err != nil {
		if fault.Of(err).Ran() == "no" && !g.resolve(ctx, resolve) {
			g.abandon(resolve)
		}
		return err
	}
	resolve.Ran, resolve.Status, resolve.Media = true, int32(c.status), c.media
	if len(c.answer) <= maxAnswer {
		resolve.Answer = c.answer
	}
	if !g.resolve(ctx, resolve) {
		g.cfg.Logger.Warn("Outcome of a claim is not recorded. It stays open.", zap.String("request", s.identity))
	}
	return nil
}

// replay takes the recorded outcome of an earlier attempt.
func (c *serviceCall) replay(o *wire.Resolve) error {
	if len(o.Answer) == 0 && o.Media != "" {
		return eris.Wrapf(fault.Answered, "Idempotency-Key %s", o.Request)
	}
	c.status, c.media, c.answer = int(o.Status), o.Media, o.Answer
	return nil
}

// claim commits a claim. If its outcome is unknown, the call is refused as not
// run, since nothing has been sent.
func (g *Gateway) claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if r := g.abandonedClaim(c.Account, c.Request); r != nil && g.resolve(ctx, r) {
		g.forget(r)
	}
	c.Deadline = g.cfg.Now().Add(claimTimeout).UnixNano()
	reply, err := g.cfg.Propose(ctx, &wire.Command{Change: &wire.Command_Claim{Claim: c}})
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		return nil, eris.Wrapf(fault.Isolated, "claim: %v", err)
	}
	var result wire.ClaimResult
	if err := proto.Unmarshal(reply.Result, &result); err != nil {
		return nil, eris.Wrapf(fault.Isolated, "claim: %v", err)
	}
	return &result, nil
}

// resolve commits the outcome of a claim and reports whether it is recorded.
func (g *Gateway) resolve(ctx context.Context, r *wire.Resolve) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := g.cfg.Propose(ctx, &wire.Command{Change: &wire.Command_Resolve{Resolve: r}})
	return err == nil && reply.Fault == nil
}

// abandon voids a claim that may have been committed although nothing was
// sent under it. Until that succeeds a retry is told that it may have run.
func (g *Gateway) abandon(r *wire.Resolve) {
	g.mu.Lock()
	g.abandoned[r.Account+"/"+r.Request] = r
	g.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTime)
		defer cancel()
		defer g.forget(r)
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(abandonInterval):
			}
			if g.abandonedClaim(r.Account, r.Request) != r || g.resolve(ctx, r) {
				return
			}
		}
	}()
}

func (g *Gateway) abandonedClaim(account, request string) *wire.Resolve {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.abandoned[account+"/"+request]
}

func (g *Gateway) forget(r *wire.Resolve) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abandoned[r.Account+"/"+r.Request] == r {
		delete(g.abandoned, r.Account+"/"+r.Request)
	}
}

func newAttempt() uint64 {
	var b [8]byte
	randomBytes(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}
