package rtexchange

import (
	"net"

	"golang.org/x/sys/unix"
)

// unacknowledgedTCP is unacknowledged for TCP.
func unacknowledgedTCP(connection *net.TCPConn) int {
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	// Both errors mean that the connection has been closed by this process.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			count = n
		}
	})
	return count
}
