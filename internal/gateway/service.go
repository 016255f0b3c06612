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
	idempotent bool
	job        dispatcher.Job
	target     string
	status     int
	media      string
	body       []byte
}

// service serves calls to plain services.
func (g *Gateway) service(s *requestState) error {
	if err := g.checkOpen(s); err != nil {
		return err
	}
	c, err := g.parseCall(s)
	if err != nil {
		return err
	}
	if !c.idempotent && s.key == "" {
		return eris.Wrap(fault.Malformed, "this call is not idempotent: an Idempotency-Key is required")
	}
	if done, err := g.replaySettled(s); done || err != nil {
		return err
	}
	reservation, err := g.cfg.Reserve(s.request.Context(), s.account.Name, c.service.Price)
	if err != nil {
		return err
	}
	g.trace(s, "tokens reserved", zap.Int64("tokens", c.service.Price))
	ctx := s.request.Context()
	// Admission precedes the claim, so that a refused call leaves none behind.
	_, release, err := g.cfg.Admit(ctx, "", c.service.Name, s.account.Name, s.account.Weight, "service")
	if err != nil {
		g.cfg.Cancel(reservation)
		return err
	}
	defer release()
	if !c.idempotent {
		// A claimed call runs to completion, so that its outcome is recorded.
		ctx = context.WithoutCancel(ctx)
		err = g.runAtMostOnce(ctx, s, c)
	} else {
		err = g.send(ctx, c)
	}
	if err != nil {
		g.cfg.Cancel(reservation)
		return err
	}
	return g.settleCall(ctx, s, c, reservation)
}

func (g *Gateway) send(ctx context.Context, c *serviceCall) error {
	target, err := g.cfg.Do(ctx, c.job, func(_ *wire.Target, r *http.Response) (bool, error) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize+1))
		if err != nil {
			return false, err
		}
		if len(body) > maxBodySize {
			return false, eris.Wrapf(fault.Interrupted, "response is longer than %d bytes", maxBodySize)
		}
		c.status, c.media, c.body = r.StatusCode, r.Header.Get("Content-Type"), body
		return false, nil
	})
	c.target = target
	return err
}

func (g *Gateway) settleCall(ctx context.Context, s *requestState, c *serviceCall, reservation uint64) error {
	bill := &wire.Bill{
		Account: s.account.Name, Request: s.requestID, Digest: s.digest, Model: c.service.Name, Amount: c.service.Price, Reserved: c.service.Price,
		Time: g.cfg.Now().UnixNano(), Zone: g.cfg.Zone, Target: c.target, Keyed: s.key != "", Media: c.media, Status: int32(c.status),
	}
	if s.key != "" && len(c.body) <= maxStoredResponse {
		bill.Answer = c.body
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	outcome, err := g.cfg.Settle(ctx, reservation, bill)
	if err != nil {
		return err
	}
	g.trace(s, "bill settled", zap.Stringer("outcome", outcome), zap.Int64("amount", bill.Amount))
	switch outcome {
	case wire.Outcome_OUTCOME_BILLED:
		s.metrics.Billed = bill.Amount
	case wire.Outcome_OUTCOME_DUPLICATE:
		if c.idempotent && g.replayDuplicate(ctx, s) {
			return nil
		}
	case wire.Outcome_OUTCOME_CONFLICT:
		return eris.Wrapf(fault.Conflict, "Idempotency-Key %s was used with another request", s.key)
	default:
		return eris.Wrapf(fault.Unsettled, "settle bill: ledger returned outcome %v", outcome)
	}
	s.metrics.Code = "ok"
	s.Header().Set("Content-Type", c.media)
	s.WriteHeader(c.status)
	_, _ = s.Write(c.body)
	return nil
}

// parseCall looks up the service, determines whether the call is idempotent, and
// builds its job. A call that matches no pattern of the configuration is treated
// as not idempotent.
func (g *Gateway) parseCall(s *requestState) (*serviceCall, error) {
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
	requestPath := "/" + vars["path"]
	for _, call := range svc.Calls {
		if call.Method == s.request.Method && matchPath(call.Path, requestPath) {
			c.idempotent = call.Repeatable
			break
		}
	}
	if q := s.request.URL.RawQuery; q != "" {
		requestPath += "?" + q
	}
	hash := sha256.New()
	for _, part := range []string{svc.Name, s.request.Method, requestPath} {
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
		ID: s.requestID, RequestID: s.requestID, Service: svc.Name, Method: s.request.Method, Path: requestPath, Header: header, Body: body,
		Digest: s.digest, Idempotent: c.idempotent, Allowed: g.allowed(s),
	}
	return c, nil
}

// matchPath reports whether a path matches a pattern, in which each element may
// be a pattern of path.Match.
func matchPath(pattern, requestPath string) bool {
	ok, err := path.Match(strings.TrimSuffix(pattern, "/"), strings.TrimSuffix(requestPath, "/"))
	return ok && err == nil
}
