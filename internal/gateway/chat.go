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

// completion is a parsed completions request. Body holds all members of the
// JSON object, so that members that the gateway doesn't know reach the engine.
type completion struct {
	body     map[string]json.RawMessage
	model    string
	messages int
	limit    int64
	stream   bool
	prompt   int64 // bound, in tokens
	class    string
	estimate estimator.Estimator
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(s *session) error {
	if err := g.isOpen(s); err != nil {
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
	s.outcome.Class = c.class
	sum := sha256.Sum256(raw)
	s.digest = sum[:]
	if done, err := g.find(s); done || err != nil {
		return err
	}
	ticket, err := g.reserve(s, c)
	if err != nil {
		return err
	}
	g.trace(s, "Tokens reserved.", zap.Int64("tokens", c.bound()))
	return g.run(s, c, ticket)
}

// run admits, sends and settles a completion whose tokens are reserved.
func (g *Gateway) run(s *session, c *completion, ticket uint64) error {
	settled := false
	defer func() {
		if !settled {
			g.cfg.Cancel(ticket)
		}
	}()
	ctx := s.request.Context()
	if s.key != "" {
		// The answer is kept for the retry even if the caller goes away.
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
	relay := &relay{gateway: g, session: s, completion: c, reserved: ticket, begun: started}
	job := dispatcher.Job{
		ID: s.identity, RequestID: s.identity, Model: c.model, Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Digest: s.digest, Idempotent: true,
		Allowed: g.allowed(s), Prompt: hasher.Text(c.body["messages"], c.body["tools"]),
	}
	if c.stream {
		job.Progress = func() int { return int(relay.output) }
	}
	if s.key != "" {
		// Two attempts with one key may run at the same time, and accounts may
		// choose the same key.
		job.ID = newIdentity()
	}
	target, err := g.cfg.Do(ctx, job, relay.consume)
	if err != nil {
		if bill := relay.abandoned(); bill != nil {
			settled = true
			_, _ = g.cfg.Settle(context.WithoutCancel(ctx), ticket, bill)
		}
		return err
	}
	settled = true
	return relay.finish(ctx, target)
}

// reserve reserves the bound of the cost. If the cheap bound doesn't fit the
// rights of the account, it asks a target for the exact prompt length.
func (g *Gateway) reserve(s *session, c *completion) (uint64, error) {
	ctx := s.request.Context()
	ticket, err := g.cfg.Reserve(ctx, s.account.Name, c.bound())
	if err == nil || fault.Of(err) != fault.Exhausted {
		return ticket, err
	}
	exact, ok := g.tokenize(ctx, c)
	if !ok || exact >= c.prompt {
		return 0, err
	}
	c.prompt = exact
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
		err = json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && answer.Count > 0 {
			return answer.Count, true
		}
	}
	return 0, false
}

// find looks up the identity of a keyed request in the ledger and answers it
// if it has been settled. It goes on if the ledger doesn't answer in time.
func (g *Gateway) find(s *session) (done bool, err error) {
	if s.key == "" {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(s.request.Context(), findTimeout)
	defer cancel()
	reply, err := g.cfg.Find(ctx, &wire.FindRequest{Account: s.account.Name, Request: s.identity, Digest: s.digest})
	switch {
	case err != nil || reply.Fault != nil:
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

// allowed returns the test whether the account may use a target. An account
// that lists no groups may use all targets that serve its models and services.
func (g *Gateway) allowed(s *session) func(string) bool {
	return func(target string) bool {
		group, ok := s.config.Group(target)
		if !ok {
			return false
		}
		return len(s.account.Groups) == 0 || slices.Contains(s.account.Groups, group.Name)
	}
}

func parseCompletion(s *session, raw []byte) (*completion, error) {
	c := &completion{class: "json"}
	if err := json.Unmarshal(raw, &c.body); err != nil {
		return nil, eris.Wrapf(fault.Malformed, "body: %v", err)
	}
	var known struct {
		Model               string            `json:"model"`
		Messages            []json.RawMessage `json:"messages"`
		MaxTokens           int64             `json:"max_tokens"`
		MaxCompletionTokens int64             `json:"max_completion_tokens"`
		Stream              bool              `json:"stream"`
		N                   int64             `json:"n"`
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return nil, eris.Wrapf(fault.Malformed, "body: %v", err)
	}
	switch {
	case known.Model == "":
		return nil, eris.Wrap(fault.Malformed, "body: model is missing")
	case len(known.Messages) == 0:
		return nil, eris.Wrap(fault.Malformed, "body: messages is missing")
	case known.MaxTokens < 0 || known.MaxCompletionTokens < 0:
		return nil, eris.Wrap(fault.Malformed, "body: max_tokens is negative")
	case known.N > 1:
		return nil, eris.Wrap(fault.Malformed, "body: n is greater than 1")
	}
	model, ok := s.config.Model(known.Model)
	if !ok {
		return nil, eris.Wrapf(fault.Missing, "model %s", known.Model)
	}
	if !slices.Contains(s.account.Models, known.Model) {
		return nil, eris.Wrapf(fault.Forbidden, "account %s, model %s", s.account.Name, known.Model)
	}
	c.model, c.messages, c.stream = known.Model, len(known.Messages), known.Stream
	c.estimate = estimator.Estimator{DefaultOutput: model.Output, ContextLength: model.Context}
	c.limit = c.estimate.OutputLimit(max(known.MaxTokens, known.MaxCompletionTokens))
	c.prompt = c.estimate.PromptBound(len(c.body["messages"])+len(c.body["tools"]), c.messages)
	if c.stream {
		c.class = "stream"
	}
	if class := strings.ToLower(s.request.Header.Get("X-Class")); isClass(class) {
		c.class = class
	}
	return c, nil
}

func (c *completion) bound() int64 { return c.estimate.TotalBound(c.prompt, c.limit) }

// encode returns the body for the engine: the limit is always set and a
// stream always ends with its usage.
func (c *completion) encode() ([]byte, error) {
	delete(c.body, "max_completion_tokens")
	c.body["max_tokens"], _ = json.Marshal(c.limit)
	if c.stream {
		c.body["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if p, ok := priorities[c.class]; ok {
		c.body["priority"], _ = json.Marshal(p)
	}
	body, err := json.Marshal(c.body)
	return body, eris.Wrap(err, "encode request")
}

// priorities are sent to the engine; a lower number runs first. Interactive
// classes go before long drafts, so that a quote doesn't hold up chats.
var priorities = map[string]int{"chat": 0, "tag": 0, "stream": 1, "json": 1, "quote": 2, "sheet": 2}

func isClass(class string) bool {
	_, ok := priorities[class]
	return ok
}

func readBody(r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "body: %v", err)
	}
	if len(raw) > maxBody {
		return nil, eris.Wrapf(fault.Malformed, "body is longer than %d bytes", maxBody)
	}
	return raw, nil
}
