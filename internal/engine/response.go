package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// swapTimeout bounds how long the fault "swap" waits for a second request.
const swapTimeout = time.Second

// response writes the output of a run to one caller.
type response struct {
	e          *Engine
	w          http.ResponseWriter
	ctx        context.Context
	run        *run
	created    int64
	resetAt    int // tokens after which a fault resets the connection; -1 is never
	truncateAt int
	buffered   []byte
}

func (e *Engine) newResponse(w http.ResponseWriter, r *http.Request, n *run, prompt string) *response {
	resp := &response{e: e, w: w, ctx: r.Context(), run: n, created: e.cfg.Now().Unix(), resetAt: -1, truncateAt: -1}
	if at, ok := e.faults.Hit("reset-after", prompt); ok {
		resp.resetAt = max(int(at), 1)
	}
	if at, ok := e.faults.Hit("truncate", prompt); ok {
		resp.truncateAt = max(int(at), 1)
	}
	e.addReader(n)
	return resp
}

// wait blocks until the run has more than sent tokens or has ended, and returns
// their number and the state of the run.
func (r *response) wait(sent int) (done int, s state, err error) {
	for {
		r.e.mu.Lock()
		done, s = r.run.output, r.run.state
		changed := r.run.changed
		r.e.mu.Unlock()
		if done > sent || s != active {
			return done, s, nil
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return done, s, r.ctx.Err()
		}
	}
}

// writeStream writes server-sent events starting at the given token. The last
// event before [DONE] contains the usage. A cancelled run ends with an error
// event.
func (r *response) writeStream(from int) {
	defer r.e.removeReader(r.run, r.e.cfg.Linger)
	for sent := from; ; {
		done, s, err := r.wait(sent)
		if err != nil {
			return
		}
		r.w.Header().Set("Content-Type", "text/event-stream")
		for ; sent < done; sent++ {
			if sent == r.truncateAt || sent == r.resetAt {
				r.truncate(sent)
				return
			}
			r.appendEvent(r.chunk(sent))
		}
		switch {
		case s == finished && sent == r.run.completion.Size():
			r.appendEvent(r.usageChunk())
			r.buffered = append(r.buffered, "data: [DONE]\n\n"...)
			_ = r.flush() // the caller may have disconnected
			return
		case s == cancelled:
			r.appendEvent([]byte(`{"error":{"code":"cancelled","type":"cancelled","message":"the run was cancelled"}}`))
			_ = r.flush() // the caller may have disconnected
			return
		}
		if r.flush() != nil {
			return
		}
	}
}

// truncate ends a stream early: with a TCP RST, or as if it were complete.
func (r *response) truncate(at int) {
	_ = r.flush() // the response is broken regardless
	if at == r.resetAt {
		resetConnection(r.w)
	}
}

// writeWhole waits for the end of the run and writes a single JSON object.
func (r *response) writeWhole() {
	defer r.e.removeReader(r.run, 0)
	for sent := 0; ; {
		done, s, err := r.wait(sent)
		if err != nil {
			return
		}
		sent = done
		if s == cancelled {
			replyError(r.w, http.StatusConflict, "cancelled", "the run was cancelled")
			return
		}
		if s == finished {
			break
		}
	}
	body, err := json.Marshal(map[string]any{
		"id": "chatcmpl-" + r.run.id, "object": "chat.completion", "created": r.created,
		"model": r.run.model, "request": r.run.id, "usage": r.usage(),
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": r.finishReason(),
			"message": map[string]string{"role": "assistant", "content": r.run.completion.Text()},
		}},
	})
	if err != nil {
		replyError(r.w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.truncateAt >= 0 || r.resetAt >= 0 {
		_, _ = r.w.Write(body[:len(body)/2]) // truncated by the fault
		_ = http.NewResponseController(r.w).Flush()
		if r.resetAt >= 0 {
			resetConnection(r.w)
			return
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = r.w.Write(body) // the caller may have disconnected
}

// chunk returns the event with the i-th token.
func (r *response) chunk(i int) []byte {
	type delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	type choice struct {
		Index  int     `json:"index"`
		Delta  delta   `json:"delta"`
		Finish *string `json:"finish_reason"`
	}
	c := choice{Delta: delta{Content: r.run.completion.Piece(i)}}
	if i == 0 {
		c.Delta.Role = "assistant"
	}
	if i == r.run.completion.Size()-1 {
		reason := r.finishReason()
		c.Finish = &reason
	}
	return r.encode([]choice{c}, nil)
}

func (r *response) usageChunk() []byte { return r.encode([]struct{}{}, r.usage()) }

func (r *response) encode(choices, usage any) []byte {
	text, err := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
		Request string `json:"request"`
		Choices any    `json:"choices"`
		Usage   any    `json:"usage,omitempty"`
	}{"chatcmpl-" + r.run.id, "chat.completion.chunk", r.created, r.run.model, r.run.id, choices, usage})
	if err != nil {
		panic(err) // all fields can be marshaled
	}
	return text
}

func (r *response) usage() any {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return map[string]any{
		"prompt_tokens": r.run.prompt, "completion_tokens": r.run.output, "total_tokens": r.run.prompt + r.run.output,
		"prompt_tokens_details": map[string]int{"cached_tokens": r.run.cached},
	}
}

func (r *response) finishReason() string {
	if r.run.completion.Size() < r.run.maxTokens {
		return "stop"
	}
	return "length"
}

func (r *response) appendEvent(data []byte) {
	r.buffered = append(append(append(r.buffered, "data: "...), data...), "\n\n"...)
}

func (r *response) flush() error {
	_, err := r.w.Write(r.buffered)
	r.buffered = r.buffered[:0]
	if err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// swapRequest is a request that waits for another one to swap runs with.
type swapRequest struct {
	n     *run
	other chan *run
}

// swapRun swaps the run with that of a concurrent request and returns the other
// run, so that both responses go to the wrong caller. Without another request it
// returns n.
func (e *Engine) swapRun(ctx context.Context, n *run) *run {
	e.mu.Lock()
	if p := e.swapWaiter; p != nil {
		e.swapWaiter = nil
		e.mu.Unlock()
		p.other <- n
		return p.n
	}
	p := &swapRequest{n, make(chan *run, 1)}
	e.swapWaiter = p
	e.mu.Unlock()
	select {
	case other := <-p.other:
		return other
	case <-time.After(swapTimeout):
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapWaiter == p {
		e.swapWaiter = nil
		return n
	}
	return <-p.other
}
