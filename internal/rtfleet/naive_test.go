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

// answer is what a caller gets for one call, in the real path and in the
// naive one.
type answer struct {
	Outcome rtapi.Outcome
	Reason  rtapi.Reason
	Text    string // of a draft
}

// naive serves the same calls as a fleet in one process under one lock, where
// nothing fails.
type naive struct {
	document rtdocument.Document

	mu     sync.Mutex
	orders []naiveOrder
}

// naiveOrder is one order id and what became of it.
type naiveOrder struct {
	owner     rtid.Organisation
	offered   bool
	cancelled bool
	body      string
	runs      int
}

func refusedFor(reason rtapi.Reason) answer {
	return answer{Outcome: rtapi.NotRun, Reason: reason}
}

// plan returns the reason why the document does not allow a request.
func (n *naive) plan(organisation rtid.Organisation, service rtid.Service, kind rtdocument.Kind) rtapi.Reason {
	found := n.document.Service(service)
	owner := n.document.Organisation(organisation)
	switch {
	case owner == nil, found == nil, !owner.Allows(service):
		return rtapi.ReasonPlan
	case found.Kind != kind:
		return rtapi.ReasonMalformed
	}
	return rtapi.ReasonNone
}

// draft answers a drafting request.
func (n *naive) draft(organisation rtid.Organisation, request rtapi.DraftRequest) answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit, err := time.ParseDuration(request.Limit)
	switch {
	case n.document.Organisation(organisation) == nil:
		return refusedFor(rtapi.ReasonPlan)
	case err != nil, limit <= 0, limit > cellLimit, request.Output < 1, request.Prompt == "", !utf8.ValidString(request.Prompt):
		return refusedFor(rtapi.ReasonMalformed)
	}
	if reason := n.plan(organisation, rtid.Service(request.Service), rtdocument.KindDraft); reason != rtapi.ReasonNone {
		return refusedFor(reason)
	}
	return answer{Outcome: rtapi.Done, Text: rtfake.Answer([]byte(request.Prompt), rtid.Tokens(request.Output))}
}

// issue answers with the number of a new order.
func (n *naive) issue(organisation rtid.Organisation) (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.plan(organisation, "filings", rtdocument.KindOrder) != rtapi.ReasonNone {
		return 0, false
	}
	n.orders = append(n.orders, naiveOrder{owner: organisation})
	return len(n.orders) - 1, true
}

// closed returns why an organisation cannot use an order, if so.
func (n *naive) closed(organisation rtid.Organisation, order *naiveOrder) rtapi.Reason {
	switch {
	case n.document.Organisation(organisation) == nil:
		return rtapi.ReasonPlan
	case order.owner != organisation:
		return rtapi.ReasonNotFound
	case order.cancelled:
		return rtapi.ReasonCancelled
	default:
		return rtapi.ReasonNone
	}
}

// put runs an order at most once.
func (n *naive) put(organisation rtid.Organisation, number int, body string) answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	order := &n.orders[number]
	if reason := n.closed(organisation, order); reason != rtapi.ReasonNone {
		return refusedFor(reason)
	}
	switch {
	case order.offered && order.body != body:
		return refusedFor(rtapi.ReasonConflict)
	case !order.offered:
		order.offered, order.body = true, body
		order.runs++
	}
	return answer{Outcome: rtapi.Done}
}

// status answers what is known about an order.
func (n *naive) status(organisation rtid.Organisation, number int) answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	order := &n.orders[number]
	if reason := n.closed(organisation, order); reason != rtapi.ReasonNone {
		return refusedFor(reason)
	}
	if !order.offered {
		return answer{Outcome: rtapi.Unknown, Reason: rtapi.ReasonNotFound}
	}
	return answer{Outcome: rtapi.Done}
}

// cancel prevents an order that has not run.
func (n *naive) cancel(organisation rtid.Organisation, number int) answer {
	n.mu.Lock()
	if order := &n.orders[number]; order.owner == organisation && !order.offered {
		order.cancelled = true
	}
	n.mu.Unlock()
	return n.status(organisation, number)
}
