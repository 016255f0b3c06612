package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/papayapond/papayapond/internal/exchanger"
)

// A target ends the response to a canceled request by closing its connection. If the
// body is delimited by that close, the part that has come must not look complete.
func TestCanceledUnframedBody(t *testing.T) {
	for _, test := range []struct {
		name   string
		cancel bool
		want   error
	}{
		{"complete", false, nil},
		{"canceled", true, io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nabc")
				if test.cancel {
					_, _ = r.ReadByte() // until the request is canceled
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			a, err := exchanger.New(exchanger.Config{EchoHeader: idHeader}).Send(ctx, newRequest(address, "1", 10))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close(false)
			body := make([]byte, 3)
			if _, err := io.ReadFull(a.Body, body); err != nil {
				t.Fatal(err)
			}
			if test.cancel {
				cancel()
			}
			if _, err := io.ReadAll(a.Body); !errors.Is(err, test.want) {
				t.Errorf("rest of the body: got error %v, want %v", err, test.want)
			}
		})
	}
}
