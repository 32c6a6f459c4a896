// Package rtnet provides an interface for listening and dialling, so that tests
// can replace TCP with an in-memory network.
package rtnet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Network opens listeners and connections.
type Network interface {
	Listen(address rtid.Address) (net.Listener, error)
	Dial(ctx context.Context, address rtid.Address) (net.Conn, error)
}

// TCP is the Network of the operating system. The zero value is ready to use.
type TCP struct {
	dialer net.Dialer
}

// keepAlive closes a connection whose peer has become unreachable without a
// reset, after 3 s without any packet from it. The kernel takes whole seconds
// only.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Listen opens a TCP listener.
func (t *TCP) Listen(address rtid.Address) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// Dial opens a TCP connection.
func (t *TCP) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	dialer := t.dialer
	dialer.KeepAliveConfig = keepAlive
	return dialer.DialContext(ctx, "tcp", string(address))
}

// Limits of the HTTP client between processes.
const (
	idleTimeout            = 30 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 16 << 10
)

// Client returns an HTTP client that dials through network. It has no timeout of
// its own: the context limits each call.
func Client(network Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, rtid.Address(address))
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}
