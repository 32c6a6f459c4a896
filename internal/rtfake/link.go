package rtfake

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// retransmission is the extra time of a segment whose packet was dropped: the
// shortest retransmission timeout of common TCP stacks.
const retransmission = 200 * time.Millisecond

// Latency is the delay of a link, one way.
type Latency struct {
	Base   time.Duration
	Jitter time.Duration // added uniformly from [0, Jitter)
	Loss   float64       // probability that a segment is sent twice
}

// link is the path from one host to another, one way.
type link struct {
	from *hostState
	to   *hostState

	mu      sync.Mutex
	random  *rand.Rand // own source, so that other links do not change the delays of this one
	latency Latency
	cut     bool
	left    int64         // bytes until the cut; negative: no such cut is planned
	reached chan struct{} // closed when left has become zero
}

// hostState is what the faults of a host change.
type hostState struct {
	name string // IP address

	mu       sync.Mutex
	frozen   bool
	isolated bool
	port     uint16 // last one given to a connection or listener without a port
}

func (h *hostState) isFrozen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen
}

func (h *hostState) setFrozen(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = frozen
}

func (h *hostState) isIsolated() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isolated
}

func (h *hostState) setIsolated(isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolated = isolated
}

// localAddress returns the address of a new connection to remote.
func (h *hostState) localAddress(remote netip.AddrPort) netip.AddrPort {
	address, err := netip.ParseAddr(h.name)
	if err != nil || remote.Addr().IsLoopback() {
		address = remote.Addr()
	}
	return netip.AddrPortFrom(address, h.nextPort())
}

func (h *hostState) nextPort() uint16 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.port = max(h.port+1, firstPort)
	return h.port
}

// isCut reports whether bytes are held. The path of a host to itself cannot
// be cut.
func (l *link) isCut() bool {
	if l.from == l.to {
		return false
	}
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	return cut || l.from.isIsolated() || l.to.isIsolated()
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.left = -1
}

// cutAfter plans the cut and returns a channel that is closed when it happens.
func (l *link) cutAfter(size int64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = size
	l.reached = make(chan struct{})
	if size == 0 {
		l.reachLocked()
	}
	return l.reached
}

func (l *link) reachLocked() {
	l.cut = true
	l.left = -1
	close(l.reached)
}

// admit returns how many of n bytes pass before a planned cut.
func (l *link) admit(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && l.from != l.to {
		return 0
	}
	if l.left < 0 {
		return n
	}
	n = int(min(int64(n), l.left))
	l.left -= int64(n)
	if l.left == 0 {
		l.reachLocked()
	}
	return n
}

func (l *link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.latency.Base
	if l.latency.Jitter > 0 {
		delay += time.Duration(l.random.Int64N(int64(l.latency.Jitter)))
	}
	if l.latency.Loss > 0 && l.random.Float64() < l.latency.Loss {
		delay += retransmission
	}
	return delay
}

func (l *link) setLatency(latency Latency) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = latency
}
