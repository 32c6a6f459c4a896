package rtgateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
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
)

// Run serves until the context ends, then shuts down gracefully: readiness
// ends at once, connections that the load balancer still sends here are
// served, and in-flight requests may finish within the grace period (see drain).
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
		MaxHeaderBytes:    g.intake.maxHeader(),
		ConnState:         g.trackConnection,
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, connection)
		},
	}
	readinessServer := &http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: headerTimeout}
	serveCtx := context.WithoutCancel(ctx)
	tasks := []*rttask.Task{
		rttask.Start(serveCtx, "callers", func(context.Context) error {
			return callerServer.Serve(&idleListener{Listener: callerListener, limit: g.idleLimit, intake: g.intake})
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
	err = g.drain(callerListener, callerServer)
	_ = readinessServer.Close()
	for _, task := range tasks {
		// drain closes the listener of callers before their server.
		if taskErr := task.Stop(); !errors.Is(taskErr, http.ErrServerClosed) && !errors.Is(taskErr, net.ErrClosed) {
			err = errors.Join(err, taskErr)
		}
	}
	return errors.Join(err, g.background.stop())
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
	limit  func() time.Duration
	intake *intake
}

// Accept returns the next connection that is within the bound of connections.
func (l *idleListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &idleConn{Conn: connection, limit: l.limit, intake: l.intake}
		if l.intake.admit(c) {
			return c, nil
		}
		// The caller sees the connection end without a response.
		_ = connection.Close()
	}
}

// idleConn sets the read deadline of an idle connection from the limit.
type idleConn struct {
	net.Conn
	limit  func() time.Duration
	idle   atomic.Bool
	active atomic.Bool // a request is read or served

	intake   *intake
	use      connectionUse // guarded by intake
	lastRead atomic.Int64  // bytes of the last read, a part of which may belong to the next header

	mu sync.Mutex
}

// Read reads from the connection. The bytes of headers count in the intake.
func (c *idleConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		defer c.lastRead.Store(int64(n))
	}
	if n > 0 && !c.active.Load() && !c.intake.readHeader(c, n) {
		return 0, os.ErrDeadlineExceeded // http.Server closes the connection without a response
	}
	return n, err
}

// Close closes the connection.
func (c *idleConn) Close() error {
	c.intake.remove(c)
	return c.Conn.Close()
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

// trackConnection records whether a connection is idle, and counts those that are
// active.
func (g *Gateway) trackConnection(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*idleConn)
	if !ok {
		return
	}
	c.idle.Store(state == http.StateIdle)
	g.intake.track(c, state)
	active := state == http.StateActive
	if was := c.active.Swap(active); active && !was {
		g.activeConnections.Add(1)
	} else if was && !active {
		g.activeConnections.Add(-1)
	}
	if state == http.StateActive {
		// http.Server clears the deadline for the headers before it reports this
		// state, so the idle limit may still be set. If the connection has failed,
		// the next read reports it.
		_ = c.SetReadDeadline(time.Time{})
	}
}
