//go:build !linux

package listener

import "net"

// setUserTimeout does nothing: other systems lack the option and keep their own
// limit.
func setUserTimeout(*net.TCPConn) error { return nil }
