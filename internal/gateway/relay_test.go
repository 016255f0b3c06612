package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// An event of another request must be recognized in every form in which an
// engine writes the ID, and the text of a response must not be mistaken for one.
func TestIsForeign(t *testing.T) {
	r := &relay{attemptID: "r.1"}
	for _, test := range []struct {
		event string
		want  bool
	}{
		{`{"request":"r.1","choices":[]}`, false},
		{`{"request": "r.1","choices":[]}`, false},
		{`{"request":"r.2","choices":[]}`, true},
		{`{"request": "r.10","choices":[]}`, true},
		{`{"choices":[]}`, false},
		{`{"choices":[{"delta":{"content":"{\"request\":\"x\"}"}}]}`, false},
		{`{"request":null,"choices":[]}`, false},
	} {
		if got := r.isForeign([]byte(test.event)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.event, got, test.want)
		}
	}
}

// A service response longer than the limit must be rejected, not truncated and
// forwarded as if it were complete.
func TestServiceResponseTooLong(t *testing.T) {
	for _, test := range []struct {
		size int
		want fault.Kind
	}{{maxBodySize, 0}, {maxBodySize + 1, fault.Interrupted}} {
		g := New(Config{Do: func(_ context.Context, _ dispatcher.Job, consume func(*wire.Target, *http.Response) (bool, error)) (string, error) {
			_, err := consume(&wire.Target{}, &http.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, test.size)))})
			return "", err
		}})
		c := &serviceCall{}
		err := g.send(t.Context(), c)
		if test.want == 0 && (err != nil || len(c.body) != test.size) {
			t.Errorf("%d bytes: got %d bytes, error %v; want all and no error", test.size, len(c.body), err)
		}
		if test.want != 0 && fault.Of(err) != test.want {
			t.Errorf("%d bytes: got %v, want %v", test.size, err, test.want)
		}
	}
}

// countingReader repeats a byte without end and counts the bytes read.
type countingReader struct{ read int }

func (r *countingReader) Read(b []byte) (int, error) {
	r.read += len(b)
	return len(b), nil
}

// A target may send a JSON response without end. Read to its end, it would fill
// the memory of the instance.
func TestEndlessJSON(t *testing.T) {
	body := &countingReader{}
	if err := (&relay{}).consumeJSON(io.LimitReader(body, 8*maxBodySize)); err == nil {
		t.Error("got no error")
	}
	if body.read > 2*maxBodySize {
		t.Errorf("got %d bytes read, want at most %d", body.read, 2*maxBodySize)
	}
}
