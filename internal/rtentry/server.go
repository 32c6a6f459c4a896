package rtentry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Limits of the listeners.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// loadBalancerDelay is the time from reporting not ready until the callers'
	// listener closes, so that the load balancer opens no new connection to a
	// closed port.
	loadBalancerDelay = 2 * time.Second
)

// newServer returns a server with the limits that all listeners share.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Run serves until the context ends, then shuts down gracefully: the entry
// reports not ready, refuses new connections after loadBalancerDelay, and
// gives running streams until the drain timeout to finish.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	// The node and the listeners outlive ctx, because running streams need
	// them until they end.
	background := context.WithoutCancel(ctx)
	node := rttask.Start(background, "node", e.node.Run)
	servers := []*http.Server{
		newServer(e.callerHandler()),
		newServer(e.node.Handler()),
		newServer(e.operatorHandler()),
	}
	failed := make(chan error, len(servers))
	tasks := make([]*rttask.Task, 0, len(servers))
	for i, server := range servers {
		tasks = append(tasks, rttask.Start(background, "server", func(context.Context) error {
			err := server.Serve(listeners[i])
			failed <- err
			return err
		}))
	}
	err = e.serve(ctx, node, failed)
	drainErr := e.drain(background, servers[0])
	for _, server := range servers {
		_ = server.Close()
	}
	for _, task := range tasks {
		// serve has returned any failure; the rest is http.ErrServerClosed.
		_ = task.Stop()
	}
	e.agents.client.CloseIdleConnections()
	return errors.Join(err, drainErr, node.Stop())
}

// serve reports ready once the node has started. It returns when the context
// ends, or when a listener or the node fails.
func (e *Entry) serve(ctx context.Context, node *rttask.Task, failed <-chan error) error {
	started := e.node.Started()
	for {
		select {
		case <-started:
			started = nil
			e.ready.Store(true)
			e.node.SetReady(true)
			e.log.Info("Ready.")
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("serve listener: %w", err)
		case err := <-node.Done():
			return fmt.Errorf("node ended while the entry was serving: %w", err)
		}
	}
}

// drain reports not ready, stops accepting connections after loadBalancerDelay,
// and waits for running streams up to the drain timeout.
func (e *Entry) drain(ctx context.Context, callers *http.Server) error {
	e.draining.Store(true)
	e.ready.Store(false)
	e.node.SetDraining()
	e.node.SetReady(false)
	e.log.Info("Stopping.")
	timer := time.NewTimer(loadBalancerDelay)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.settings.DrainTimeout))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down the callers' server: %w", err)
	}
	return nil
}

// listen opens the listeners of callers, peers and operators.
func (e *Entry) listen() ([]net.Listener, error) {
	callers, err := e.network.Listen(e.settings.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("open listener for callers: %w", err)
	}
	peers, err := e.network.Listen(e.settings.PeerAddress)
	if err != nil {
		_ = callers.Close()
		return nil, fmt.Errorf("open listener for peers: %w", err)
	}
	operators, err := e.network.Listen(e.settings.OperatorAddress)
	if err != nil {
		_ = callers.Close()
		_ = peers.Close()
		return nil, fmt.Errorf("open listener for operators: %w", err)
	}
	e.log.Info("Listening.", "callers", callers.Addr().String(), "peers", peers.Addr().String(),
		"operators", operators.Addr().String())
	return []net.Listener{callers, peers, operators}, nil
}
