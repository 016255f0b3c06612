package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// swapWait is how long the fault "swap" waits for a second request.
const swapWait = time.Second

// answer relays a run to one caller.
type answer struct {
	e        *Engine
	w        http.ResponseWriter
	ctx      context.Context
	n        *run
	created  int64
	resetAt  int // tokens after which a fault cuts the answer; -1 is never
	cutAt    int
	buffered []byte
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, n *run, prompt string) *answer {
	a := &answer{e: e, w: w, ctx: r.Context(), n: n, created: e.cfg.Now().Unix(), resetAt: -1, cutAt: -1}
	if at, ok := e.faults.Hit("reset-after", prompt); ok {
		a.resetAt = max(int(at), 1)
	}
	if at, ok := e.faults.Hit("truncate", prompt); ok {
		a.cutAt = max(int(at), 1)
	}
	e.attach(n)
	return a
}

// wait returns the number of tokens once it exceeds sent or the run ends.
func (a *answer) wait(sent int) (done int, s state, err error) {
	for {
		a.e.mu.Lock()
		done, s = a.n.done, a.n.state
		changed := a.n.changed
		a.e.mu.Unlock()
		if done > sent || s != active {
			return done, s, nil
		}
		select {
		case <-changed:
		case <-a.ctx.Done():
			return done, s, a.ctx.Err()
		}
	}
}

// stream writes server-sent events from the given token on. The last event
// before [DONE] has the usage. A cancelled run ends with an error event.
func (a *answer) stream(from int) {
	defer a.e.detach(a.n, a.e.cfg.Linger)
	for sent := from; ; {
		done, s, err := a.wait(sent)
		if err != nil {
			return
		}
		a.w.Header().Set("Content-Type", "text/event-stream")
		for ; sent < done; sent++ {
			if sent == a.cutAt || sent == a.resetAt {
				a.cut(sent)
				return
			}
			a.event(a.chunk(sent))
		}
		switch {
		case s == finished && sent == a.n.answer.Size():
			a.event(a.usageChunk())
			a.buffered = append(a.buffered, "data: [DONE]\n\n"...)
			_ = a.flush() // the caller may be gone
			return
		case s == cancelled:
			a.event([]byte(`{"error":{"code":"cancelled","type":"cancelled","message":"the run was cancelled"}}`))
			_ = a.flush() // the caller may be gone
			return
		}
		if a.flush() != nil {
			return
		}
	}
}

// cut ends a stream before its end: with a reset, or as if it were complete.
func (a *answer) cut(at int) {
	_ = a.flush() // the answer is broken in any case
	if at == a.resetAt {
		reset(a.w)
	}
}

// whole writes the answer as one JSON object.
func (a *answer) whole() {
	defer a.e.detach(a.n, 0)
	for sent := 0; ; {
		done, s, err := a.wait(sent)
		if err != nil {
			return
		}
		sent = done
		if s == cancelled {
			refuse(a.w, http.StatusConflict, "cancelled", "the run was cancelled")
			return
		}
		if s == finished {
			break
		}
	}
	body, err := json.Marshal(map[string]any{
		"id": "chatcmpl-" + a.n.id, "object": "chat.completion", "created": a.created,
		"model": a.n.model, "request": a.n.id, "usage": a.usage(),
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": a.reason(),
			"message": map[string]string{"role": "assistant", "content": a.n.answer.Text()},
		}},
	})
	if err != nil {
		refuse(a.w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if a.cutAt >= 0 || a.resetAt >= 0 {
		_, _ = a.w.Write(body[:len(body)/2]) // cut on purpose
		_ = http.NewResponseController(a.w).Flush()
		if a.resetAt >= 0 {
			reset(a.w)
			return
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(body) // the caller may be gone
}

// chunk returns the event with the i-th token.
func (a *answer) chunk(i int) []byte {
	type delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	type choice struct {
		Index  int     `json:"index"`
		Delta  delta   `json:"delta"`
		Finish *string `json:"finish_reason"`
	}
	c := choice{Delta: delta{Content: a.n.answer.Piece(i)}}
	if i == 0 {
		c.Delta.Role = "assistant"
	}
	if i == a.n.answer.Size()-1 {
		reason := a.reason()
		c.Finish = &reason
	}
	return a.encode([]choice{c}, nil)
}

func (a *answer) usageChunk() []byte { return a.encode([]struct{}{}, a.usage()) }

func (a *answer) encode(choices, usage any) []byte {
	text, err := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
		Request string `json:"request"`
		Choices any    `json:"choices"`
		Usage   any    `json:"usage,omitempty"`
	}{"chatcmpl-" + a.n.id, "chat.completion.chunk", a.created, a.n.model, a.n.id, choices, usage})
	if err != nil {
		panic(err) // all fields are plain strings and numbers
	}
	return text
}

func (a *answer) usage() any {
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	return map[string]any{
		"prompt_tokens": a.n.prompt, "completion_tokens": a.n.done, "total_tokens": a.n.prompt + a.n.done,
		"prompt_tokens_details": map[string]int{"cached_tokens": a.n.cached},
	}
}

func (a *answer) reason() string {
	if a.n.answer.Size() < a.n.limit {
		return "stop"
	}
	return "length"
}

func (a *answer) event(data []byte) {
	a.buffered = append(append(append(a.buffered, "data: "...), data...), "\n\n"...)
}

func (a *answer) flush() error {
	_, err := a.w.Write(a.buffered)
	a.buffered = a.buffered[:0]
	if err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// partner is a request that waits for another one to swap answers with.
type partner struct {
	n    *run
	took chan *run
}

// exchange returns the run of another request that is swapped at the same
// time, so that both answers go to the wrong caller. Without another request
// it returns the run itself.
func (e *Engine) exchange(ctx context.Context, n *run) *run {
	e.mu.Lock()
	if p := e.swap; p != nil {
		e.swap = nil
		e.mu.Unlock()
		p.took <- n
		return p.n
	}
	p := &partner{n, make(chan *run, 1)}
	e.swap = p
	e.mu.Unlock()
	select {
	case other := <-p.took:
		return other
	case <-time.After(swapWait):
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swap == p {
		e.swap = nil
		return n
	}
	return <-p.took
}
