package rtfake

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connection is one endpoint of a TCP connection of Network.
type connection struct {
	network *Network
	host    *hostState
	in, out *pipe
	local   netip.AddrPort
	remote  netip.AddrPort
	resets  atomic.Bool // Close is a reset
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.in.read(buffer)
	return n, c.wrap("read", err)
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.out.write(data, c.peerReachable)
	return n, c.wrap("write", err)
}

// peerReachable reports whether packets from the peer can arrive, so that this
// endpoint can learn that the peer has closed the connection.
func (c *connection) peerReachable() bool {
	return !c.in.link.isCut()
}

// wrap converts an error to the type that net/http expects from a TCP
// connection.
func (c *connection) wrap(operation string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return io.EOF
	case errors.Is(err, io.ErrClosedPipe):
		err = net.ErrClosed
	}
	return &net.OpError{
		Op:     operation,
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    err,
	}
}

// Close implements net.Conn. The peer still reads what was written before.
func (c *connection) Close() error {
	if c.resets.Load() {
		c.reset()
		return nil
	}
	c.closeWith(io.EOF)
	return nil
}

// CloseWrite shows the peer the end of what is written, as that of net.TCPConn.
func (c *connection) CloseWrite() error {
	c.out.closeWriter(io.EOF)
	return nil
}

// SetLinger makes Close a reset if the time is 0, as that of net.TCPConn.
func (c *connection) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	return nil
}

// closeWith closes this endpoint; the peer reads reason after the last byte.
func (c *connection) closeWith(reason error) {
	c.out.closeWriter(reason)
	c.in.closeReader()
	c.network.removeConnection(c)
}

// reset closes the connection as the kernel does for a killed process: the peer
// reads ECONNRESET.
func (c *connection) reset() {
	c.closeWith(syscall.ECONNRESET)
}

func (c *connection) wake() {
	c.in.wake()
	c.out.wake()
}

// LocalAddr implements net.Conn.
func (c *connection) LocalAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.local)
}

// RemoteAddr implements net.Conn.
func (c *connection) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.remote)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// listener is a TCP listener of Network.
type listener struct {
	network *Network
	key     listenerKey
	host    *hostState

	mu      sync.Mutex
	waiting []*connection
	closed  bool
	changed chan struct{} // closed and replaced at each change
}

func (l *listener) push(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, c)
	l.wakeLocked()
}

func (l *listener) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeLocked()
}

func (l *listener) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, changed, err := l.tryAccept()
		if err != nil {
			return nil, err
		}
		if c != nil {
			return c, nil
		}
		<-changed
	}
}

func (l *listener) tryAccept() (*connection, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, opError("accept", l.key.address, net.ErrClosed)
	}
	if len(l.waiting) == 0 || l.host.isFrozen() {
		return nil, l.changed, nil
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	return c, nil, nil
}

// Close implements net.Listener. It resets connections that were not accepted.
func (l *listener) Close() error {
	l.network.removeListener(l)
	l.mu.Lock()
	waiting := l.waiting
	l.waiting = nil
	l.closed = true
	l.wakeLocked()
	l.mu.Unlock()
	for _, c := range waiting {
		c.reset()
	}
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.key.address)
}
