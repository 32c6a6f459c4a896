package rtgateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	// headerTimeout bounds the time to send a header; the server takes it at its
	// start, so that it does not follow the configuration.
	headerTimeout = 5 * time.Second
	// idleTimeout holds while the configuration names none.
	idleTimeout = 60 * time.Second
	// maxHeader bounds headers before the limit of the configuration is looked
	// at.
	maxHeader = 1 << 20
	// balancerDelay is the time between the end of readiness and the end of
	// the listener: the balancer asks once a second and leaves after two misses.
	balancerDelay = 3 * time.Second
	// rotationTime is how long new connections are directed here after the end of
	// readiness: two misses of the balancer, and a fifth of a second to note them.
	rotationTime = 2200 * time.Millisecond
	// graceMargin is left of the time to stop for the end of the process.
	graceMargin  = 400 * time.Millisecond
	defaultGrace = 8 * time.Second
)

// Run serves until the context ends, then stops gracefully: readiness goes off
// at once, connections that are still directed here are served, and running
// requests finish within the time to stop.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := g.network.Listen(g.settings.Callers)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	readiness, err := g.network.Listen(g.settings.Readiness)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("readiness: %w", err)
	}
	front := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         markIdle,
	}
	probes := &http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: headerTimeout}
	background := context.WithoutCancel(ctx)
	tasks := []*rttask.Task{
		rttask.Start(background, "callers", func(context.Context) error {
			return front.Serve(&idleListener{Listener: callers, limit: g.idleLimit})
		}),
		rttask.Start(background, "readiness", func(context.Context) error { return probes.Serve(readiness) }),
	}
	g.log.Info("Listening.", "callers", string(g.settings.Callers), "readiness", string(g.settings.Readiness))
	select {
	case <-ctx.Done():
	case err := <-tasks[0].Done():
		return fmt.Errorf("callers: %w", err)
	case err := <-tasks[1].Done():
		return fmt.Errorf("readiness: %w", err)
	}
	err = g.drain(background, front)
	_ = probes.Close()
	for _, task := range tasks {
		if ended := task.Stop(); !errors.Is(ended, http.ErrServerClosed) {
			err = errors.Join(err, ended)
		}
	}
	return errors.Join(err, g.background.wait())
}

// drain takes the process out of service and waits for running requests.
func (g *Gateway) drain(ctx context.Context, front *http.Server) error {
	g.mu.Lock()
	grace := g.bounds.Grace
	g.mu.Unlock()
	if grace <= 0 {
		grace = defaultGrace
	}
	began := time.Now()
	g.leaving.Store(&began)
	g.log.Info("Stopping.", "grace", grace.String())
	timer := time.NewTimer(balancerDelay)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-graceMargin))
	defer cancel()
	err := front.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Info("Requests still run at the end of the time to stop, their connections are closed.")
		err = front.Close()
	}
	g.log.Info("Stopped.", "took", time.Since(began).String())
	return err
}

// comeBack returns when a caller that is refused may come back. One that comes
// back to a process that leaves is refused again, and then gives up.
func (g *Gateway) comeBack(after time.Duration) time.Duration {
	if since := g.leaving.Load(); since != nil {
		return max(after, rotationTime-time.Since(*since))
	}
	return after
}

// serveReadiness answers the balancer.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// idleLimit returns how long a caller's connection may stay idle.
func (g *Gateway) idleLimit() time.Duration {
	view := g.views.View()
	if view == nil || view.Configuration == nil || view.Configuration.Limits.IdleTimeout <= 0 {
		return idleTimeout
	}
	return view.Configuration.Limits.IdleTimeout
}

// idleListener gives connections an idle limit that may change while they are
// open, which http.Server does not.
type idleListener struct {
	net.Listener
	limit func() time.Duration
}

// Accept returns the next connection.
func (l *idleListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: connection, limit: l.limit}, nil
}

// idleConn replaces the missing deadline of an idle connection by the limit.
type idleConn struct {
	net.Conn
	limit func() time.Duration
	idle  atomic.Bool

	mu sync.Mutex
}

// SetReadDeadline sets the deadline of reads. The server sets none on an idle
// connection.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() && c.idle.Load() {
		t = time.Now().Add(c.limit())
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the own side of the connection. The server does so after a
// refusal of a long body, so that the caller can read it.
func (c *idleConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// markIdle follows the states of a connection.
func markIdle(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*idleConn)
	if !ok {
		return
	}
	c.idle.Store(state == http.StateIdle)
	if state == http.StateActive {
		// The server clears the deadline of the header before it reports this
		// state, so that the limit of an idle connection may still be set. A
		// connection that has failed shows so at the next read.
		_ = c.SetReadDeadline(time.Time{})
	}
}
