package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/estimator"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/hasher"
	"github.com/papayapond/papayapond/internal/wire"
)

// completion is a parsed completions request. The body keeps all members of the
// JSON object, so that those unknown to the gateway reach the engine.
type completion struct {
	body        map[string]json.RawMessage
	model       string
	messages    int
	maxTokens   int64
	stream      bool
	promptBound int64 // in tokens
	class       string
	estimate    estimator.Estimator
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(s *requestState) error {
	if err := g.checkOpen(s); err != nil {
		return err
	}
	raw, err := readBody(s.request)
	if err != nil {
		return err
	}
	c, err := parseCompletion(s, raw)
	if err != nil {
		return err
	}
	s.metrics.Class = c.class
	sum := sha256.Sum256(raw)
	s.digest = sum[:]
	if done, err := g.replaySettled(s); done || err != nil {
		return err
	}
	reservation, err := g.reserve(s, c)
	if err != nil {
		return err
	}
	g.trace(s, "tokens reserved", zap.Int64("tokens", c.bound()))
	return g.run(s, c, reservation)
}

// run admits, sends and settles a completion whose tokens are reserved.
func (g *Gateway) run(s *requestState, c *completion, reservation uint64) error {
	settled := false
	defer func() {
		if !settled {
			g.cfg.Cancel(reservation)
		}
	}()
	ctx := s.request.Context()
	if s.key != "" {
		// The response is stored for a retry even if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	started, release, err := g.cfg.Admit(ctx, c.model, "", s.account.Name, s.account.Weight, c.class)
	if err != nil {
		return err
	}
	defer release()
	body, err := c.encode()
	if err != nil {
		return err
	}
	relay := &relay{gateway: g, state: s, completion: c, reservation: reservation, onFirstToken: started}
	job := dispatcher.Job{
		ID: s.requestID, RequestID: s.requestID, Model: c.model, Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Digest: s.digest, Idempotent: true,
		Allowed: g.allowed(s), Prompt: hasher.Text(c.body["messages"], c.body["tools"]),
	}
	if c.stream {
		job.Progress = func() int { return int(relay.contentEvents) }
	}
	if s.key != "" {
		// Requests with the same key may run concurrently, and accounts may choose
		// the same key.
		job.ID = newRequestID()
	}
	target, err := g.cfg.Do(ctx, job, relay.consume)
	if err != nil {
		if bill := relay.abandonedBill(); bill != nil {
			settled = true
			_, _ = g.cfg.Settle(context.WithoutCancel(ctx), reservation, bill)
		}
		return err
	}
	settled = true
	return relay.finish(ctx, target)
}

// reserve reserves the upper bound of the cost. If the cheap bound exceeds the
// quota of the account, it asks a target for the exact prompt length.
func (g *Gateway) reserve(s *requestState, c *completion) (uint64, error) {
	ctx := s.request.Context()
	reservation, err := g.cfg.Reserve(ctx, s.account.Name, c.bound())
	if err == nil || fault.Of(err) != fault.Exhausted {
		return reservation, err
	}
	exact, ok := g.tokenize(ctx, c)
	if !ok || exact >= c.promptBound {
		return 0, err
	}
	c.promptBound = exact
	return g.cfg.Reserve(ctx, s.account.Name, c.bound())
}

// tokenize asks a target that serves the model for the exact prompt length.
func (g *Gateway) tokenize(ctx context.Context, c *completion) (int64, bool) {
	body, err := c.encode()
	if err != nil {
		return 0, false
	}
	for _, t := range g.cfg.ReadyTargets("", c.model, "") {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+"/tokenize", bytes.NewReader(body))
		if err != nil {
			return 0, false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := g.client.Do(request)
		if err != nil {
			continue
		}
		var answer struct {
			Count int64 `json:"count"`
		}
		err = json.NewDecoder(io.LimitReader(response.Body, maxBodySize)).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && answer.Count > 0 {
			return answer.Count, true
		}
	}
	return 0, false
}

// replaySettled looks up a request with a key in the ledger and replays its
// response if it has been settled. It is not done if the ledger doesn't respond
// in time.
func (g *Gateway) replaySettled(s *requestState) (done bool, err error) {
	if s.key == "" {
		return false, nil
	}
	reply, err := g.find(s.request.Context(), s)
	switch {
	case err != nil:
		g.cfg.Logger.Info("identity not looked up, a retry runs again", zap.String("request", s.requestID), zap.String("account", s.account.Name), zap.Error(err))
		return false, nil
	case reply.Conflict:
		return false, eris.Wrapf(fault.Conflict, "Idempotency-Key %s was used with another request", s.key)
	case !reply.Known:
		return false, nil
	case len(reply.Bill.GetAnswer()) == 0:
		return false, eris.Wrapf(fault.Answered, "Idempotency-Key %s", s.key)
	}
	g.replay(s, reply.Bill)
	return true, nil
}

// replayDuplicate replays the response of the attempt that was billed, after the
// same request has run again since the lookup had missed it. It reports false if that
// response isn't available.
func (g *Gateway) replayDuplicate(ctx context.Context, s *requestState) bool {
	if s.key == "" {
		return false
	}
	reply, err := g.find(ctx, s)
	if err != nil || !reply.Known || reply.Conflict || len(reply.Bill.GetAnswer()) == 0 {
		return false
	}
	g.replay(s, reply.Bill)
	return true
}

// find looks up the identity of a request in the ledger.
func (g *Gateway) find(ctx context.Context, s *requestState) (*wire.FindReply, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	reply, err := g.cfg.Find(ctx, &wire.FindRequest{Account: s.account.Name, Request: s.requestID, Digest: s.digest})
	if err != nil {
		return nil, err
	}
	return reply, reply.Fault.Err()
}

// allowed returns a function that reports whether the account may use a target.
// An account without groups may use all targets that serve its models and
// services.
func (g *Gateway) allowed(s *requestState) func(string) bool {
	return func(target string) bool {
		group, ok := s.config.Group(target)
		if !ok {
			return false
		}
		return len(s.account.Groups) == 0 || slices.Contains(s.account.Groups, group.Name)
	}
}

func parseCompletion(s *requestState, raw []byte) (*completion, error) {
	c := &completion{class: "json"}
	if err := json.Unmarshal(raw, &c.body); err != nil {
		return nil, eris.Wrapf(fault.Malformed, "body: %v", err)
	}
	var params struct {
		Model               string            `json:"model"`
		Messages            []json.RawMessage `json:"messages"`
		MaxTokens           int64             `json:"max_tokens"`
		MaxCompletionTokens int64             `json:"max_completion_tokens"`
		Stream              bool              `json:"stream"`
		N                   int64             `json:"n"`
	}
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, eris.Wrapf(fault.Malformed, "body: %v", err)
	}
	switch {
	case params.Model == "":
		return nil, eris.Wrap(fault.Malformed, "body: model is missing")
	case len(params.Messages) == 0:
		return nil, eris.Wrap(fault.Malformed, "body: messages is missing")
	case params.MaxTokens < 0 || params.MaxCompletionTokens < 0:
		return nil, eris.Wrap(fault.Malformed, "body: max_tokens is negative")
	case params.N > 1:
		return nil, eris.Wrap(fault.Malformed, "body: n is greater than 1")
	}
	model, ok := s.config.Model(params.Model)
	if !ok {
		return nil, eris.Wrapf(fault.Missing, "model %s", params.Model)
	}
	if !slices.Contains(s.account.Models, params.Model) {
		return nil, eris.Wrapf(fault.Forbidden, "account %s, model %s", s.account.Name, params.Model)
	}
	c.model, c.messages, c.stream = params.Model, len(params.Messages), params.Stream
	c.estimate = estimator.Estimator{DefaultOutput: model.Output, ContextLength: model.Context}
	c.maxTokens = c.estimate.OutputLimit(max(params.MaxTokens, params.MaxCompletionTokens))
	c.promptBound = c.estimate.PromptBound(len(c.body["messages"])+len(c.body["tools"]), c.messages)
	if c.stream {
		c.class = "stream"
	}
	if class := strings.ToLower(s.request.Header.Get("X-Class")); isClass(class) {
		c.class = class
	}
	return c, nil
}

func (c *completion) bound() int64 { return c.estimate.TotalBound(c.promptBound, c.maxTokens) }

// encode returns the body for the engine. It always sets max_tokens and asks for
// the usage at the end of a stream.
func (c *completion) encode() ([]byte, error) {
	delete(c.body, "max_completion_tokens")
	c.body["max_tokens"], _ = json.Marshal(c.maxTokens)
	if c.stream {
		c.body["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if p, ok := priorities[c.class]; ok {
		c.body["priority"], _ = json.Marshal(p)
	}
	body, err := json.Marshal(c.body)
	return body, eris.Wrap(err, "encode request")
}

// priorities are the priorities sent to the engine; lower values run first.
// Interactive classes precede long drafts, so that a quote doesn't delay chats.
var priorities = map[string]int{"chat": 0, "tag": 0, "stream": 1, "json": 1, "quote": 2, "sheet": 2}

func isClass(class string) bool {
	_, ok := priorities[class]
	return ok
}

func readBody(r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize+1))
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "body: %v", err)
	}
	if len(raw) > maxBodySize {
		return nil, eris.Wrapf(fault.Malformed, "body is longer than %d bytes", maxBodySize)
	}
	return raw, nil
}
