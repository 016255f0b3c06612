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

// An order without the key is refused by targets that check it, and one that
// loses its body can't be obeyed.
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
		t.Errorf("got %d %q %v, want 200 and the answer", status, answer, err)
	}
}

// A connection that outlives its sending can deliver an old order after a new
// one.
func TestPostClosesSilentConnection(t *testing.T) {
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
		t.Error("got an answer from a silent target")
	}
	if err := <-closed; err == nil {
		t.Error("connection was closed in order, want a reset")
	}
}
