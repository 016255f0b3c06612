//go:build unix

package listener

import (
	"net"

	"golang.org/x/sys/unix"
)

// hasPending reports whether connections wait to be accepted.
func hasPending(l net.Listener) bool {
	n := 0
	known := control(l, func(fd int) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return known && n > 0
}
