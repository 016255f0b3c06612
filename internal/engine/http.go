package engine

import (
	"crypto/rand"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/papayapond/papayapond/internal/completion"
	"github.com/papayapond/papayapond/internal/host"
)

// maxBody bounds the body of a request.
const maxBody = 16 << 20

// question is the body of a request for a completion or a token count.
type question struct {
	Request  string          `json:"request"`
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Tools    json.RawMessage `json:"tools"`
	Prompt   string          `json:"prompt"` // for /tokenize
	Limit    int             `json:"max_tokens"`
	NewLimit int             `json:"max_completion_tokens"`
	Priority int             `json:"priority"`
	Stream   bool            `json:"stream"`
}

// complete serves POST /v1/chat/completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q question
	if err := read(r, &q); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	if q.Request == "" {
		q.Request = r.Header.Get("X-Request-Id")
	}
	if q.Request == "" {
		q.Request = rand.Text()
	}
	prompt, tokens, err := completion.Prompt(q.Messages, q.Tools)
	if err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	w.Header().Set("X-Request-Id", q.Request)
	if e.sabotage(w, string(prompt)) {
		return
	}
	n := e.run(q, prompt, tokens)
	if status, code := e.enqueue(n); status != 0 {
		w.Header().Set("Retry-After", "1")
		refuse(w, status, code, "the engine can't take this request")
		return
	}
	if _, ok := e.faults.Hit("swap", string(prompt)); ok {
		n = e.exchange(r.Context(), n)
	}
	a := e.answer(w, r, n, string(prompt))
	if q.Stream {
		a.stream(0)
	} else {
		a.whole()
	}
}

// sabotage produces the faults that come before a request is queued.
func (e *Engine) sabotage(w http.ResponseWriter, prompt string) bool {
	if _, ok := e.faults.Hit("crash", prompt); ok {
		e.cfg.Logger.Warn("Crashing on purpose.")
		e.cfg.Crash()
		return true
	}
	if status, ok := e.faults.Hit("status", prompt); ok {
		if status == 0 {
			status = http.StatusInternalServerError
		}
		refuse(w, int(status), "injected", "fault on purpose")
		return true
	}
	if _, ok := e.faults.Hit("reset-before", prompt); ok {
		reset(w)
		return true
	}
	return false
}

// run builds the run of a request.
func (e *Engine) run(q question, prompt []byte, tokens int) *run {
	limit := max(q.Limit, q.NewLimit)
	if limit <= 0 {
		limit = max(e.cfg.DefaultMaxTokens, 1)
	}
	size := limit
	if e.cfg.MinOutputRatio > 0 && e.cfg.MinOutputRatio < 1 {
		h := fnv.New64a()
		h.Write([]byte(q.Request))
		part := float64(h.Sum64()>>11) / (1 << 53)
		size = int(float64(limit) * (e.cfg.MinOutputRatio + (1-e.cfg.MinOutputRatio)*part))
	}
	n := &run{
		id: q.Request, model: q.Model, prompt: tokens, blocks: blocks(q.Model, prompt),
		priority: q.Priority, answer: completion.New(prompt, q.Request, size), limit: limit,
		hang: -1, changed: make(chan struct{}),
	}
	if at, ok := e.faults.Hit("hang", string(prompt)); ok {
		n.hang = int(at)
	}
	return n
}

// enqueue puts a run into the queue, or returns the status and code of a
// refusal.
func (e *Engine) enqueue(n *run) (status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.models[n.model] {
		e.counts.Refused++
		return http.StatusNotFound, "model_not_found"
	}
	if e.cfg.Queue > 0 && e.waiting.size() >= e.cfg.Queue {
		e.counts.Refused++
		return http.StatusServiceUnavailable, "overloaded"
	}
	if !e.left.IsZero() && e.cfg.Now().Sub(e.left) > lateBound {
		e.counts.Late++
	}
	e.arrived++
	e.counts.Started++
	n.arrival = e.arrived
	e.waiting.put(n)
	e.streams[n.id] = n
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return 0, ""
}

// resume serves GET /v1/streams/{id}?from=N, where N is the number of content
// chunks that the caller already has.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		refuse(w, http.StatusBadRequest, "malformed", "from must be a number of chunks, 0 or more")
		return
	}
	e.mu.Lock()
	n := e.streams[mux.Vars(r)["id"]]
	e.mu.Unlock()
	if n == nil || from > n.answer.Size() {
		refuse(w, http.StatusNotFound, "missing", "no such stream, or it is no longer kept")
		return
	}
	w.Header().Set("X-Request-Id", n.id)
	e.answer(w, r, n, "").stream(from)
}

// cancel serves POST /v1/cancel with the request id in the field request.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var q question
	if err := read(r, &q); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	n := e.streams[q.Request]
	found := n != nil && n.state == active
	if found {
		e.stop(n)
	}
	e.mu.Unlock()
	host.Reply(w, http.StatusOK, map[string]any{"request": q.Request, "cancelled": found})
}

// tokenize serves POST /tokenize for messages and tools, or a plain prompt.
func (e *Engine) tokenize(w http.ResponseWriter, r *http.Request) {
	var q question
	if err := read(r, &q); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	count := completion.Tokens(len(q.Prompt))
	if len(q.Messages) > 0 {
		_, tokens, err := completion.Prompt(q.Messages, q.Tools)
		if err != nil {
			refuse(w, http.StatusBadRequest, "malformed", err.Error())
			return
		}
		count = tokens
	}
	host.Reply(w, http.StatusOK, map[string]any{"model": q.Model, "count": count})
}

// stop cancels an active run. The caller holds the lock.
func (e *Engine) stop(n *run) {
	e.waiting.remove(n)
	e.finish(n, cancelled)
	n.signal()
}

// attach counts a reader of the run.
func (e *Engine) attach(n *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n.readers++
}

// detach cancels the run if it has no reader for the given time.
func (e *Engine) detach(n *run, linger time.Duration) {
	e.mu.Lock()
	n.readers--
	e.mu.Unlock()
	abandon := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if n.readers == 0 && n.state == active {
			e.stop(n)
		}
	}
	if linger == 0 {
		abandon()
	} else {
		time.AfterFunc(linger, abandon)
	}
}

// read decodes the body of a request. It reads the body to its end, since
// net/http notices a caller that is gone only after that.
func read(r *http.Request, body any) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	return json.Unmarshal(text, body)
}

// reset closes the connection of a request with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0) // the close below follows in any case
	}
	_ = conn.Close()
}
