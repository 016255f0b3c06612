package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/wire"
)

// newRelay returns a relay of a stream and what its caller gets, and a function
// that passes it the response of an attempt.
func newRelay() (*relay, *httptest.ResponseRecorder, func(attempt string, status int, media, body string) (bool, error)) {
	w := httptest.NewRecorder()
	s := &requestState{ResponseWriter: w, request: httptest.NewRequest(http.MethodPost, "/", http.NoBody)}
	r := &relay{gateway: New(Config{}), state: s, completion: &completion{stream: true}, onFirstToken: func() {}}
	return r, w, func(attempt string, status int, media, body string) (bool, error) {
		request := &http.Request{Header: http.Header{dispatcher.RequestHeader: {attempt}}}
		return r.consume(&wire.Target{}, &http.Response{StatusCode: status, Header: http.Header{"Content-Type": {media}}, Request: request, Body: io.NopCloser(strings.NewReader(body))})
	}
}

func contentEvent(attempt string) string {
	return fmt.Sprintf(`data: {"request":%q,"choices":[{"delta":{"content":"x"},"finish_reason":null}]}`+"\n\n", attempt)
}

func finishEvent(attempt string) string {
	return fmt.Sprintf(`data: {"request":%q,"choices":[{"delta":{},"finish_reason":"stop"}]}`+"\n\n", attempt)
}

func usageEvent(attempt string, tokens int) string {
	return fmt.Sprintf(`data: {"request":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":1}}`+"\n\n", attempt, tokens)
}

const doneLine = dataPrefix + doneEvent + "\n\n"

// The usage that an attempt reported before it broke off must not end the stream of
// the next one: it would be passed on and billed with the events of another run.
func TestUsageOfEarlierAttempt(t *testing.T) {
	r, _, consume := newRelay()
	if _, err := consume("r.1", http.StatusOK, eventStream, usageEvent("r.1", 7)); err == nil {
		t.Error("first attempt: got no error, want one")
	}
	if _, err := consume("r.2", http.StatusOK, eventStream, contentEvent("r.2")+finishEvent("r.2")+doneLine); err == nil {
		t.Errorf("second attempt, without usage: got no error and usage %+v, want an error", r.usage)
	}
	r, _, consume = newRelay()
	_, _ = consume("r.1", http.StatusOK, eventStream, usageEvent("r.1", 7))
	if _, err := consume("r.2", http.StatusOK, eventStream, contentEvent("r.2")+finishEvent("r.2")+usageEvent("r.2", 9)+doneLine); err != nil || r.usage.Prompt != 9 {
		t.Errorf("second attempt: got usage %+v and %v, want 9 tokens of the prompt", r.usage, err)
	}
}

// An answer that isn't a stream of this request must not reach the caller of a
// stream, and a stream that breaks off must neither be complete nor be tried again
// once events were relayed.
func TestAnswersToStream(t *testing.T) {
	first := contentEvent("r.1") + contentEvent("r.1")
	for _, test := range []struct {
		name, media, body string
		status            int
		relayed           string
	}{
		{"error", "application/json", `{"error":"sorry"}`, http.StatusInternalServerError, ""},
		{"error as events", eventStream, first, http.StatusInternalServerError, ""},
		{"redirect", eventStream, first, http.StatusFound, ""},
		{"no content", "", "", http.StatusNoContent, ""},
		{"document", "application/json", `{"error":"sorry"}`, http.StatusOK, ""},
		{"document over several lines", "application/json", "{\n\"error\":\n\"sorry\"\n}\n", http.StatusOK, ""},
		{"nothing", eventStream, "", http.StatusOK, ""},
		{"end without events", eventStream, doneLine, http.StatusOK, ""},
		{"error event", eventStream, "data: {\"error\":\"sorry\"}\n\n", http.StatusOK, ""},
		{"error event in a stream", eventStream, first + "event: error\ndata: {\"error\":\"sorry\"}\n\n", http.StatusOK, first},
		{"document in a stream", eventStream, first + "{\"error\":\"sorry\"}\n\n", http.StatusOK, first},
		{"head in a stream", eventStream, first + "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nsorry", http.StatusOK, first},
		{"text in a stream", eventStream, first + "data: sorry\n\n", http.StatusOK, first},
		{"event of another request in a stream", eventStream, first + contentEvent("r.2"), http.StatusOK, first},
		{"broken off", eventStream, first, http.StatusOK, first},
		{"end without usage", eventStream, first + finishEvent("r.1") + doneLine, http.StatusOK, first + finishEvent("r.1")},
		{"end without a reason", eventStream, first + usageEvent("r.1", 7) + doneLine, http.StatusOK, first},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, w, consume := newRelay()
			relayed, err := consume("r.1", test.status, test.media, test.body)
			if err == nil || relayed != (test.relayed != "") {
				t.Errorf("got relayed %v and %v, want %v and an error", relayed, err, test.relayed != "")
			}
			if got := w.Body.String(); got != test.relayed {
				t.Errorf("got %q, want %q", got, test.relayed)
			}
		})
	}
}
