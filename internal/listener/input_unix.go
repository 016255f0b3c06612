//go:build unix

package listener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasInput reports whether bytes have arrived that the server hasn't read yet.
func hasInput(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
