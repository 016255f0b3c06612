//go:build !unix

package listener

import "net"

// hasInput can't tell on other systems.
func hasInput(net.Conn) bool { return false }

// discardInput reports that no more bytes are awaited.
func discardInput(net.Conn) (ended bool) { return true }
