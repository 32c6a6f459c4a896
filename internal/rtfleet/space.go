package rtfleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
)

// Space gives VMs their networks and addresses.
type NetworkProvider interface {
	// Network returns the network as the VM at host sees it.
	Network(host string) rtnet.Network
	// Address returns a fresh address for a listener of the VM at host.
	Address(host string) (rtid.Address, error)
	// Kill ends the listeners and connections of a VM.
	Kill(host string)
}

// Memory is a space on an in-memory network.
type InMemory struct {
	Fabric *rtfake.Network

	port int
}

// firstMemoryPort is below the ports that the in-memory network gives to
// connections.
const firstMemoryPort = 7000

// Network returns the network as the VM at host sees it.
func (m *InMemory) Network(host string) rtnet.Network {
	return m.Fabric.Host(host)
}

// Address returns a fresh address for a listener of the VM at host.
func (m *InMemory) Address(host string) (rtid.Address, error) {
	m.port++
	return rtid.Address(fmt.Sprintf("%s:%d", host, firstMemoryPort+m.port)), nil
}

// Kill ends the listeners and connections of a VM.
func (m *InMemory) Kill(host string) {
	m.Fabric.Kill(host)
}

// Loopback is a space on TCP over the loopback interface. All VMs share one
// IP address. The zero value is ready to use.
type Loopback struct {
	tcp rtnet.TCP

	mu       sync.Mutex
	reserved map[rtid.Address]net.Listener
}

// Network returns the operating system's network.
func (l *Loopback) Network(string) rtnet.Network {
	return l
}

// Address returns an address whose port stays reserved until Listen takes it,
// because another process could take a port that is only free for a moment.
func (l *Loopback) Address(string) (rtid.Address, error) {
	listener, err := l.tcp.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := rtid.Address(listener.Addr().String())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserved == nil {
		l.reserved = make(map[rtid.Address]net.Listener)
	}
	l.reserved[address] = listener
	return address, nil
}

// Listen opens a listener, or takes the reserved one.
func (l *Loopback) Listen(address rtid.Address) (net.Listener, error) {
	l.mu.Lock()
	listener := l.reserved[address]
	delete(l.reserved, address)
	l.mu.Unlock()
	if listener != nil {
		return listener, nil
	}
	return l.tcp.Listen(address)
}

// Dial opens a connection.
func (l *Loopback) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	return l.tcp.Dial(ctx, address)
}

// Close frees the ports that no listener took.
func (l *Loopback) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for _, listener := range l.reserved {
		errs = append(errs, listener.Close())
	}
	l.reserved = nil
	return errors.Join(errs...)
}

// Kill does nothing: the end of a process closes its connections.
func (l *Loopback) Kill(string) {}

// errKilled is what a killed process gets from its network.
var errKilled = errors.New("process was killed")

// killableNetwork is the network of one process. After the process was killed it
// opens nothing, so that goroutines that remain have no effect outside.
type killableNetwork struct {
	rtnet.Network

	killed atomic.Bool
}

func (l *killableNetwork) Listen(address rtid.Address) (net.Listener, error) {
	if l.killed.Load() {
		return nil, errKilled
	}
	return l.Network.Listen(address)
}

func (l *killableNetwork) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	if l.killed.Load() {
		return nil, errKilled
	}
	return l.Network.Dial(ctx, address)
}
