package rtfleet

import (
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// callResult is the result of one call, from the fleet or from the reference
// server.
type callResult struct {
	Outcome rtapi.Outcome
	Reason  rtapi.Reason
	Text    string // of a draft
}

// referenceServer answers the same calls as a fleet, in one process, under one
// lock and without faults.
type referenceServer struct {
	document rtdocument.Document

	mu     sync.Mutex
	orders []referenceOrder
}

// referenceOrder is one issued order and its state.
type referenceOrder struct {
	owner     rtid.Organisation
	offered   bool
	cancelled bool
	body      string
	runs      int
}

func refusedFor(reason rtapi.Reason) callResult {
	return callResult{Outcome: rtapi.NotRun, Reason: reason}
}

// planRefusal returns the reason why the document does not allow a request, or
// rtapi.ReasonNone.
func (s *referenceServer) planRefusal(organisation rtid.Organisation, service rtid.Service, kind rtdocument.Kind) rtapi.Reason {
	found := s.document.Service(service)
	owner := s.document.Organisation(organisation)
	switch {
	case owner == nil, found == nil, !owner.Allows(service):
		return rtapi.ReasonPlan
	case found.Kind != kind:
		return rtapi.ReasonMalformed
	}
	return rtapi.ReasonNone
}

// draft answers a drafting request.
func (s *referenceServer) draft(organisation rtid.Organisation, request rtapi.DraftRequest) callResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, err := time.ParseDuration(request.Limit)
	switch {
	case s.document.Organisation(organisation) == nil:
		return refusedFor(rtapi.ReasonPlan)
	case err != nil, limit <= 0, limit > timeLimit, request.Output < 1, request.Prompt == "", !utf8.ValidString(request.Prompt):
		return refusedFor(rtapi.ReasonMalformed)
	}
	if reason := s.planRefusal(organisation, rtid.Service(request.Service), rtdocument.KindDraft); reason != rtapi.ReasonNone {
		return refusedFor(reason)
	}
	return callResult{Outcome: rtapi.Done, Text: rtfake.Answer([]byte(request.Prompt), rtid.Tokens(request.Output))}
}

// issue returns the index of a new order, and whether it is allowed.
func (s *referenceServer) issue(organisation rtid.Organisation) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planRefusal(organisation, "filings", rtdocument.KindOrder) != rtapi.ReasonNone {
		return 0, false
	}
	s.orders = append(s.orders, referenceOrder{owner: organisation})
	return len(s.orders) - 1, true
}

// orderRefusal returns the reason why an organisation cannot use an order, or
// rtapi.ReasonNone.
func (s *referenceServer) orderRefusal(organisation rtid.Organisation, order *referenceOrder) rtapi.Reason {
	switch {
	case s.document.Organisation(organisation) == nil:
		return rtapi.ReasonPlan
	case order.owner != organisation:
		return rtapi.ReasonNotFound
	case order.cancelled:
		return rtapi.ReasonCancelled
	default:
		return rtapi.ReasonNone
	}
}

// put runs an order that has not run, and refuses another body.
func (s *referenceServer) put(organisation rtid.Organisation, number int, body string) callResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	order := &s.orders[number]
	if reason := s.orderRefusal(organisation, order); reason != rtapi.ReasonNone {
		return refusedFor(reason)
	}
	switch {
	case order.offered && order.body != body:
		return refusedFor(rtapi.ReasonConflict)
	case !order.offered:
		order.offered, order.body = true, body
		order.runs++
	}
	return callResult{Outcome: rtapi.Done}
}

// status returns the outcome of an order.
func (s *referenceServer) status(organisation rtid.Organisation, number int) callResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	order := &s.orders[number]
	if reason := s.orderRefusal(organisation, order); reason != rtapi.ReasonNone {
		return refusedFor(reason)
	}
	if !order.offered {
		return callResult{Outcome: rtapi.Unknown, Reason: rtapi.ReasonNotFound}
	}
	return callResult{Outcome: rtapi.Done}
}

// cancel cancels an order that has not run.
func (s *referenceServer) cancel(organisation rtid.Organisation, number int) callResult {
	s.mu.Lock()
	if order := &s.orders[number]; order.owner == organisation && !order.offered {
		order.cancelled = true
	}
	s.mu.Unlock()
	return s.status(organisation, number)
}
