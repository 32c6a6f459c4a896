// Package rtgateway serves callers from targets that it reaches directly. A
// request passes the checks of stages.go, which find its route, organisation
// and service; then attempts at targets follow until one of them answers. Each
// attempt selects a target, sends the request and relays the answer.
package rtgateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// RequestInfo holds the headers of a caller's request.
type RequestInfo struct {
	ID          rtid.Request
	Remaining   time.Duration // how long the caller will wait; 0 if not given
	Key         string        // identifies the organisation
	Prompt      rtid.Tokens
	Output      rtid.Tokens // at most
	LastEventID string      // the event after which a stream resumes; empty to start at the first
	Parts       []rtid.Part // of the prompt that other requests may share
}

// Helper is a target that prefills a part of a prompt.
type Helper struct {
	Address rtid.Address
	Ticket  string // of the reservation for a part of the prompt; empty for none
}

// OutgoingRequest holds the headers that the gateway sets on a request to a
// target.
type OutgoingRequest struct {
	Target       rtid.Target // the incarnation of a target that may run the request
	Organisation rtid.Organisation
	Remaining    time.Duration
	Priority     int // 0 is the most urgent
	Helpers      []Helper
	LastEventID  string
}

// ResponseInfo holds the headers of a target's response.
type ResponseInfo struct {
	Request rtid.Request // ID of the request that the response belongs to
	Stamped bool         // the response was created by a target
	NotRun  bool         // the target has not run the request and never will
	// PromisesNotRun says that callers take the status for the promise that the request
	// has not run and never will. It says nothing about the target: only NotRun does.
	PromisesNotRun bool
	Fault          string // ID or address of the target at fault; empty if none is named
	// Instance is the target that made the response; empty if it does not say.
	Instance rtid.Target
	// Leaving says that the target which made the response is leaving, and LeavingErr
	// what is wrong with the header that should say so.
	Leaving    bool
	LeavingErr error
	// Backoff is how long the target wants no requests from this process; 0 for no
	// such wish. BackoffErr says what is wrong with the wish in the response.
	Backoff    time.Duration
	BackoffErr error
	// RateLimit is the rate limit that the target names, for all gateways
	// together. It is rtlimit.Unlimited if the response names none.
	RateLimit rtlimit.Rate
	// RateLimitErr says what is wrong with the limit in the response. It cannot be
	// used then if RateLimit is rtlimit.Unlimited.
	RateLimitErr error
}

// Dialect reads and writes the headers of callers and targets.
type Dialect interface {
	ParseRequest(r *http.Request) RequestInfo
	// RewriteHeaders turns the headers of a caller's request into those of a
	// request to a target.
	RewriteHeaders(header http.Header, outgoing OutgoingRequest)
	ParseResponse(status int, header http.Header) ResponseInfo
	// Reserve and Release return the commands that reserve memory at an engine
	// and release it.
	Reserve(target rtid.Target, ticket string, tokens rtid.Tokens, ttl time.Duration) *rtexchange.Message
	Release(target rtid.Target, ticket string) *rtexchange.Message
}

// request is a caller's request.
type request struct {
	w http.ResponseWriter
	r *http.Request

	info         RequestInfo
	arrived      time.Time
	deadline     time.Time
	view         *rtcatalog.View
	route        *rtcatalog.Route
	organisation *rtcatalog.Organisation // nil on public routes
	service      *rtcatalog.Service
	body         [][]byte  // in pieces
	whole        rtid.Part // see wholePart; empty until it is asked for
	work         rtplacement.Work
}

// path returns the path of a request as the caller sent it.
func path(r *http.Request) string {
	requestPath, _, _ := strings.Cut(r.RequestURI, "?")
	return requestPath
}

// priority returns the priority for targets: more urgent routes first, and
// within a route short prompts before long ones.
func (q *request) priority() int {
	routePriority := q.route.Priority
	if q.organisation != nil && q.organisation.Priority >= 0 {
		routePriority = q.organisation.Priority
	}
	const lowest = 9
	return min(lowest, 2*routePriority+int(rtid.ClassOf(q.work.Prompt)))
}
