//go:build !linux

package listener

import "net"

// limitSilence leaves the limit to the system where there is no such option.
func limitSilence(*net.TCPConn) error { return nil }
