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

// Bounds of the listeners.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	// balancerDelay is the time between the end of readiness and the end of
	// the callers' listener, so that the load balancer sends no new
	// connection to a closed port.
	balancerDelay = 2 * time.Second
)

// newServer returns a server with the bounds of all listeners.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// Run serves until the context ends, then stops gracefully: readiness goes
// off, new connections are refused after balancerDelay, and running streams
// finish up to the drain limit.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	// The control part and the listeners outlive ctx, because running
	// streams need them until they end.
	background := context.WithoutCancel(ctx)
	node := rttask.Start(background, "node", e.node.Run)
	servers := []*http.Server{
		newServer(e.callers()),
		newServer(e.node.Handler()),
		newServer(e.operators()),
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
		// serve has reported the failures, what is left is the planned end.
		_ = task.Stop()
	}
	e.agents.client.CloseIdleConnections()
	return errors.Join(err, drainErr, node.Stop())
}

// serve becomes ready when the node has started, and returns when the context
// ends or a part fails.
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
			return fmt.Errorf("listener: %w", err)
		case err := <-node.Done():
			return fmt.Errorf("control part ended: %w", err)
		}
	}
}

// drain takes the entry out of service and waits for running streams.
func (e *Entry) drain(ctx context.Context, callers *http.Server) error {
	e.leaving.Store(true)
	e.ready.Store(false)
	e.node.SetDraining()
	e.node.SetReady(false)
	e.log.Info("Stopping.")
	timer := time.NewTimer(balancerDelay)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.settings.DrainTimeout))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

// listen opens the listeners of callers, peers and operators.
func (e *Entry) listen() ([]net.Listener, error) {
	callers, err := e.network.Listen(e.settings.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("callers: %w", err)
	}
	peers, err := e.network.Listen(e.settings.PeerAddress)
	if err != nil {
		_ = callers.Close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	operators, err := e.network.Listen(e.settings.OperatorAddress)
	if err != nil {
		_ = callers.Close()
		_ = peers.Close()
		return nil, fmt.Errorf("operators: %w", err)
	}
	e.log.Info("Listening.", "callers", callers.Addr().String(), "peers", peers.Addr().String(),
		"operators", operators.Addr().String())
	return []net.Listener{callers, peers, operators}, nil
}
