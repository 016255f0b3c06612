package listener

import (
	"net"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel close the connection when sent data stays
// unacknowledged.
func setUserTimeout(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
