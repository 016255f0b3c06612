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

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 16 << 20

// requestBody is the body of a request for a completion or a token count.
type requestBody struct {
	Request             string          `json:"request"`
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Tools               json.RawMessage `json:"tools"`
	Prompt              string          `json:"prompt"` // for /tokenize
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Priority            int             `json:"priority"`
	Stream              bool            `json:"stream"`
}

// complete serves POST /v1/chat/completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q requestBody
	if err := readJSON(r, &q); err != nil {
		replyError(w, http.StatusBadRequest, "malformed", err.Error())
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
		replyError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	w.Header().Set("X-Request-Id", q.Request)
	if e.injectFault(w, string(prompt)) {
		return
	}
	n := e.newRun(q, prompt, tokens)
	if status, code := e.enqueue(n); status != 0 {
		w.Header().Set("Retry-After", "1")
		replyError(w, status, code, "engine cannot accept the request")
		return
	}
	if _, ok := e.faults.Hit("swap", string(prompt)); ok {
		n = e.swapRun(r.Context(), n)
	}
	resp := e.newResponse(w, r, n, string(prompt))
	if q.Stream {
		resp.writeStream(0)
	} else {
		resp.writeWhole()
	}
}

// injectFault injects the faults that occur before a request is queued, and
// reports whether it has handled the request.
func (e *Engine) injectFault(w http.ResponseWriter, prompt string) bool {
	if _, ok := e.faults.Hit("crash", prompt); ok {
		e.cfg.Logger.Warn("injected crash")
		e.cfg.Crash()
		return true
	}
	if status, ok := e.faults.Hit("status", prompt); ok {
		if status == 0 {
			status = http.StatusInternalServerError
		}
		replyError(w, int(status), "injected", "injected fault")
		return true
	}
	if _, ok := e.faults.Hit("reset-before", prompt); ok {
		resetConnection(w)
		return true
	}
	return false
}

// newRun returns the run of a request.
func (e *Engine) newRun(q requestBody, prompt []byte, tokens int) *run {
	limit := max(q.MaxTokens, q.MaxCompletionTokens)
	if limit <= 0 {
		limit = max(e.cfg.DefaultMaxTokens, 1)
	}
	size := limit
	if e.cfg.MinOutputRatio > 0 && e.cfg.MinOutputRatio < 1 {
		h := fnv.New64a()
		h.Write([]byte(q.Request))
		fraction := float64(h.Sum64()>>11) / (1 << 53)
		size = int(float64(limit) * (e.cfg.MinOutputRatio + (1-e.cfg.MinOutputRatio)*fraction))
	}
	n := &run{
		id: q.Request, model: q.Model, prompt: tokens, blocks: blockHashes(q.Model, prompt),
		priority: q.Priority, completion: completion.New(prompt, q.Request, size), maxTokens: limit,
		hangAfter: -1, changed: make(chan struct{}),
	}
	if at, ok := e.faults.Hit("hang", string(prompt)); ok {
		n.hangAfter = int(at)
	}
	return n
}

// enqueue adds a run to the queue, or returns the HTTP status and code of a
// rejection.
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
	if !e.leftAt.IsZero() && e.cfg.Now().Sub(e.leftAt) > leaveGrace {
		e.counts.Late++
	}
	e.arrivals++
	e.counts.Started++
	n.arrival = e.arrivals
	e.waiting.push(n)
	e.streams[n.id] = n
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return 0, ""
}

// resume serves GET /v1/streams/{id}?from=N, where N is the number of content
// chunks that the caller has already received.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		replyError(w, http.StatusBadRequest, "malformed", "from must be a non-negative number of chunks")
		return
	}
	e.mu.Lock()
	n := e.streams[mux.Vars(r)["id"]]
	e.mu.Unlock()
	if n == nil || from > n.completion.Size() {
		replyError(w, http.StatusNotFound, "missing", "stream does not exist or has expired")
		return
	}
	w.Header().Set("X-Request-Id", n.id)
	e.newResponse(w, r, n, "").writeStream(from)
}

// cancel serves POST /v1/cancel with the request ID in the field request.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var q requestBody
	if err := readJSON(r, &q); err != nil {
		replyError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	n := e.streams[q.Request]
	found := n != nil && n.state == active
	if found {
		e.cancelRun(n)
	}
	e.mu.Unlock()
	host.Reply(w, http.StatusOK, map[string]any{"request": q.Request, "cancelled": found})
}

// tokenize serves POST /tokenize for messages and tools, or a plain prompt.
func (e *Engine) tokenize(w http.ResponseWriter, r *http.Request) {
	var q requestBody
	if err := readJSON(r, &q); err != nil {
		replyError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	count := completion.Tokens(len(q.Prompt))
	if len(q.Messages) > 0 {
		_, tokens, err := completion.Prompt(q.Messages, q.Tools)
		if err != nil {
			replyError(w, http.StatusBadRequest, "malformed", err.Error())
			return
		}
		count = tokens
	}
	host.Reply(w, http.StatusOK, map[string]any{"model": q.Model, "count": count})
}

// cancelRun cancels an active run. The caller holds e.mu.
func (e *Engine) cancelRun(n *run) {
	e.waiting.remove(n)
	e.finish(n, cancelled)
	n.notify()
}

// addReader adds a reader to the run.
func (e *Engine) addReader(n *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n.readers++
}

// removeReader removes a reader from the run, and cancels the run if it then has
// no reader once linger has passed.
func (e *Engine) removeReader(n *run, linger time.Duration) {
	e.mu.Lock()
	n.readers--
	e.mu.Unlock()
	abandon := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if n.readers == 0 && n.state == active {
			e.cancelRun(n)
		}
	}
	if linger == 0 {
		abandon()
	} else {
		time.AfterFunc(linger, abandon)
	}
}

// readJSON decodes the body of a request. It reads the entire body first, since
// net/http detects a disconnected caller only after that.
func readJSON(r *http.Request, body any) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	return json.Unmarshal(text, body)
}

// resetConnection closes the connection of a request with a TCP RST.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0) // closed below regardless
	}
	_ = conn.Close()
}
