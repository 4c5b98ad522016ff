package answer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that was reset, as the kernel numbers them (TCP_CLOSE).
const tcpClose = 7

// isClosed reports whether the kernel has closed a TCP connection in both directions, as after a reset. It returns false if the state is not known.
func isClosed(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	controlErr := rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return controlErr == nil && closed
}
