package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/papayapond/papayapond/internal/wire"
)

// headCounter is a connection that counts the bytes read from it.
type headCounter struct {
	net.Conn
	read *atomic.Int64
}

func (c *headCounter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// A target may send a head without end when it is asked for the length of a prompt.
// Read to its end, it would fill the memory of the instance.
func TestEndlessHead(t *testing.T) {
	const most = 1 << 20
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		lines := bytes.Repeat([]byte("X-A: b\r\n"), 4<<10)
		_, err = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for total := 0; err == nil && total < 32*most; total += len(lines) {
			_, err = c.Write(lines)
		}
	}))
	t.Cleanup(target.Close)
	g := New(Config{ReadyTargets: func(string, string, string) []*wire.Target {
		return []*wire.Target{{Name: "t", Address: target.Listener.Addr().String()}}
	}})
	var read atomic.Int64
	transport, ok := g.client.Transport.(*http.Transport)
	if !ok {
		transport = &http.Transport{}
		g.client.Transport = transport
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &headCounter{c, &read}, err
	}
	if _, ok := g.tokenize(t.Context(), &completion{body: map[string]json.RawMessage{}}); ok {
		t.Error("got a length, want none")
	}
	if got := read.Load(); got > most {
		t.Errorf("got %d bytes read, want at most %d", got, most)
	}
}
