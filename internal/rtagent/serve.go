package rtagent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	listenerCount = 2 // servers: peers and operators

	// maxMessageSize limits a call in bytes: body, prefix and the other fields.
	maxMessageSize = maxBodySize + 5<<20

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderSize     = 16 << 10
)

const defaultOperatorAddress rtid.Address = "127.0.0.1:0"

// peersHandler serves calls of other processes.
func (a *Agent) peersHandler() http.Handler {
	target := rtwire.NewTargetServer(targetServer{a})
	router := httprouter.New()
	router.Handler(http.MethodPost, target.PathPrefix()+"*method", limitMessageSize(target))
	router.GET("/answers/:request", a.readAnswer)
	router.DELETE("/answers/:request", a.acknowledgeAnswer)
	router.NotFound = a.node.Handler()
	return router
}

// arrivalKey is the context key of the time when the header of a message had
// been read.
type arrivalKey struct{}

// arrivalOf returns when the header of a message had been read. The remaining
// time of an offer counts from then, because reading a long body takes a while.
func arrivalOf(ctx context.Context) time.Time {
	if arrived, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return arrived
	}
	return time.Now()
}

// limitMessageSize refuses messages above maxMessageSize, before reading them if
// their length is announced. It also records the time for arrivalOf.
func limitMessageSize(next http.Handler) http.Handler {
	limited := http.MaxBytesHandler(next, maxMessageSize)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxMessageSize {
			http.Error(w, "message larger than the limit of 13 MiB", http.StatusRequestEntityTooLarge)
			return
		}
		ctx := context.WithValue(r.Context(), arrivalKey{}, time.Now())
		limited.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorsHandler serves metrics, dump, status and health to operators.
func (a *Agent) operatorsHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", a.metricsHandler)
	router.Handler(http.MethodGet, "/dump", &a.dump)
	router.HandlerFunc(http.MethodGet, "/status", a.serveStatus)
	router.HandlerFunc(http.MethodGet, "/health", a.serveHealth)
	return router
}

// status is the body of the response to GET /status.
type status struct {
	VM        rtid.VM       `json:"vm"`
	Role      string        `json:"role"`
	Zone      rtid.Zone     `json:"zone"`
	Target    rtid.Target   `json:"target"`
	Version   rtid.Version  `json:"version"`
	Revision  rtid.Revision `json:"revision"`
	Ready     bool          `json:"ready"`
	Draining  bool          `json:"leaving"`
	State     string        `json:"state"` // of the availability zone: "in", "out", or "unknown" without a configuration
	Conflicts uint64        `json:"conflicts"`
}

func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	version, document := a.node.Document()
	a.mu.Lock()
	body := status{
		VM:       a.settings.VM,
		Role:     "agent",
		Zone:     a.settings.Zone,
		Target:   a.settings.Target,
		Version:  version,
		Ready:    a.serving(),
		Draining: a.draining,
		State:    "unknown",
	}
	a.mu.Unlock()
	if document != nil {
		body.Revision = document.Revision
		body.State = string(document.ZoneState(a.settings.Zone))
	}
	body.Conflicts = a.node.Configuration().Counts.Conflicts
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; nobody is left to receive an error.
	_ = json.NewEncoder(w).Encode(body)
}

// serveHealth responds with 200 while the process works, also while it drains.
func (a *Agent) serveHealth(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, _ = fmt.Fprintln(w, "ok")
}

// serving reports whether the agent can accept new requests. The caller holds
// a.mu.
func (a *Agent) serving() bool {
	return a.ready && !a.draining && !a.targetDown
}

// listen starts a server on an address. Its end is sent to serverEnded.
func (a *Agent) listen(name string, address rtid.Address, handler http.Handler) (*http.Server, error) {
	listener, err := a.network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
	}
	go func() { a.serverEnded <- serve(name, server, listener) }()
	a.log.Info("Listening.", "listener", name, "address", listener.Addr().String())
	return server, nil
}

func serve(name string, server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
