package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const testWriteTimeout = 400 * time.Millisecond

// connPair returns both ends of a connection. The buffers are small, so that
// writes soon block on the reader.
func connPair(t *testing.T) (server, caller net.Conn) {
	t.Helper()
	small := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}
	tcp, err := (&net.ListenConfig{Control: small}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(Config{Listener: tcp, Stall: testWriteTimeout})
	t.Cleanup(func() { _ = l.Close() })
	if caller, err = (&net.Dialer{Control: small}).DialContext(t.Context(), "tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server, caller
}

// respond writes one response and closes the connection.
func respond(c net.Conn, size int) error {
	_, err := c.Write(make([]byte, size))
	_ = c.Close()
	return err
}

// Without a write timeout, a client that stops reading would hold its request,
// target and reservation forever.
func TestStalledCaller(t *testing.T) {
	server, _ := connPair(t)
	done := make(chan error, 1)
	go func() { done <- respond(server, 1<<20) }()
	select {
	case err := <-done:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("Write: got error %v, want a timeout", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("Write still blocked after 20 s")
	}
}

// A slow client must receive the whole response, even if that takes longer than
// the timeout of a single write.
func TestSlowCaller(t *testing.T) {
	const size = 256 << 10
	server, caller := connPair(t)
	done := make(chan error, 1)
	go func() { done <- respond(server, size) }()
	got := 0
	for buffer := make([]byte, 8<<10); ; time.Sleep(20 * time.Millisecond) {
		n, err := caller.Read(buffer)
		got += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := <-done; err != nil || got != size {
		t.Errorf("got %d bytes, error %v, want %d bytes", got, err, size)
	}
}

// Options that can't be set were ignored, so that nothing told why unreachable callers
// hold their requests. The connections must work all the same.
func TestOptionsFail(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	l := New(Config{Listener: tcp, Logger: zap.New(core), SetOptions: func(*net.TCPConn) error { return errors.New("no such option") }})
	defer l.Close()
	for range 3 {
		caller, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := respond(c, 1); err != nil {
			t.Error(err)
		}
	}
	lines := logs.All()
	if len(lines) != 1 || lines[0].ContextMap()["error"] != "no such option" {
		t.Errorf("got lines %v, want one with the error", lines)
	}
}
