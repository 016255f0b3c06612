package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	maxAnswer = 16 << 20
	maxLine   = 1 << 20
)

// Codes of outcomes that don't come from an instance.
const (
	codeOK      = "ok"
	codeDial    = "dial"    // no connection, so it did not run
	codeBroken  = "broken"  // the connection broke, it may have run
	codeTimeout = "timeout" // no answer in time, it may have run
	runNo       = "no"
	runYes      = "yes"
	runMaybe    = "maybe"
)

// outcome is the result of one attempt.
type outcome struct {
	code   string // codeOK or the code of the refusal
	run    string
	status int
	after  time.Duration // of Retry-After
	text   string        // of the answer
	usage  *usage
	done   bool // the answer says that it is complete
	body   []byte
	first  time.Duration // to the first token or byte, from the due time
	gaps   []time.Duration
	total  time.Duration
	detail string
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

// reply is an answer, a chunk of a stream, or an error.
type reply struct {
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Run     string `json:"run"`
	} `json:"error"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// attempt sends a request once.
func (l *Loader) attempt(ctx context.Context, r request, entry string, due time.Time) (o outcome) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	defer func() { o.total = time.Since(due) }()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+entry+r.path, bytes.NewReader(r.body))
	if err != nil {
		return outcome{code: codeDial, run: runNo, detail: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+r.client.key)
	req.Header.Set("X-Class", r.class.name)
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := l.cfg.Client.Do(req)
	if err != nil {
		return failure(err)
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		o.after = time.Duration(s) * time.Second
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		o.stream(resp.Body, due)
		return o
	}
	o.whole(resp.Body, due, r.limit > 0)
	return o
}

// whole reads an answer that is one JSON object.
func (o *outcome) whole(body io.Reader, due time.Time, model bool) {
	buffered := bufio.NewReader(body)
	if _, err := buffered.Peek(1); err == nil {
		o.first = time.Since(due)
	}
	text, err := io.ReadAll(io.LimitReader(buffered, maxAnswer))
	if err != nil {
		o.fail(err)
		return
	}
	o.body = text
	var a reply
	err = json.Unmarshal(text, &a)
	switch {
	case err == nil && a.Error != nil && a.Error.Code != "":
		o.refuse(a)
	case o.status/100 != 2:
		o.code, o.run, o.detail = "http-"+strconv.Itoa(o.status), runMaybe, string(text[:min(len(text), 200)])
	case err != nil:
		o.code, o.run, o.detail = codeBroken, runMaybe, err.Error()
	default:
		o.code, o.run, o.done, o.usage = codeOK, runYes, true, a.Usage
		if model && len(a.Choices) > 0 {
			o.text = a.Choices[0].Message.Content
		}
	}
}

// stream reads server-sent events until the end of the body.
func (o *outcome) stream(body io.Reader, due time.Time) {
	var content strings.Builder
	var last time.Time
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	o.code, o.run = codeOK, runYes
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			o.done = true
			continue
		}
		var a reply
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			o.code, o.run, o.detail = codeBroken, runMaybe, err.Error()
			continue
		}
		if a.Error != nil {
			o.refuse(a)
		}
		if a.Usage != nil {
			o.usage = a.Usage
		}
		if len(a.Choices) == 0 || a.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			o.first = now.Sub(due)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
		content.WriteString(a.Choices[0].Delta.Content)
	}
	o.text = content.String()
	if err := lines.Err(); err != nil && o.code == codeOK {
		o.fail(err)
	}
}

func (o *outcome) refuse(a reply) {
	o.code, o.run, o.detail = a.Error.Code, a.Error.Run, a.Error.Message
	if o.run == "" {
		o.run = runMaybe // a target or proxy that doesn't tell
	}
}

func (o *outcome) fail(err error) {
	f := failure(err)
	o.code, o.run, o.detail = f.code, f.run, f.detail
}

// retriable reports whether an honest caller sends the request again with the
// same key. A refusal that another attempt can't change is final.
func (o *outcome) retriable() bool {
	switch o.code {
	case codeOK:
		return false
	case codeDial, codeBroken, codeTimeout:
		return true
	}
	switch k := fault.Parse(o.code); k {
	case fault.Overloaded, fault.Draining, fault.Unavailable, fault.Isolated, fault.Expired, fault.Unsettled,
		fault.Interrupted, fault.Uncertain, fault.Fenced, fault.Corrupt:
		return true
	case fault.Internal:
		return o.status >= http.StatusInternalServerError
	default:
		return false
	}
}

// failure returns the outcome of a transport error.
func failure(err error) outcome {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return outcome{code: codeDial, run: runNo, detail: err.Error()}
	case errors.As(err, &timeout) && timeout.Timeout():
		return outcome{code: codeTimeout, run: runMaybe, detail: err.Error()}
	}
	return outcome{code: codeBroken, run: runMaybe, detail: err.Error()}
}
