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
	// claimTimeout bounds a claim. A claim committed later is void, so that one
	// delayed by a partition doesn't block the retry.
	claimTimeout = 3 * time.Second
	// voidInterval is the delay between attempts to void a claim that may have
	// been committed, voidTimeout bounds them.
	voidInterval = time.Second
	voidTimeout  = 10 * time.Minute
)

// runAtMostOnce commits a claim, sends the call, and commits its outcome.
func (g *Gateway) runAtMostOnce(ctx context.Context, s *requestState, c *serviceCall) error {
	self := g.cfg.Self()
	claim := &wire.Claim{
		Account: s.account.Name, Request: s.requestID, Digest: s.digest, Service: c.service.Name,
		Instance: self.Instance, Incarnation: self.Incarnation, Attempt: newAttemptID(),
	}
	resolve := &wire.Resolve{Account: claim.Account, Request: claim.Request, Instance: claim.Instance, Incarnation: claim.Incarnation, Attempt: claim.Attempt}
	result, err := g.claim(ctx, claim)
	g.trace(s, "claim proposed", zap.Bool("granted", result.GetGranted()), zap.Error(err))
	switch {
	case err != nil:
		g.voidClaim(resolve)
		return err
	case result.Conflict:
		return eris.Wrapf(fault.Conflict, "Idempotency-Key %s was used with another request", s.key)
	case result.Resolved && result.Outcome.GetRan():
		return c.useOutcome(result.Outcome)
	case !result.Granted:
		return eris.Wrapf(fault.Uncertain, "an earlier attempt on instance %s has no outcome yet; see GET /v1/requests/%s", result.Instance, s.key)
	}
	if err := g.send(ctx, c); err != nil {
		if fault.Of(err).Ran() == "no" && !g.resolve(ctx, resolve) {
			g.voidClaim(resolve)
		}
		return err
	}
	resolve.Ran, resolve.Status, resolve.Media = true, int32(c.status), c.media
	if len(c.body) <= maxStoredResponse {
		resolve.Answer = c.body
	}
	if !g.resolve(ctx, resolve) {
		g.cfg.Logger.Warn("claim outcome not recorded; claim remains unresolved", zap.String("request", s.requestID))
	}
	return nil
}

// useOutcome sets the response to the recorded outcome of an earlier attempt.
func (c *serviceCall) useOutcome(o *wire.Resolve) error {
	if len(o.Answer) == 0 && o.Media != "" {
		return eris.Wrapf(fault.Answered, "Idempotency-Key %s", o.Request)
	}
	c.status, c.media, c.body = int(o.Status), o.Media, o.Answer
	return nil
}

// claim commits a claim. If it is unknown whether the commit succeeded, the call
// is refused as not run, since nothing has been sent.
func (g *Gateway) claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if r := g.unresolvedClaim(c.Account, c.Request); r != nil && g.resolve(ctx, r) {
		g.removeUnresolved(r)
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

// voidClaim voids a claim that may have been committed although the call was not
// sent. Until that succeeds, a retry is told that the call may have run.
func (g *Gateway) voidClaim(r *wire.Resolve) {
	g.mu.Lock()
	g.unresolved[r.Account+"/"+r.Request] = r
	g.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), voidTimeout)
		defer cancel()
		defer g.removeUnresolved(r)
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(voidInterval):
			}
			if g.unresolvedClaim(r.Account, r.Request) != r || g.resolve(ctx, r) {
				return
			}
		}
	}()
}

func (g *Gateway) unresolvedClaim(account, request string) *wire.Resolve {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unresolved[account+"/"+request]
}

func (g *Gateway) removeUnresolved(r *wire.Resolve) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unresolved[r.Account+"/"+r.Request] == r {
		delete(g.unresolved, r.Account+"/"+r.Request)
	}
}

func newAttemptID() uint64 {
	var b [8]byte
	randomBytes(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}
