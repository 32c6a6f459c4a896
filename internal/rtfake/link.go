package rtfake

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// retransmissionDelay is the extra latency of a segment whose packet was
// dropped: the shortest retransmission timeout of common TCP stacks.
const retransmissionDelay = 200 * time.Millisecond

// Latency is the one-way delay of a link.
type Latency struct {
	Base   time.Duration
	Jitter time.Duration // added uniformly from [0, Jitter)
	Loss   float64       // probability that a segment is dropped and retransmitted
}

// link is the one-way path from one host to another.
type link struct {
	from *hostState
	to   *hostState

	mu            sync.Mutex
	random        *rand.Rand // own source, so that traffic on other links does not change the delays of this one
	latency       Latency
	cut           bool
	bytesUntilCut int64         // until the cut planned by cutAfter; negative: none is planned
	cutReached    chan struct{} // closed when the planned cut happens
}

// hostState holds the faults of a host and its last used port.
type hostState struct {
	name string // IP address

	mu       sync.Mutex
	frozen   bool
	isolated bool
	lastPort uint16 // last port assigned to a connection, or to a listener on port 0
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

// localAddress returns the local address of a new connection to remote.
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
	h.lastPort = max(h.lastPort+1, firstPort)
	return h.lastPort
}

// isCut reports whether bytes are held back. The path of a host to itself
// cannot be cut.
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
	l.bytesUntilCut = -1
}

// cutAfter plans a cut after size bytes and returns a channel that is closed
// when it happens.
func (l *link) cutAfter(size int64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesUntilCut = size
	l.cutReached = make(chan struct{})
	if size == 0 {
		l.triggerCutLocked()
	}
	return l.cutReached
}

func (l *link) triggerCutLocked() {
	l.cut = true
	l.bytesUntilCut = -1
	close(l.cutReached)
}

// admit returns how many of the next n bytes may pass before a planned cut, and
// counts them.
func (l *link) admit(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && l.from != l.to {
		return 0
	}
	if l.bytesUntilCut < 0 {
		return n
	}
	n = int(min(int64(n), l.bytesUntilCut))
	l.bytesUntilCut -= int64(n)
	if l.bytesUntilCut == 0 {
		l.triggerCutLocked()
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
		delay += retransmissionDelay
	}
	return delay
}

func (l *link) setLatency(latency Latency) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = latency
}
