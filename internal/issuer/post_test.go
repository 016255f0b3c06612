package issuer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Targets that check the key refuse an order without it, and an order without its
// body can't be executed.
func TestPost(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.URL.Path != "/v1/orders" || r.Header.Get("Authorization") != "Bearer key" || string(body) != "order" {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = io.WriteString(w, "answer")
	}))
	defer s.Close()
	status, answer, err := Post("key")(t.Context(), s.Listener.Addr().String(), []byte("order"))
	if err != nil || status != http.StatusOK || string(answer) != "answer" {
		t.Errorf("got %d %q %v, want 200 and the response", status, answer, err)
	}
}

// A connection that stays open after its attempt could deliver an old order after a
// new one.
func TestPostResetsUnansweredConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			defer conn.Close()
			_, err = io.Copy(io.Discard, conn)
		}
		closed <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := Post("")(ctx, l.Addr().String(), []byte("order")); err == nil {
		t.Error("got a response from a target that sends none")
	}
	if err := <-closed; err == nil {
		t.Error("got a graceful close, want a connection reset")
	}
}
