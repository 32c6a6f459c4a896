package rtfleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
)

// Space gives VMs their networks and addresses.
type Space interface {
	// Network returns the network as the VM at host sees it.
	Network(host string) rtnet.Network
	// Address returns a fresh address for a listener of the VM at host.
	Address(host string) (rtid.Address, error)
	// Kill ends the listeners and connections of a VM.
	Kill(host string)
}

// Memory is a space on an in-memory network.
type Memory struct {
	Fabric *rtfake.Network

	port int
}

// firstMemoryPort is below the ports that the in-memory network gives to
// connections.
const firstMemoryPort = 7000

// Network returns the network as the VM at host sees it.
func (m *Memory) Network(host string) rtnet.Network {
	return m.Fabric.Host(host)
}

// Address returns a fresh address for a listener of the VM at host.
func (m *Memory) Address(host string) (rtid.Address, error) {
	m.port++
	return rtid.Address(fmt.Sprintf("%s:%d", host, firstMemoryPort+m.port)), nil
}

// Kill ends the listeners and connections of a VM.
func (m *Memory) Kill(host string) {
	m.Fabric.Kill(host)
}

// Loopback is a space on TCP over the loopback interface. All VMs share one
// IP address. The zero value is ready to use.
type Loopback struct {
	tcp rtnet.TCP
}

// Network returns the operating system's network.
func (l *Loopback) Network(string) rtnet.Network {
	return &l.tcp
}

// Ports of Loopback are below those that the operating system gives to
// outgoing connections, which could take a port between Address and Listen.
const (
	firstLoopbackPort = 20000
	loopbackPorts     = 12000
)

// Address returns an address whose port was free a moment ago.
func (l *Loopback) Address(string) (rtid.Address, error) {
	for range loopbackPorts {
		port := firstLoopbackPort + rand.IntN(loopbackPorts)
		address := rtid.Address(fmt.Sprintf("127.0.0.1:%d", port))
		listener, err := l.tcp.Listen(address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("free the port: %w", err)
		}
		return address, nil
	}
	return "", errors.New("no free loopback port")
}

// Kill does nothing: the end of a process closes its connections.
func (l *Loopback) Kill(string) {}

// errKilled is what a killed process gets from its network.
var errKilled = errors.New("process was killed")

// lifeline is the network of one process. After the process was killed it
// opens nothing, so that goroutines that remain have no effect outside.
type lifeline struct {
	rtnet.Network

	killed atomic.Bool
}

func (l *lifeline) Listen(address rtid.Address) (net.Listener, error) {
	if l.killed.Load() {
		return nil, errKilled
	}
	return l.Network.Listen(address)
}

func (l *lifeline) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	if l.killed.Load() {
		return nil, errKilled
	}
	return l.Network.Dial(ctx, address)
}
