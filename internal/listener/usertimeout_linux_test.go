package listener

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Without the option, Linux retransmits for about 15 minutes after the network
// path is lost.
func TestUserTimeout(t *testing.T) {
	server, _ := connPair(t)
	raw, err := server.(*conn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	if e := raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); e != nil || err != nil {
		t.Fatal(e, err)
	}
	if want := int(userTimeout.Milliseconds()); got != want {
		t.Errorf("TCP_USER_TIMEOUT: got %d ms, want %d", got, want)
	}
}
