// Package rtgateway serves callers from targets that it reaches directly. A
// request passes these stages: decode, identify, classify, check, choose,
// offer, relay, settle.
package rtgateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// Facts are what the headers of a caller's request say.
type RequestInfo struct {
	ID          rtid.Request
	Remaining   time.Duration // that the caller will wait; 0 if it does not say
	Key         string
	Prompt      rtid.Tokens
	Output      rtid.Tokens // at most
	LastEventID string      // after which a stream goes on; empty from the start
}

// Helper is a target that reads a part of a prompt.
type Helper struct {
	Address rtid.Address
	Ticket  string // reservation that holds a part of the prompt; empty for none
}

// Send is what one send to a target says besides what the caller wrote.
type OutgoingRequest struct {
	Target       rtid.Target // the only start of a target that may run the request
	Organisation rtid.Organisation
	Remaining    time.Duration
	Priority     int // 0 is the most urgent
	Helpers      []Helper
	LastEventID  string
}

// Reply is what the headers of a target's response say.
type ResponseInfo struct {
	Request rtid.Request // that the response belongs to
	Stamped bool         // the target made the response
	NotRun  bool         // the target has not run the request and will not
	Fault   string       // id or address of the target at fault; empty if it is not named
}

// Dialect reads and writes the headers of callers and targets.
type Dialect interface {
	ParseRequest(r *http.Request) RequestInfo
	// Outgoing turns a caller's headers into those of a send.
	RewriteHeaders(header http.Header, send OutgoingRequest)
	ParseResponse(status int, header http.Header) ResponseInfo
	// Reserve and Release return the orders that set memory aside at an engine
	// and give it back.
	Reserve(target rtid.Target, ticket string, tokens rtid.Tokens, hold time.Duration) *rtexchange.Message
	Release(target rtid.Target, ticket string) *rtexchange.Message
}

// request is one caller's request on its way through the stages.
type request struct {
	w http.ResponseWriter
	r *http.Request

	facts        RequestInfo
	arrived      time.Time
	deadline     time.Time
	view         *rtcatalog.View
	route        *rtcatalog.Route
	organisation *rtcatalog.Organisation // nil on public routes
	service      *rtcatalog.Service
	body         []byte
	work         rtplacement.Work
}

// path returns the path of a request as the caller wrote it.
func path(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// priority returns the rank that targets see: more urgent routes first, and
// within a route short prompts before long ones.
func (q *request) priority() int {
	rank := q.route.Priority
	if q.organisation != nil && q.organisation.Priority >= 0 {
		rank = q.organisation.Priority
	}
	const lowest = 9
	return min(lowest, 2*rank+int(rtid.ClassOf(q.work.Prompt)))
}
