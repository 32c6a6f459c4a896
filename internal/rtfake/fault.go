package rtfake

import (
	"maps"
	"slices"
)

// SetLatency sets the latency from one host to another, one way, for segments
// written from now on.
func (n *Network) SetLatency(from, to string, latency Latency) {
	there, _ := n.pair(from, to)
	there.setLatency(latency)
}

// Cut holds all bytes from one host to another. Dials between them wait.
func (n *Network) Cut(from, to string) {
	there, _ := n.pair(from, to)
	there.setCut(true)
	n.wakeAll()
}

// CutBoth cuts both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// CutAfter cuts the link from one host to another exactly after size more
// bytes have been read from it, over all connections. The channel is closed
// when that happens.
func (n *Network) CutAfter(from, to string, size int64) <-chan struct{} {
	there, _ := n.pair(from, to)
	reached := there.cutAfter(size)
	n.wakeAll()
	return reached
}

// Heal ends the cuts of both directions. Held bytes arrive.
func (n *Network) Heal(a, b string) {
	there, back := n.pair(a, b)
	there.setCut(false)
	back.setCut(false)
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

// Freeze stops the reads, writes, accepts and dials of a host, as if its
// processes had been stopped. Its timers go on.
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
// for a killed process. The host can listen and dial again.
func (n *Network) Kill(host string) {
	listeners, connections := n.of(host)
	closeAll(listeners, connections)
}

// Close ends all listeners, dials and connections at both ends, whatever the
// faults.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	listeners := slices.Collect(maps.Values(n.listeners))
	connections := slices.Collect(maps.Keys(n.connections))
	n.mu.Unlock()
	closeAll(listeners, connections)
	n.wakeAll()
}

func closeAll(listeners []*listener, connections []*connection) {
	for _, l := range listeners {
		// Close of a listener in memory returns no error.
		_ = l.Close()
	}
	for _, c := range connections {
		c.reset()
	}
}

// Connections returns the number of open connections of a host.
func (n *Network) Connections(host string) int {
	_, connections := n.of(host)
	return len(connections)
}

// of returns the listeners and connection ends of a host.
func (n *Network) of(host string) ([]*listener, []*connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
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

// wakeAll makes everything that waits look at the faults again.
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
