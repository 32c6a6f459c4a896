package rtentry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// callerHandler returns the handler of the callers' listener.
func (e *Entry) callerHandler() http.Handler {
	router := httprouter.New()
	// Serve the documented paths only. A redirect would cost callers a round
	// trip and could turn a PUT into a GET.
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.POST("/v1/drafts", e.handle(e.postDraft))
	router.GET("/v1/drafts/:id", e.handle(e.getDraft))
	router.GET("/v1/drafts/:id/status", e.handle(e.getStatus(rtid.KindDraft)))
	router.DELETE("/v1/drafts/:id", e.handle(e.cancel(rtid.KindDraft)))
	router.POST("/v1/orders", e.handle(e.postOrder))
	router.PUT("/v1/orders/:id", e.handle(e.putOrder))
	router.GET("/v1/orders/:id", e.handle(e.getStatus(rtid.KindOrder)))
	router.DELETE("/v1/orders/:id", e.handle(e.cancel(rtid.KindOrder)))
	router.HandlerFunc(http.MethodGet, "/ready", e.getReady)
	router.NotFound = refusalHandler(notRun(http.StatusNotFound, rtapi.ReasonNotFound, false, "no such route"))
	router.MethodNotAllowed = refusalHandler(notRun(http.StatusMethodNotAllowed, rtapi.ReasonMalformed, false,
		"the route does not have this method"))
	return router
}

// exchange is one HTTP request of a caller with its response writer, the
// document in force when it arrived and the caller's organisation.
type exchange struct {
	w            http.ResponseWriter
	r            *http.Request
	arrived      time.Time
	version      rtid.Version
	document     *rtdocument.Document
	organisation *rtdocument.Organisation
	id           rtid.Request // empty on routes without one
}

// handle returns a handler that identifies the organisation and then calls
// serve. If either returns a refusal, the handler counts it and sends it.
func (e *Entry) handle(serve func(*exchange) *refusal) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		x := &exchange{w: w, r: r, arrived: time.Now(), id: rtid.Request(params.ByName("id"))}
		refused := e.identify(x)
		if refused == nil {
			refused = serve(x)
		}
		if refused != nil {
			e.countRefusal(refused)
			refused.write(w)
		}
	}
}

// identify looks up the caller's organisation in the document in force.
func (e *Entry) identify(x *exchange) *refusal {
	name, findings := parseHeader(x.r)
	if len(findings) > 0 {
		return malformed(findings...)
	}
	x.version, x.document = e.node.Document()
	if x.document == nil {
		return notRun(http.StatusServiceUnavailable, rtapi.ReasonNotReady, true, "this entry has no configuration yet")
	}
	x.organisation = x.document.Organisation(name)
	if x.organisation == nil {
		refused := notRun(http.StatusForbidden, rtapi.ReasonPlan, false, "the organisation is not in the plan")
		refused.body.Findings = []rtapi.Finding{{Field: headerOrganisation, Text: "names no organisation of the plan"}}
		return refused
	}
	return nil
}

// checkPlan refuses a service that the organisation may not use, or whose kind
// differs from the kind of the route.
func (x *exchange) checkPlan(service rtid.Service, kind rtdocument.Kind) *refusal {
	planned := x.document.Service(service)
	if planned == nil || !x.organisation.Allows(service) {
		refused := notRun(http.StatusForbidden, rtapi.ReasonPlan, false, "the organisation may not reach the service")
		refused.body.Findings = []rtapi.Finding{{Field: "service", Text: fmt.Sprintf("%s is not planned for %s",
			service, x.organisation.Name)}}
		return refused
	}
	if planned.Kind != kind {
		return malformed(rtapi.Finding{Field: "service", Text: fmt.Sprintf("%s is for requests of kind %s, not %s",
			service, planned.Kind, kind)})
	}
	return nil
}

// homeFromPath parses the request ID in the path. An ID of another organisation
// or kind is refused as not found.
func (x *exchange) homeFromPath(kind rtid.Kind) (rtid.Home, *refusal) {
	home, err := rtid.ParseRequest(x.id)
	if err != nil || home.Kind != kind || !home.Owns(x.organisation.Name) {
		return home, notFound()
	}
	return home, nil
}

// offsetParam parses the query parameter offset, 0 by default.
func (x *exchange) offsetParam() (int64, *refusal) {
	text := x.r.URL.Query().Get("offset")
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.ParseInt(text, 10, 64)
	if err != nil || offset < 0 {
		return 0, malformed(rtapi.Finding{Field: "offset", Text: "want a number of bytes, 0 or more"})
	}
	return offset, nil
}

// getReady serves GET /ready, the load balancer's readiness check.
func (e *Entry) getReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// refusalHandler returns a handler that always sends the same refusal.
func refusalHandler(refused *refusal) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.write(w)
	})
}

// countRefusal counts a refusal by its reason.
func (e *Entry) countRefusal(refused *refusal) {
	tags := map[string]string{"reason": string(refused.body.Reason)}
	e.metrics.Scope.Tagged(tags).Counter("refusals").Inc(1)
}
