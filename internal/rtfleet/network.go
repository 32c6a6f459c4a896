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

// NetworkProvider provides the VMs of a fleet with networks and addresses.
type NetworkProvider interface {
	// Network returns the network access of the VM at host.
	Network(host string) rtnet.Network
	// Address returns an unused address for a listener of the VM at host.
	Address(host string) (rtid.Address, error)
	// Kill closes the listeners and connections of the VM at host.
	Kill(host string)
}

// InMemory provides VMs with an in-memory network.
type InMemory struct {
	Fabric *rtfake.Network

	port int
}

// firstMemoryPort is below the ports that the in-memory network assigns to
// connections.
const firstMemoryPort = 7000

// Network returns the network access of the VM at host.
func (m *InMemory) Network(host string) rtnet.Network {
	return m.Fabric.Host(host)
}

// Address returns an unused address for a listener of the VM at host.
func (m *InMemory) Address(host string) (rtid.Address, error) {
	m.port++
	return rtid.Address(fmt.Sprintf("%s:%d", host, firstMemoryPort+m.port)), nil
}

// Kill closes the listeners and connections of the VM at host.
func (m *InMemory) Kill(host string) {
	m.Fabric.Kill(host)
}

// Loopback provides VMs with TCP over the loopback interface. All VMs share one
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

// Address returns an address whose port is kept open until Listen is called for
// it. Otherwise another process could bind the port in between.
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

// Listen returns the listener that Address opened, or opens one.
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

// Close closes the listeners that Address opened and Listen did not return.
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

// Kill does nothing: a process that ends closes its connections itself.
func (l *Loopback) Kill(string) {}

// errKilled is the error of network calls of a killed process.
var errKilled = errors.New("the simulated process was killed")

// killableNetwork is the network of one incarnation of a process. After Kill it
// opens no listener or connection, so that remaining goroutines have no effect
// on others.
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
