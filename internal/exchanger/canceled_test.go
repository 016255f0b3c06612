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

// A target may end the response to a canceled request by closing its connection, or
// end a chunked one in good order. The part that has come must not look complete, unless
// its length was announced.
func TestCanceledBody(t *testing.T) {
	const chunked, sized = "Transfer-Encoding: chunked\r\n", "Content-Length: 3\r\n"
	for _, test := range []struct {
		name, header, body, end string
		cancel                  bool
		want                    error
	}{
		{"complete", "", "abc", "", false, nil},
		{"canceled", "", "abc", "", true, io.ErrUnexpectedEOF},
		{"complete chunks", chunked, "3\r\nabc\r\n", "0\r\n\r\n", false, nil},
		{"canceled chunks", chunked, "3\r\nabc\r\n", "0\r\n\r\n", true, io.ErrUnexpectedEOF},
		{"canceled body of known length", sized, "abc", "", true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n"+test.header+"\r\n"+test.body)
				if test.cancel {
					_, _ = r.ReadByte() // until the request is canceled
				}
				_, _ = io.WriteString(c, test.end)
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
