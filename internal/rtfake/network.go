// Package rtfake provides fakes of the environment of the system: an in-memory
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

// firstPort is the first port assigned to connections, and to listeners that
// ask for port 0.
const firstPort = 32768

// externalHost is the host that Network.Dial connects from.
const externalHost = "192.0.2.1"

// Network is an in-memory TCP network. A host is a VM, named by its IP
// address. The zero value is ready to use.
//
// Faults act on hosts and on the one-way links between hosts. Their methods take
// an IP address; a port after it is ignored. A cut link holds back bytes, as TCP
// does, until Heal.
type Network struct {
	Seed           uint64                        // seeds jitter and loss
	DefaultLatency func(from, to string) Latency // of links without SetLatency; nil: no latency

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

// listenerKey identifies a listener. It includes the host because each host has
// its own loopback addresses.
type listenerKey struct {
	host    string
	address netip.AddrPort
}

// Host is the network access of one host.
type Host struct {
	network *Network
	name    string
}

// Host returns the network access of the host with this IP address.
func (n *Network) Host(name string) *Host {
	return &Host{network: n, name: hostOf(name)}
}

// Listen opens a listener on the host that the address names.
func (n *Network) Listen(address rtid.Address) (net.Listener, error) {
	return n.Host(externalHost).Listen(address)
}

// Dial opens a connection from a host outside the fleet.
func (n *Network) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	return n.Host(externalHost).Dial(ctx, address)
}

// Listen opens a listener. Port 0 means any free port.
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

// Dial opens a connection. While a link in either direction is cut or this host
// is frozen it waits, until the context ends.
func (h *Host) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	key, err := h.key(address)
	if err != nil {
		return nil, err
	}
	forward, reverse := h.network.linksBetween(h.name, key.host)
	if err := h.network.handshake(ctx, forward, reverse); err != nil {
		return nil, opError("dial", key.address, err)
	}
	return h.network.connect(key, forward, reverse)
}

// handshake waits for one round trip during which neither link is cut and the
// dialling host is not frozen.
func (n *Network) handshake(ctx context.Context, forward, reverse *link) error {
	var established time.Time
	for {
		changed, closed := n.watchFaults()
		usable := !forward.isCut() && !reverse.isCut() && !forward.from.isFrozen()
		now := time.Now()
		switch {
		case closed:
			return net.ErrClosed
		case !usable:
			established = time.Time{}
		case established.IsZero():
			established = now.Add(forward.delay() + reverse.delay())
		}
		if usable && !now.Before(established) {
			return ctx.Err()
		}
		if !waitUntil(ctx, changed, established) {
			return ctx.Err()
		}
	}
}

func (n *Network) connect(key listenerKey, forward, reverse *link) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[key]
	if l == nil {
		return nil, opError("dial", key.address, syscall.ECONNREFUSED)
	}
	local := forward.from.localAddress(key.address)
	out, in := newPipe(forward), newPipe(reverse)
	client := &connection{network: n, host: forward.from, in: in, out: out, local: local, remote: key.address}
	server := &connection{network: n, host: forward.to, in: out, out: in, local: key.address, remote: local}
	if n.connections == nil {
		n.connections = map[*connection]bool{}
	}
	n.connections[client] = true
	n.connections[server] = true
	l.push(server)
	return client, nil
}

// linksBetween returns the links of both directions.
func (n *Network) linksBetween(from, to string) (*link, *link) {
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
	l := &link{from: n.hostLocked(from), to: n.hostLocked(to), random: rand.New(source), bytesUntilCut: -1}
	if n.DefaultLatency != nil {
		l.latency = n.DefaultLatency(from, to)
	}
	if n.links == nil {
		n.links = map[linkKey]*link{}
	}
	n.links[key] = l
	return l
}

// hostOf returns the host of an address with a port; it returns other names
// unchanged.
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

// watchFaults returns a channel that is closed when a fault changes or the
// network closes, and whether the network is closed.
func (n *Network) watchFaults() (<-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed, n.closed
}

func (n *Network) removeConnection(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
}

func opError(operation string, address netip.AddrPort, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Addr: net.TCPAddrFromAddrPort(address), Err: err}
}
