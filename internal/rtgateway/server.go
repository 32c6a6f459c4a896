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
	// headerTimeout is how long a caller may take to send its headers.
	// http.Server reads it once at the start, so it does not follow the
	// configuration.
	headerTimeout = 5 * time.Second
	// idleTimeout applies while the configuration sets none.
	idleTimeout = 60 * time.Second
	// maxHeader limits headers in bytes before the limit of the configuration is
	// checked.
	maxHeader = 1 << 20
	// listenerDelay is the time from the end of readiness to the close of the
	// listener. The load balancer probes once a second and removes a process
	// after two failed probes.
	listenerDelay = 3 * time.Second
	// balancerRemovalTime is how long after the end of readiness the load
	// balancer still sends new connections here: two failed probes, and 0.2 s to
	// apply the result.
	balancerRemovalTime = 2200 * time.Millisecond
	// exitMargin is the part of the grace period that is kept for the exit of
	// the process after its last request.
	exitMargin   = 400 * time.Millisecond
	defaultGrace = 8 * time.Second
)

// Run serves until the context ends, then shuts down gracefully: readiness
// ends at once, connections that the load balancer still sends here are
// served, and in-flight requests may finish within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	callerListener, err := g.network.Listen(g.settings.Callers)
	if err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	readinessListener, err := g.network.Listen(g.settings.Readiness)
	if err != nil {
		_ = callerListener.Close()
		return fmt.Errorf("readiness listener: %w", err)
	}
	callerServer := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         markIdle,
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, connection)
		},
	}
	readinessServer := &http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: headerTimeout}
	serveCtx := context.WithoutCancel(ctx)
	tasks := []*rttask.Task{
		rttask.Start(serveCtx, "callers", func(context.Context) error {
			return callerServer.Serve(&idleListener{Listener: callerListener, limit: g.idleLimit})
		}),
		rttask.Start(serveCtx, "readiness", func(context.Context) error { return readinessServer.Serve(readinessListener) }),
	}
	g.log.Info("Listening.", "callers", string(g.settings.Callers), "readiness", string(g.settings.Readiness))
	select {
	case <-ctx.Done():
	case err := <-tasks[0].Done():
		return fmt.Errorf("caller listener: %w", err)
	case err := <-tasks[1].Done():
		return fmt.Errorf("readiness listener: %w", err)
	}
	err = g.drain(serveCtx, callerServer)
	_ = readinessServer.Close()
	for _, task := range tasks {
		if taskErr := task.Stop(); !errors.Is(taskErr, http.ErrServerClosed) {
			err = errors.Join(err, taskErr)
		}
	}
	return errors.Join(err, g.background.stop())
}

// drain ends readiness, closes the listener after listenerDelay and waits for
// in-flight requests. At the end of the grace period it closes their
// connections.
func (g *Gateway) drain(ctx context.Context, callerServer *http.Server) error {
	g.mu.Lock()
	grace := g.bounds.Grace
	g.mu.Unlock()
	if grace <= 0 {
		grace = defaultGrace
	}
	started := time.Now()
	g.drainingSince.Store(&started)
	g.log.Info("Stopping.", "grace", grace.String())
	timer := time.NewTimer(listenerDelay)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithDeadline(ctx, started.Add(grace-exitMargin))
	defer cancel()
	err := callerServer.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Info("Grace period over with requests in flight; closing their connections.")
		err = callerServer.Close()
	}
	g.log.Info("Stopped.", "took", time.Since(started).String())
	return err
}

// retryAfter returns the retry delay of a refused caller. While this process
// drains, the delay lasts until the load balancer sends no more connections
// here: a caller that retries at a draining process is refused again and then
// gives up.
func (g *Gateway) retryAfter(delay time.Duration) time.Duration {
	if drainingSince := g.drainingSince.Load(); drainingSince != nil {
		return max(delay, balancerRemovalTime-time.Since(*drainingSince))
	}
	return delay
}

// serveReadiness answers the probes of the load balancer.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// idleLimit returns how long a caller's connection may be idle.
func (g *Gateway) idleLimit() time.Duration {
	view := g.views.View()
	if view == nil || view.Configuration == nil || view.Configuration.Limits.IdleTimeout <= 0 {
		return idleTimeout
	}
	return view.Configuration.Limits.IdleTimeout
}

// idleListener accepts connections with an idle limit that may change while
// they are open. http.Server only has a fixed one.
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

// idleConn sets the read deadline of an idle connection from the limit.
type idleConn struct {
	net.Conn
	limit func() time.Duration
	idle  atomic.Bool

	mu sync.Mutex
}

// SetReadDeadline sets the read deadline. http.Server clears it on an idle
// connection, which then gets the idle limit.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() && c.idle.Load() {
		t = time.Now().Add(c.limit())
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the connection for writing. http.Server calls it after it
// has refused a long body, so that the caller can still read the response.
func (c *idleConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setLinger sets how a close treats data that has not been sent: 0 makes it a
// reset, and -1 is the default.
func (c *idleConn) setLinger(seconds int) {
	if connection, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only if the connection has failed.
		_ = connection.SetLinger(seconds)
	}
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// resetUntilDone makes a close of the connection a reset until done is called.
// It does so for HTTP/1.0 only, where a response without a length ends with its
// connection and a broken one would look complete.
func resetUntilDone(r *http.Request) (done func()) {
	c, ok := r.Context().Value(connectionKey{}).(*idleConn)
	if !ok || r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	c.setLinger(0)
	return func() { c.setLinger(-1) }
}

// markIdle records whether a connection is idle.
func markIdle(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*idleConn)
	if !ok {
		return
	}
	c.idle.Store(state == http.StateIdle)
	if state == http.StateActive {
		// http.Server clears the deadline for the headers before it reports this
		// state, so the idle limit may still be set. If the connection has failed,
		// the next read reports it.
		_ = c.SetReadDeadline(time.Time{})
	}
}
