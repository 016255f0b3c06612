package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// raw returns a handler that sends a response as given, with the ID of the request
// in place of ID, and closes the connection.
func raw(text string) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(text, "ID", headers.Attempt+": "+r.Header.Get(headers.Attempt), 1))
		return false
	}
}

const (
	head       = "HTTP/1.1 200 OK\r\nID\r\nX-Sign: second\r\n"
	streamHead = head + "Content-Type: text/event-stream\r\n"
	jsonError  = `{"error":"overloaded"}`
)

// A response without a length ends with its connection, as it does when its target
// ends. If it has no event, it must not pass for the rest of a stream that another
// target began.
func TestEndWithoutEvent(t *testing.T) {
	for _, text := range []string{"", ": ready\n\n"} {
		f := newFixture(t, events("first", 1, 3, true), raw(streamHead+"\r\n"+text))
		if _, body, err := f.post("/resume/", nil); body != stream(3)+text || err == nil {
			t.Errorf("after %q: got %q and %v, want events 1 to 3 and an error", text, body, err)
		}
		f = newFixture(t, raw(streamHead+"\r\n"+text))
		if a, body, err := f.post("/stream/", nil); err == nil && a.StatusCode == http.StatusOK {
			t.Errorf("first target, after %q: got status 200 and %q, want no complete stream", text, body)
		}
	}
}

// If a stream breaks off and the next target answers with anything but the rest of
// it, the caller must get nothing of that answer, and no end that looks complete.
func TestNoAnswerInStream(t *testing.T) {
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(jsonError), jsonError)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\n\r\n0\r\n\r\n", len(jsonError)+2, jsonError)
	for name, second := range map[string]string{
		"error":                           "HTTP/1.1 500 X\r\nID\r\nX-Sign: s\r\nContent-Type: application/json\r\n" + framed,
		"error without a length":          "HTTP/1.1 502 X\r\nID\r\nX-Sign: s\r\nContent-Type: text/plain\r\n\r\nsorry",
		"error without a signature":       "HTTP/1.1 404 X\r\nID\r\n" + framed,
		"error as events":                 "HTTP/1.1 500 X\r\nID\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\n\r\n" + event(4),
		"refusal":                         "HTTP/1.1 503 X\r\nID\r\nX-Refused: 1\r\nContent-Length: 5\r\n\r\nsorry",
		"refusal without an ID":           "HTTP/1.1 503 X\r\nX-Refused: 1\r\nContent-Length: 5\r\n\r\nsorry",
		"too many requests":               "HTTP/1.1 429 X\r\nID\r\nX-Sign: s\r\nContent-Length: 5\r\n\r\nsorry",
		"redirect":                        "HTTP/1.1 302 X\r\nID\r\nX-Sign: s\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n",
		"no content":                      "HTTP/1.1 204 X\r\nID\r\nX-Sign: s\r\n\r\n",
		"document":                        head + "Content-Type: application/json\r\n" + framed,
		"document without a length":       head + "\r\n" + jsonError,
		"stream without a signature":      "HTTP/1.1 200 OK\r\nID\r\nContent-Type: text/event-stream\r\n\r\n" + event(4),
		"part of a stream":                "HTTP/1.1 206 X\r\nID\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\n\r\n" + event(4),
		"no response":                     "sorry\r\n\r\n",
		"response of another request":     "HTTP/1.1 500 X\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nsorry",
		"stream without an event":         streamHead + "\r\n",
		"stream with a comment":           streamHead + "\r\n: ready\n\n",
		"error text in a stream":          streamHead + "\r\nsorry\n\n",
		"document in a stream":            streamHead + "\r\n" + jsonError + "\n\n",
		"document in a chunked stream":    streamHead + chunked,
		"error without an id in a stream": streamHead + "\r\nevent: error\ndata: " + jsonError + "\n\n",
		"response in a stream":            streamHead + "\r\nHTTP/1.1 500 X\r\nX-Id: id1\r\nContent-Length: 5\r\n\r\nsorry",
		"document as a stream":            streamHead + framed,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, events("first", 1, 3, true), raw(second))
			a, body, err := f.post("/resume/", nil)
			if got := strings.ReplaceAll(body, ": ready\n\n", ""); got != stream(3) || err == nil {
				t.Errorf("got %q and error %v, want events 1 to 3 and an error", body, err)
			}
			if a.StatusCode != http.StatusOK || a.Header.Get(headers.Signature) != "first" {
				t.Errorf("got status %d and signature %q, want the header of the first target", a.StatusCode, a.Header.Get(headers.Signature))
			}
			if got, want := len(f.requests()), 2; got != want {
				t.Errorf("got %d requests, want %d", got, want)
			}
		})
	}
}

// ids returns a response with the given events.
func ids(text string) handler { return raw(streamHead + "\r\n" + text) }

// A target that goes on with a stream may repeat events, begin anew or skip some.
// Its events must not follow those that the caller has: no event may be missing or
// come twice, and two runs must not be joined.
func TestContinuedElsewhere(t *testing.T) {
	numbered := func(numbers ...int) string {
		s := ""
		for _, n := range numbers {
			s += event(n)
		}
		return s
	}
	for _, test := range []struct {
		name, first, second, want string
		complete                  bool
	}{
		{"goes on", numbered(1, 2, 3), numbered(4, 5), numbered(1, 2, 3, 4, 5), true},
		{"goes on after one event", numbered(1), numbered(2), numbered(1, 2), true},
		{"goes on after a comment", numbered(1, 2), ": ready\n\n" + numbered(3), numbered(1, 2) + ": ready\n\n" + numbered(3), true},
		{"goes on with an end without an id", numbered(1, 2), numbered(3) + "data: [DONE]\n\n", numbered(1, 2, 3) + "data: [DONE]\n\n", true},
		{"repeats the last event", numbered(1, 2, 3), numbered(3, 4, 5), numbered(1, 2, 3), false},
		{"begins anew", numbered(1, 2, 3), numbered(1, 2, 3, 4, 5), numbered(1, 2, 3), false},
		{"skips an event", numbered(1, 2, 3), numbered(5, 6), numbered(1, 2, 3), false},
		{"skips an event after one", numbered(1), numbered(3), numbered(1), false},
		{"skips an event later", numbered(1, 2), numbered(3, 5), numbered(1, 2, 3), false},
		{"repeats an event later", numbered(1, 2), numbered(3, 3), numbered(1, 2, 3), false},
		{"other ids", numbered(1, 2), "id: x\ndata: y\n\n", numbered(1, 2), false},
		{"steps", numbered(6, 12, 18), numbered(24, 27), numbered(6, 12, 18, 24, 27), true},
		{"skips a step", numbered(6, 12, 18), numbered(30), numbered(6, 12, 18), false},
		{"uneven steps", numbered(6, 13, 18), numbered(27), numbered(6, 13, 18, 27), true},
		{"texts as ids", "id: a\ndata: x\n\nid: b\ndata: x\n\n", "id: c\ndata: x\n\n", "id: a\ndata: x\n\nid: b\ndata: x\n\nid: c\ndata: x\n\n", true},
		{"repeats a text", "id: a\ndata: x\n\nid: b\ndata: x\n\n", "id: b\ndata: x\n\n", "id: a\ndata: x\n\nid: b\ndata: x\n\n", false},
		{"begins anew after a comment", ": ready\n\n", numbered(1, 2), ": ready\n\n" + numbered(1, 2), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, ids(test.first+"id: 9"), ids(test.second))
			_, body, err := f.post("/resume/", nil)
			if body != test.want || (err == nil) != test.complete {
				t.Errorf("got %q and %v, want %q and complete %v", body, err, test.want, test.complete)
			}
		})
	}
}

// A caller that goes on with a stream must not get events that it has. The request
// goes to another target, and fails if there is none.
func TestCallerContinues(t *testing.T) {
	goOn := func(r *http.Request) {
		r.Header.Set("Last-Event-Id", "2")
		r.Header.Set(headers.Resumes, "id0")
	}
	known := &origins{pool: "p"}
	f := newFixtureWith(t, known.configure, ids(stream(4)), ids(event(3)+event(4)))
	if a, body, err := f.post("/resume/", goOn); a.StatusCode != http.StatusOK || body != event(3)+event(4) || err != nil {
		t.Errorf("other target: got status %d, %q and %v, want events 3 and 4", a.StatusCode, body, err)
	}
	f = newFixtureWith(t, known.configure, ids(stream(4)))
	if a, body, err := f.post("/resume/", goOn); a.StatusCode != http.StatusBadGateway || body != "" || err != nil {
		t.Errorf("no other target: got status %d, %q and %v, want 502", a.StatusCode, body, err)
	}
	f = newFixture(t, ids(event(0)+event(1)))
	if a, body, err := f.post("/resume/", func(r *http.Request) { r.Header.Set("Last-Event-Id", "0") }); body != event(0)+event(1) || err != nil {
		t.Errorf("from 0: got status %d, %q and %v, want events 0 and 1", a.StatusCode, body, err)
	}
}

// A stream that can't go on after its last event must not begin anew behind it:
// events without ids don't say where to go on, and not all kinds of request may be
// resumed.
func TestContinuedNowhere(t *testing.T) {
	for _, test := range []struct{ name, path, first string }{
		{"events without ids", "/resume/", "data: a\n\ndata: b\n\n"},
		{"last event without an id", "/resume/", event(1) + "data: b\n\n"},
		{"request that isn't a stream", "/again/", event(1) + event(2)},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, ids(test.first+"id: 9"), ids(event(1)+event(2)+event(3)))
			_, body, err := f.post(test.path, nil)
			if body != test.first || err == nil || len(f.requests()) != 1 {
				t.Errorf("got %q, %v and %d requests, want %q, an error and 1 request", body, err, len(f.requests()), test.first)
			}
		})
	}
}

// inTurn returns a handler for several targets. The first request that any of them
// gets is handled by the first of the given handlers, and so on.
func inTurn(list ...handler) handler {
	var count atomic.Int32
	return func(n int, w io.Writer, r *http.Request) bool { return list[int(count.Add(1)-1)%len(list)](n, w, r) }
}

// A comment of the second target must not make the third begin anew.
func TestContinuedTwice(t *testing.T) {
	next := inTurn(ids(event(1)+event(2)+"id: 9"), ids(": ready\n\nid: 9"), ids(event(3)))
	f := newFixture(t, next, next, next)
	_, body, err := f.post("/resume3/", nil)
	if want := event(1) + event(2) + ": ready\n\n" + event(3); body != want || err != nil {
		t.Errorf("got %q and %v, want %q", body, err, want)
	}
	if got, want := len(f.requests()), 3; got != want {
		t.Fatalf("got %d requests, want %d", got, want)
	}
	if got, want := f.requests()[2].Header.Get("Last-Event-Id"), "2"; got != want {
		t.Errorf("third target: got event %q to go on from, want %q", got, want)
	}
}

// After the retry of an error broke off, the target of the retry must not be asked
// again.
func TestErrorThenBroken(t *testing.T) {
	for range 10 { // targets are chosen at random
		next := inTurn(respond(http.StatusInternalServerError, signed, "sorry"), ids(event(1)+"id: 9"), ids(event(2)))
		f := newFixture(t, next, next, next)
		_, body, err := f.post("/resume3/", nil)
		if want := stream(2); body != want || err != nil {
			t.Errorf("got %q and %v, want %q", body, err, want)
		}
		seen := map[string]int{}
		for _, r := range f.requests() {
			seen[r.Header.Get(headers.Target)]++
		}
		if len(seen) != 3 || len(f.requests()) != 3 {
			t.Errorf("got requests %v, want one at each target", seen)
		}
	}
}

// The body of an answer that can't be relayed must not hold up a stream.
func TestAnswerWithoutEndInStream(t *testing.T) {
	const most = 500 * time.Millisecond // less than any timeout of the route
	next := inTurn(ids(event(1)+"id: 9"), func(_ int, w io.Writer, r *http.Request) bool {
		raw("HTTP/1.1 500 X\r\nID\r\nX-Sign: s\r\n\r\nsorry")(1, w, r)
		time.Sleep(2 * most)
		return false
	}, ids(event(2)))
	f := newFixture(t, next, next, next)
	begun := time.Now()
	_, body, err := f.post("/resume3/", nil)
	if took := time.Since(begun); body != stream(2) || err != nil || took > most {
		t.Errorf("got %q and %v after %v, want %q within %v", body, err, took, stream(2), most)
	}
}
