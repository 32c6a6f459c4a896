package rtfake

import (
	"maps"
	"slices"
)

// SetLatency sets the one-way latency from one host to another, for segments
// written from now on.
func (n *Network) SetLatency(from, to string, latency Latency) {
	forward, _ := n.linksBetween(from, to)
	forward.setLatency(latency)
}

// Cut holds back all bytes from one host to another until Heal. Dials between
// the two hosts wait.
func (n *Network) Cut(from, to string) {
	forward, _ := n.linksBetween(from, to)
	forward.setCut(true)
	n.wakeAll()
}

// CutBoth cuts both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// CutAfter cuts the link from one host to another as soon as exactly size more
// bytes have been read from it, over all connections. The channel is closed
// at that moment.
func (n *Network) CutAfter(from, to string, size int64) <-chan struct{} {
	forward, _ := n.linksBetween(from, to)
	reached := forward.cutAfter(size)
	n.wakeAll()
	return reached
}

// Heal ends the cuts of both directions. The bytes held back arrive.
func (n *Network) Heal(a, b string) {
	forward, reverse := n.linksBetween(a, b)
	forward.setCut(false)
	reverse.setCut(false)
	n.wakeAll()
}

// Isolate cuts all links of a host.
func (n *Network) Isolate(host string) {
	n.host(host).setIsolated(true)
	n.wakeAll()
}

// Rejoin ends Isolate. Links cut by Cut stay cut.
func (n *Network) Rejoin(host string) {
	n.host(host).setIsolated(false)
	n.wakeAll()
}

// Freeze suspends the reads, writes, accepts and dials of a host, as if its
// processes had received SIGSTOP. Its timers still run.
func (n *Network) Freeze(host string) {
	n.host(host).setFrozen(true)
	n.wakeAll()
}

// Thaw ends Freeze.
func (n *Network) Thaw(host string) {
	n.host(host).setFrozen(false)
	n.wakeAll()
}

// Kill closes the listeners and connections of a host, as the kernel does
// for a killed process. The host can listen and dial afterwards.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	listeners, connections := n.endpointsLocked(host)
	n.refuseDialsLocked(listeners)
	n.mu.Unlock()
	closeAll(listeners, connections)
}

// Close closes all listeners and both endpoints of all connections, and fails
// waiting dials, whatever faults are active.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	listeners := slices.Collect(maps.Values(n.listeners))
	connections := slices.Collect(maps.Keys(n.connections))
	n.refuseDialsLocked(listeners)
	n.mu.Unlock()
	closeAll(listeners, connections)
	n.wakeAll()
}

// refuseDialsLocked lets later dials to the listeners fail. It must happen together
// with listing the connections that will be closed: one that is opened in between
// would stay open.
func (n *Network) refuseDialsLocked(listeners []*listener) {
	for _, l := range listeners {
		delete(n.listeners, l.key)
	}
}

func closeAll(listeners []*listener, connections []*connection) {
	for _, l := range listeners {
		// Close of an in-memory listener returns no error.
		_ = l.Close()
	}
	for _, c := range connections {
		c.reset()
	}
}

// Connections returns the number of open connections of a host.
func (n *Network) Connections(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, connections := n.endpointsLocked(host)
	return len(connections)
}

// endpointsLocked returns the listeners and connection endpoints of a host.
func (n *Network) endpointsLocked(host string) ([]*listener, []*connection) {
	state := n.hostLocked(host)
	var listeners []*listener
	for _, l := range n.listeners {
		if l.host == state {
			listeners = append(listeners, l)
		}
	}
	var connections []*connection
	for c := range n.connections {
		if c.host == state {
			connections = append(connections, c)
		}
	}
	return listeners, connections
}

func (n *Network) host(name string) *hostState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostLocked(name)
}

func (n *Network) removeListener(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.key] == l {
		delete(n.listeners, l.key)
	}
}

// wakeAll makes all waiting reads, writes, accepts and dials check the faults
// again.
func (n *Network) wakeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
	for _, l := range n.listeners {
		l.wake()
	}
	for c := range n.connections {
		c.wake()
	}
}
