// Package rtfake holds stand-ins for what surrounds the system: an in-memory
// network, the platform, engines, plain services and the weight store.
package rtfake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// firstPort is the first port given to connections, and to listeners that ask
// for port 0.
const firstPort = 32768

// outside is the host that Network.Dial comes from.
const outside = "192.0.2.1"

// Network is a TCP network in memory. A host is a VM, named by its IP
// address. The zero value is ready to use.
//
// Faults act on hosts and on the link from one host to another. They take an
// IP address, or an address with a port whose host is meant. A cut link holds
// bytes, as TCP does, until it is healed.
type Network struct {
	Seed           uint64                        // of jitter and loss
	DefaultLatency func(from, to string) Latency // latency of links without SetLatency; nil: none

	mu          sync.Mutex
	hosts       map[string]*hostState
	links       map[linkKey]*link
	listeners   map[listenerKey]*listener
	connections map[*connection]bool
	changed     chan struct{} // closed and replaced when a fault changes
	closed      bool
}

type linkKey struct {
	from, to string
}

// listenerKey names a listener. Loopback addresses belong to one host only.
type listenerKey struct {
	host    string
	address netip.AddrPort
}

// Host is the network as one host sees it.
type Host struct {
	network *Network
	name    string
}

// Host returns the network as the host with this IP address sees it.
func (n *Network) Host(name string) *Host {
	return &Host{network: n, name: hostOf(name)}
}

// Listen opens a listener at the host that the address names.
func (n *Network) Listen(address rtid.Address) (net.Listener, error) {
	return n.Host(outside).Listen(address)
}

// Dial opens a connection from a host outside the fleet.
func (n *Network) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	return n.Host(outside).Dial(ctx, address)
}

// Listen opens a listener. Port 0 takes a free port.
func (h *Host) Listen(address rtid.Address) (net.Listener, error) {
	key, err := h.key(address)
	if err != nil {
		return nil, err
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if key.address.Port() == 0 {
		key.address = netip.AddrPortFrom(key.address.Addr(), n.hostLocked(key.host).nextPort())
	}
	if n.listeners[key] != nil {
		return nil, opError("listen", key.address, syscall.EADDRINUSE)
	}
	l := &listener{network: n, key: key, host: n.hostLocked(key.host), changed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = map[listenerKey]*listener{}
	}
	n.listeners[key] = l
	return l, nil
}

func (h *Host) key(address rtid.Address) (listenerKey, error) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return listenerKey{}, fmt.Errorf("address %q: %w", address, err)
	}
	host := parsed.Addr().String()
	if parsed.Addr().IsLoopback() {
		host = h.name
	}
	return listenerKey{host: host, address: parsed}, nil
}

// Dial opens a connection. It waits while one of the two links is cut or this
// host is frozen, until the context ends.
func (h *Host) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	key, err := h.key(address)
	if err != nil {
		return nil, err
	}
	there, back := h.network.pair(h.name, key.host)
	if err := h.network.handshake(ctx, there, back); err != nil {
		return nil, opError("dial", key.address, err)
	}
	return h.network.connect(key, there, back)
}

// handshake waits until a round trip has passed with both links whole.
func (n *Network) handshake(ctx context.Context, there, back *link) error {
	var established time.Time
	for {
		changed, closed := n.watchFaults()
		whole := !there.isCut() && !back.isCut() && !there.from.isFrozen()
		now := time.Now()
		switch {
		case closed:
			return net.ErrClosed
		case !whole:
			established = time.Time{}
		case established.IsZero():
			established = now.Add(there.delay() + back.delay())
		}
		if whole && !now.Before(established) {
			return ctx.Err()
		}
		if !waitUntil(ctx, changed, established) {
			return ctx.Err()
		}
	}
}

func (n *Network) connect(key listenerKey, there, back *link) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[key]
	if l == nil {
		return nil, opError("dial", key.address, syscall.ECONNREFUSED)
	}
	local := there.from.localAddress(key.address)
	out, in := newPipe(there), newPipe(back)
	client := &connection{network: n, host: there.from, in: in, out: out, local: local, remote: key.address}
	server := &connection{network: n, host: there.to, in: out, out: in, local: key.address, remote: local}
	if n.connections == nil {
		n.connections = map[*connection]bool{}
	}
	n.connections[client] = true
	n.connections[server] = true
	l.push(server)
	return client, nil
}

// pair returns the links of both directions.
func (n *Network) pair(from, to string) (*link, *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkLocked(from, to), n.linkLocked(to, from)
}

func (n *Network) linkLocked(from, to string) *link {
	from, to = hostOf(from), hostOf(to)
	key := linkKey{from, to}
	if l := n.links[key]; l != nil {
		return l
	}
	source := rand.NewPCG(n.Seed, xxhash.Sum64String(from+">"+to))
	l := &link{from: n.hostLocked(from), to: n.hostLocked(to), random: rand.New(source), left: -1}
	if n.DefaultLatency != nil {
		l.latency = n.DefaultLatency(from, to)
	}
	if n.links == nil {
		n.links = map[linkKey]*link{}
	}
	n.links[key] = l
	return l
}

// hostOf returns the host of an address, or a host as it is.
func hostOf(name string) string {
	if address, err := netip.ParseAddrPort(name); err == nil {
		return address.Addr().String()
	}
	return name
}

func (n *Network) hostLocked(name string) *hostState {
	name = hostOf(name)
	if h := n.hosts[name]; h != nil {
		return h
	}
	if n.hosts == nil {
		n.hosts = map[string]*hostState{}
	}
	h := &hostState{name: name}
	n.hosts[name] = h
	return h
}

// watchFaults returns a channel that is closed at the next change of a fault,
// and whether the network is closed.
func (n *Network) watchFaults() (<-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed, n.closed
}

func (n *Network) forget(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
}

func opError(operation string, address netip.AddrPort, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Addr: net.TCPAddrFromAddrPort(address), Err: err}
}
