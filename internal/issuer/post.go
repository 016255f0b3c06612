package issuer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// maxAnswer bounds the answer of a target, in bytes.
const maxAnswer = 64 << 10

// Post returns a function for Config.Send. Each order has a connection of its
// own, which is reset at its end, so that the system sends no bytes of it
// later. The key is sent as bearer key unless it is empty.
func Post(key string) func(ctx context.Context, address string, body []byte) (int, []byte, error) {
	return func(ctx context.Context, address string, body []byte) (int, []byte, error) {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
		if err != nil {
			return 0, nil, eris.Wrapf(fault.Malformed, "address of the target: %v", err)
		}
		q.Header.Set("Content-Type", "application/json")
		if key != "" {
			q.Header.Set("Authorization", "Bearer "+key)
		}
		q.Close = true
		status, answer, err := exchange(ctx, address, q)
		if err != nil {
			err = eris.Wrapf(fault.Unavailable, "order: %v", err)
		}
		return status, answer, err
	}
}

func exchange(ctx context.Context, address string, q *http.Request) (int, []byte, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return 0, nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := q.Write(conn); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), q)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return response.StatusCode, answer, err
}
