//go:build !linux

package answer

import "net"

// isClosed reports whether a connection is known to be closed in both directions. It never is: the state is only read on Linux.
func isClosed(net.Conn) bool { return false }
