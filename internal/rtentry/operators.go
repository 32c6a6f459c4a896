package rtentry

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/julienschmidt/httprouter"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// statusBody is the response of GET /status for operators.
type statusBody struct {
	VM        string `json:"vm"`
	Role      string `json:"role"`
	Zone      string `json:"zone"`
	Version   uint64 `json:"version"`  // of the document in force
	Revision  uint64 `json:"revision"` // of the document in force
	Ready     bool   `json:"ready"`
	Draining  bool   `json:"leaving"`
	State     string `json:"state"` // of the zone: "in" or "out"; "unknown" without a document
	Conflicts uint64 `json:"conflicts"`
	Build     string `json:"build"`
}

// operatorHandler returns the handler of the operators' listener.
func (e *Entry) operatorHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", e.metrics.Handler)
	router.Handler(http.MethodGet, "/dump", e.dump)
	router.HandlerFunc(http.MethodGet, "/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.status())
	})
	router.HandlerFunc(http.MethodGet, "/health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	return router
}

// status returns the body of GET /status.
func (e *Entry) status() statusBody {
	version, document := e.node.Document()
	body := statusBody{
		VM:       string(e.settings.VM),
		Role:     "entry",
		Zone:     string(e.settings.Zone),
		Version:  uint64(version),
		Ready:    e.ready.Load(),
		Draining: e.draining.Load(),
		State:    "unknown",
		Build:    buildVersion(),
	}
	body.Conflicts = e.node.Configuration().Counts.Conflicts
	if document != nil {
		body.Revision = uint64(document.Revision)
		body.State = string(document.ZoneState(e.settings.Zone))
	}
	return body
}

// serviceState is the state of one balancer in the dump.
type serviceState struct {
	Targets   int     `json:"targets"`  // targets in the pool
	Spilling  bool    `json:"spilling"` // the own zone spills requests to others
	LocalRate float64 `json:"local"`    // requests per second to the own zone
}

// dumpState returns the entry's part of the dump.
func (e *Entry) dumpState() any {
	state := struct {
		Ready    bool                          `json:"ready"`
		Draining bool                          `json:"leaving"`
		Drafts   int64                         `json:"drafts"`  // in progress
		Bodies   int64                         `json:"bodies"`  // bytes reserved for request bodies
		Budget   float64                       `json:"budget"`  // retries that the budget allows now
		Retries  uint64                        `json:"retries"` // retries taken since the start
		Services map[rtid.Service]serviceState `json:"services"`
	}{
		Ready:    e.ready.Load(),
		Draining: e.draining.Load(),
		Drafts:   e.runningDrafts.Load(),
		Bodies:   e.bufferedBytes.Load(),
		Services: make(map[rtid.Service]serviceState),
	}
	state.Budget, state.Retries = e.limits.retryCounts()
	e.balancersMu.Lock()
	defer e.balancersMu.Unlock()
	for service, b := range e.balancers {
		state.Services[service] = b.dumpState()
	}
	return state
}

// buildVersion returns the version of the main module.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return info.Main.Version
}
