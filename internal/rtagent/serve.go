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
	listeners = 2 // peers and operators

	// maxMessage bounds a call: body, prefix and the other fields.
	maxMessage = maxBody + 5<<20

	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
)

const defaultOperators rtid.Address = "127.0.0.1:0"

// peersHandler serves the other processes.
func (a *Agent) peersHandler() http.Handler {
	target := rtwire.NewTargetServer(calls{a})
	router := httprouter.New()
	router.Handler(http.MethodPost, target.PathPrefix()+"*method", bounded(target))
	router.GET("/answers/:request", a.readAnswer)
	router.DELETE("/answers/:request", a.acknowledgeAnswer)
	router.NotFound = a.node.Handler()
	return router
}

// arrivalKey is the context key of the time when a message began to arrive.
type arrivalKey struct{}

// arrivalOf returns when a message began to arrive. Its remaining time counts
// from there, because a long body takes a while.
func arrivalOf(ctx context.Context) time.Time {
	if arrived, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return arrived
	}
	return time.Now()
}

// bounded refuses messages that are too large before it reads them.
func bounded(next http.Handler) http.Handler {
	limited := http.MaxBytesHandler(next, maxMessage)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxMessage {
			http.Error(w, "message too large", http.StatusRequestEntityTooLarge)
			return
		}
		ctx := context.WithValue(r.Context(), arrivalKey{}, time.Now())
		limited.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorsHandler serves operators.
func (a *Agent) operatorsHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", a.scrape)
	router.Handler(http.MethodGet, "/dump", &a.dump)
	router.HandlerFunc(http.MethodGet, "/status", a.serveStatus)
	router.HandlerFunc(http.MethodGet, "/health", a.serveHealth)
	return router
}

// status is the answer of GET /status.
type status struct {
	VM        rtid.VM       `json:"vm"`
	Role      string        `json:"role"`
	Zone      rtid.Zone     `json:"zone"`
	Target    rtid.Target   `json:"target"`
	Version   rtid.Version  `json:"version"`
	Revision  rtid.Revision `json:"revision"`
	Ready     bool          `json:"ready"`
	Leaving   bool          `json:"leaving"`
	State     string        `json:"state"` // of the zone: "in", "out", or "unknown" without a document
	Conflicts uint64        `json:"conflicts"`
}

func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	version, document := a.node.Document()
	a.mu.Lock()
	answer := status{
		VM:      a.settings.VM,
		Role:    "agent",
		Zone:    a.settings.Zone,
		Target:  a.settings.Target,
		Version: version,
		Ready:   a.serving(),
		Leaving: a.leaving,
		State:   "unknown",
	}
	a.mu.Unlock()
	if document != nil {
		answer.Revision = document.Revision
		answer.State = string(document.ZoneState(a.settings.Zone))
	}
	answer.Conflicts = a.node.Configuration().Counts.Conflicts
	w.Header().Set("Content-Type", "application/json")
	// The reader may go away; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(answer)
}

// serveHealth answers 200 while the process works; a leaving one still does.
func (a *Agent) serveHealth(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, _ = fmt.Fprintln(w, "ok")
}

// serving reports whether new work can be accepted. The caller holds a.mu.
func (a *Agent) serving() bool {
	return a.ready && !a.leaving && !a.down
}

// listen starts a server on an address.
func (a *Agent) listen(name string, address rtid.Address, handler http.Handler) (*http.Server, error) {
	listener, err := a.network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	go func() { a.failed <- serve(name, server, listener) }()
	a.log.Info("Listening.", "listener", name, "address", listener.Addr().String())
	return server, nil
}

func serve(name string, server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
