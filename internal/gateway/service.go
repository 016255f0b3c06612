package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/service"
)

// serviceCall is one call to a plain service.
type serviceCall struct {
	service    service.Service
	repeatable bool
	job        dispatcher.Job
	target     string
	status     int
	media      string
	answer     []byte
}

// service serves calls to plain services.
func (g *Gateway) service(s *session) error {
	if err := g.isOpen(s); err != nil {
		return err
	}
	c, err := g.parseCall(s)
	if err != nil {
		return err
	}
	if !c.repeatable && s.key == "" {
		return eris.Wrap(fault.Malformed, "this call may not be repeated: an Idempotency-Key is required")
	}
	if done, err := g.find(s); done || err != nil {
		return err
	}
	ticket, err := g.cfg.Reserve(s.request.Context(), s.account.Name, c.service.Price)
	if err != nil {
		return err
	}
	g.trace(s, "Tokens reserved.", zap.Int64("tokens", c.service.Price))
	ctx := s.request.Context()
	// Admission comes before the claim: a refused call leaves none behind.
	_, release, err := g.cfg.Admit(ctx, "", c.service.Name, s.account.Name, s.account.Weight, "service")
	if err != nil {
		g.cfg.Cancel(ticket)
		return err
	}
	defer release()
	if !c.repeatable {
		// A claimed call runs to its end, so that its outcome is recorded.
		ctx = context.WithoutCancel(ctx)
		err = g.runClaimed(ctx, s, c)
	} else {
		err = g.send(ctx, c)
	}
	if err != nil {
		g.cfg.Cancel(ticket)
		return err
	}
	return g.settleCall(ctx, s, c, ticket)
}

func (g *Gateway) send(ctx context.Context, c *serviceCall) error {
	target, err := g.cfg.Do(ctx, c.job, func(_ *wire.Target, r *http.Response) (bool, error) {
		answer, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
		if err != nil {
			return false, err
		}
		if len(answer) > maxBody {
			return false, eris.Wrapf(fault.Interrupted, "answer is longer than %d bytes", maxBody)
		}
		c.status, c.media, c.answer = r.StatusCode, r.Header.Get("Content-Type"), answer
		return false, nil
	})
	c.target = target
	return err
}

func (g *Gateway) settleCall(ctx context.Context, s *session, c *serviceCall, ticket uint64) error {
	bill := &wire.Bill{
		Account: s.account.Name, Request: s.identity, Digest: s.digest, Model: c.service.Name, Amount: c.service.Price, Reserved: c.service.Price,
		Time: g.cfg.Now().UnixNano(), Zone: g.cfg.Zone, Target: c.target, Keyed: s.key != "", Media: c.media, Status: int32(c.status),
	}
	if s.key != "" && len(c.answer) <= maxAnswer {
		bill.Answer = c.answer
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	outcome, err := g.cfg.Settle(ctx, ticket, bill)
	if err != nil {
		return err
	}
	g.trace(s, "Bill settled.", zap.Stringer("outcome", outcome), zap.Int64("amount", bill.Amount))
	switch outcome {
	case wire.Outcome_OUTCOME_BILLED, wire.Outcome_OUTCOME_DUPLICATE:
	case wire.Outcome_OUTCOME_CONFLICT:
		return eris.Wrapf(fault.Conflict, "Idempotency-Key %s was used with another request", s.key)
	default:
		return eris.Wrapf(fault.Unsettled, "ledger answered %v", outcome)
	}
	s.outcome.Code = "ok"
	s.outcome.Billed = bill.Amount
	s.Header().Set("Content-Type", c.media)
	s.WriteHeader(c.status)
	_, _ = s.Write(c.answer)
	return nil
}

// parseCall finds the service and whether the call may be repeated, and builds
// the job for it. A call that no pattern of the configuration matches is
// treated as one that may not be repeated.
func (g *Gateway) parseCall(s *session) (*serviceCall, error) {
	vars := mux.Vars(s.request)
	svc, ok := s.config.Service(vars["name"])
	if !ok {
		return nil, eris.Wrapf(fault.Missing, "service %s", vars["name"])
	}
	if !slices.Contains(s.account.Services, svc.Name) {
		return nil, eris.Wrapf(fault.Forbidden, "account %s, service %s", s.account.Name, svc.Name)
	}
	body, err := readBody(s.request)
	if err != nil {
		return nil, err
	}
	c := &serviceCall{service: svc}
	where := "/" + vars["path"]
	for _, call := range svc.Calls {
		if call.Method == s.request.Method && matches(call.Path, where) {
			c.repeatable = call.Repeatable
			break
		}
	}
	if q := s.request.URL.RawQuery; q != "" {
		where += "?" + q
	}
	hash := sha256.New()
	for _, part := range []string{svc.Name, s.request.Method, where} {
		_, _ = io.WriteString(hash, part+"\n")
	}
	_, _ = hash.Write(body)
	s.digest = hash.Sum(nil)
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Idempotency-Key"} {
		if v := s.request.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	c.job = dispatcher.Job{
		ID: s.identity, RequestID: s.identity, Service: svc.Name, Method: s.request.Method, Path: where, Header: header, Body: body,
		Digest: s.digest, Idempotent: c.repeatable, Allowed: g.allowed(s),
	}
	return c, nil
}

// matches tells whether a path matches a pattern, in which each element may
// be a pattern of path.Match.
func matches(pattern, where string) bool {
	ok, err := path.Match(strings.TrimSuffix(pattern, "/"), strings.TrimSuffix(where, "/"))
	return ok && err == nil
}
