package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/wire"
)

// An event relayed without decoding must not hide the end or failure of a
// stream.
func TestIsContentOnly(t *testing.T) {
	for _, test := range []struct {
		event string
		want  bool
	}{
		{`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`, true},
		{`{"choices":[{"delta":{"content":"a"}}],"usage":null}`, true},
		{`{"choices":[{"delta":{"content":"the \"usage\": 3"}}]}`, true},
		{`{"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}`, false},
		{`{"choices":[{"delta":{"content":"a"},"finish_reason": "stop"}]}`, false},
		{`{"choices":[{"delta":{"content":"a"},"finish_reason":null},{"finish_reason":"stop"}]}`, false},
		{`{"choices":[{"delta":{"content":"a"},"finish_\u0072eason":"stop"}]}`, false},
		{`{"choices":[],"usage":{"prompt_tokens":1}}`, false},
		{`{"choices":[{"delta":{}}],"usage":{"prompt_tokens":1}}`, false},
		{`{"error":{"message":"x"}}`, false},
		{`{"choices":[{"delta":{}}],"error":{"message":"x"}}`, false},
		{`{"choices":[{"delta":{"content":"a"`, false},
		{`{"choices": [{"delta":{}}]}`, false},
	} {
		if got := isContentOnly([]byte(test.event)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.event, got, test.want)
		}
	}
}

// An event that matches the template skips the full check, so it must not belong
// to another request, be invalid, or end the stream.
func TestEventTemplate(t *testing.T) {
	const before, after = `{"request":"r.1","choices":[{"delta":{"content":"`, `"},"finish_reason":null}]}`
	var p eventTemplate
	if p.matches([]byte(before + after)) {
		t.Error("empty template: got a match, want none")
	}
	p.learn([]byte(before + `a \"b\\` + after))
	for _, test := range []struct {
		event string
		want  bool
	}{
		{before + "other text" + after, true},
		{before + `\n\t\"\\` + after, true},
		{before + after, true},
		{before + `\` + after, false},
		{before + `\u0022` + after, false},
		{before + `\x` + after, false},
		{before + "\n" + after, false},
		{before + `"},"finish_reason":"stop"},{"delta":{"content":"` + after, false},
		{strings.Replace(before, "r.1", "r.2", 1) + after, false},
		{before[:len(before)-1] + after, false},
		{before + strings.Replace(after, "null", `"stop"`, 1), false},
	} {
		if got := p.matches([]byte(test.event)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.event, got, test.want)
		} else if got && !isContentOnly([]byte(test.event)) {
			t.Errorf("%s: matches the template but is not content-only", test.event)
		}
	}
}

// partsReader is a body that returns the result of one function per read.
type partsReader []func() string

func (s *partsReader) Read(p []byte) (int, error) {
	if len(*s) == 0 {
		return 0, io.EOF
	}
	n := copy(p, (*s)[0]())
	*s = (*s)[1:]
	return n, nil
}

// The relay must flush events before it waits for more, and must reject events
// of an earlier attempt in a later one.
func TestStreamFlushAndAttemptID(t *testing.T) {
	event := func(attempt string) string {
		return `data: {"request":"` + attempt + `","choices":[{"delta":{"content":"x"},"finish_reason":null}]}` + "\n\n"
	}
	w := httptest.NewRecorder()
	s := &requestState{ResponseWriter: w, request: httptest.NewRequest(http.MethodPost, "/", http.NoBody)}
	r := &relay{gateway: New(Config{}), state: s, completion: &completion{stream: true}, onFirstToken: func() {}}
	consume := func(attempt string, parts ...func() string) {
		request := &http.Request{Header: http.Header{dispatcher.RequestHeader: {attempt}}}
		_, err := r.consume(&wire.Target{}, &http.Response{StatusCode: http.StatusOK, Request: request, Body: io.NopCloser((*partsReader)(&parts))})
		if err == nil {
			t.Error("stream without an end: got no error, want one")
		}
	}
	consume("r.1", func() string { return strings.Repeat(event("r.1"), 3) }, func() string {
		if got, want := strings.Count(w.Body.String(), "data: "), 3; !w.Flushed || got != want {
			t.Errorf("before the second read: got %d events, flushed %v; want %d, flushed", got, w.Flushed, want)
		}
		return event("r.1")
	})
	consume("r.2", func() string { return event("r.1") })
	consume("r.3", func() string { return event("r.3") + event("r.1") })
	if got, want := r.contentEvents, int64(5); got != want {
		t.Errorf("relayed events: got %d, want %d", got, want)
	}
}
