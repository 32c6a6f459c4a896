//go:build !linux

package rtexchange

import "net"

// unacknowledgedTCP is unacknowledged for TCP. Only Linux tells the number.
func unacknowledgedTCP(*net.TCPConn) int { return 0 }
