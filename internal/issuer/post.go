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

const (
	// maxAnswerBytes bounds the body of a target's response, and maxReadBytes all that
	// is read of the response.
	maxAnswerBytes = 64 << 10
	maxReadBytes   = 2 * maxAnswerBytes
)

// Post returns a function for Config.Send. Each order has its own connection, which
// is reset on close so that the kernel discards unsent bytes. Unless key is empty,
// it is sent as a bearer token.
func Post(key string) func(ctx context.Context, address string, body []byte) (int, []byte, error) {
	return func(ctx context.Context, address string, body []byte) (int, []byte, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
		if err != nil {
			return 0, nil, eris.Wrapf(fault.Malformed, "invalid target address: %v", err)
		}
		req.Header.Set("Content-Type", "application/json")
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		req.Close = true
		status, answer, err := roundTrip(ctx, address, req)
		if err != nil {
			err = eris.Wrapf(fault.Unavailable, "send order: %v", err)
		}
		return status, answer, err
	}
}

func roundTrip(ctx context.Context, address string, req *http.Request) (int, []byte, error) {
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
	if err := req.Write(conn); err != nil {
		return 0, nil, err
	}
	response, err := readFinal(bufio.NewReader(io.LimitReader(conn, maxReadBytes)), req)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, answer, err
}

// readFinal reads the head of the final response, after any informational ones.
func readFinal(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, req)
		if err != nil || response.StatusCode < 100 || response.StatusCode > 199 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
		_ = response.Body.Close() // has no body
	}
}
