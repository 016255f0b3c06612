//go:build unix

package listener

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// control calls f with the descriptor of a socket, and reports whether it could.
func control(socket any, f func(fd int)) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// hasInput reports whether bytes have arrived that the server hasn't read yet.
func hasInput(c net.Conn) bool {
	n := 0
	known := control(c, func(fd int) {
		n, _, _ = unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return known && n > 0
}

// discardInput discards bytes that have arrived, and reports whether no more can come.
func discardInput(c net.Conn) (ended bool) {
	b := make([]byte, 4<<10)
	for {
		var n int
		var failed error
		if !control(c, func(fd int) { n, _, failed = unix.Recvfrom(fd, b, unix.MSG_DONTWAIT) }) {
			return true
		}
		if n <= 0 {
			return !errors.Is(failed, unix.EAGAIN) && !errors.Is(failed, unix.EINTR)
		}
	}
}
