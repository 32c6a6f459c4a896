package rtentry

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// orderHome calls the home of one order: the only agent incarnation that may
// run it. All calls about the order go through it to one address, so an order
// cannot be sent to two targets.
type orderHome struct {
	entry        *Entry
	request      rtid.Request
	home         rtid.Home
	organisation rtid.Organisation
	view         rtnode.AgentView
}

// postOrder serves POST /v1/orders: it returns a new ID and runs nothing.
func (e *Entry) postOrder(x *exchange) *refusal {
	body, release, refused := e.readBody(x.w, x.r, maxSmallBody)
	if refused != nil {
		return refused
	}
	defer release()
	service, refused := decodeService(body)
	if refused != nil {
		return refused
	}
	if refused := x.checkPlan(service, rtdocument.KindOrder); refused != nil {
		return refused
	}
	view, ok := e.balancer(service).chooseHome()
	if !ok {
		return notRun(http.StatusServiceUnavailable, rtapi.ReasonCapacity, true, "no target of the service can take an order now")
	}
	id := rtid.NewRequest(homeOf(view, rtid.KindOrder, x.organisation.Name))
	writeJSON(x.w, http.StatusCreated, rtapi.OrderID{ID: string(id)})
	return nil
}

// putOrder serves PUT /v1/orders/{id}: it runs the order at its home.
func (e *Entry) putOrder(x *exchange) *refusal {
	limit, refused := e.orderLimit(x)
	if refused != nil {
		return refused
	}
	home, refused := e.orderHomeOf(x)
	if refused != nil {
		return refused
	}
	if refused := x.checkPlan(home.view.Service, rtdocument.KindOrder); refused != nil {
		return refused
	}
	if refused := e.checkOrganisation(x, home.view.Service); refused != nil {
		return refused
	}
	body, release, refused := e.readBody(x.w, x.r, maxOrderBody)
	if refused != nil {
		return refused
	}
	defer release()
	ctx, cancel := context.WithDeadline(x.r.Context(), x.arrived.Add(limit))
	defer cancel()
	if ctx.Err() != nil {
		return notRun(http.StatusGatewayTimeout, rtapi.ReasonDeadline, true, "the time limit was over when the body had arrived")
	}
	reply := home.run(ctx, home.offerOf(x, body))
	return writeOrder(x, reply)
}

// orderLimit parses the query parameter limit, the time limit of an order.
func (e *Entry) orderLimit(x *exchange) (time.Duration, *refusal) {
	var f fields
	text := x.r.URL.Query().Get("limit")
	limit := f.parseLimit(text, time.Duration(e.settings.MaxTimeLimit))
	if len(f.findings) > 0 {
		return 0, malformed(f.findings...)
	}
	return limit, nil
}

// orderHomeOf returns the home named by the ID in the path.
func (e *Entry) orderHomeOf(x *exchange) (*orderHome, *refusal) {
	home, refused := x.homeFromPath(rtid.KindOrder)
	if refused != nil {
		return nil, refused
	}
	view, ok := e.node.Find(home.Target)
	if !ok {
		return nil, unreachable(x.id)
	}
	return &orderHome{entry: e, request: x.id, home: home, organisation: x.organisation.Name, view: view}, nil
}

// unreachable returns the refusal for a request whose home does not answer.
func unreachable(id rtid.Request) *refusal {
	refused := notRun(http.StatusGatewayTimeout, rtapi.ReasonUnreachable, true,
		"the home of the request does not answer; ask again with the same id")
	refused.body.Outcome = rtapi.Unknown
	refused.body.ID = string(id)
	return refused
}

// offerOf builds the offer of the order to its home.
func (h *orderHome) offerOf(x *exchange, body []byte) *rtwire.OfferRequest {
	return &rtwire.OfferRequest{
		Request:      string(h.request),
		Attempt:      1,
		Organisation: string(h.organisation),
		Service:      string(h.view.Service),
		Kind:         rtwire.Kind_KIND_ORDER,
		Body:         body,
		Tokens:       int64(rtid.EstimateTokens(rtid.Bytes(len(body)))),
		Version:      uint64(x.version),
		Incarnation:  uint64(h.home.Incarnation),
		Sender:       h.entry.node.Status(),
	}
}

// run offers the order to its home and polls until the order has ended. After
// a lost reply it asks with Query. It repeats the offer only while the home
// does not know the ID, and the home runs an ID at most once. It returns nil
// if the home reported no final outcome within the time limit.
func (h *orderHome) run(ctx context.Context, offer *rtwire.OfferRequest) *rtwire.QueryReply {
	query := queryOf(offer)
	retry := newBackoff()
	send := true
	for {
		if send {
			refreshRemaining(ctx, offer)
			reply, err := h.entry.offer(ctx, h.view.Address, offer)
			if err == nil && isFinal(reply.GetOutcome(), reply.GetReason()) &&
				reply.GetOutcome() != rtwire.Outcome_OUTCOME_DONE {
				return &rtwire.QueryReply{Outcome: reply.GetOutcome(), Reason: reply.GetReason(), Detail: reply.GetDetail()}
			}
		}
		reply, err := h.entry.query(ctx, h.view.Address, query)
		if err == nil && isFinal(reply.GetOutcome(), reply.GetReason()) {
			return reply
		}
		send = err == nil && reply.GetOutcome() == rtwire.Outcome_OUTCOME_UNKNOWN
		if !retry.wait(ctx) {
			return nil
		}
	}
}

// isFinal reports whether the outcome that an agent reported for an order can
// no longer change.
func isFinal(outcome rtwire.Outcome, reason rtwire.Reason) bool {
	switch outcome {
	case rtwire.Outcome_OUTCOME_ACCEPTED:
		return false
	case rtwire.Outcome_OUTCOME_UNKNOWN:
		return reason != rtwire.Reason_REASON_NONE
	default:
		return true
	}
}

// writeOrder writes the result of an order, or returns the refusal if it is
// not done. A nil reply means that the time limit ended first.
func writeOrder(x *exchange, reply *rtwire.QueryReply) *refusal {
	if reply == nil {
		refused := unreachable(x.id)
		refused.body.Reason = rtapi.ReasonDeadline
		refused.body.Detail = "the order had no end within the time limit; ask again with the same id"
		return refused
	}
	if reply.GetOutcome() == rtwire.Outcome_OUTCOME_DONE {
		writeJSON(x.w, http.StatusOK, statusOf(x.id, reply))
		return nil
	}
	return orderRefusal(x.id, reply)
}

// orderRefusal returns the refusal for an order whose outcome is not done.
func orderRefusal(id rtid.Request, reply *rtwire.QueryReply) *refusal {
	reason := reasons[reply.GetReason()]
	refused := notRun(http.StatusServiceUnavailable, reason, orderRetryable(reply), reply.GetDetail())
	refused.body.ID = string(id)
	refused.body.Outcome = outcomeOf(reply.GetOutcome())
	refused.body.Detail = joinDetail(reply.GetDetail(), orderAdvice(refused.body.Outcome, refused.body.Retry))
	switch {
	case reason == rtapi.ReasonConflict:
		refused.status = http.StatusConflict
	case reason == rtapi.ReasonPlan:
		refused.status = http.StatusForbidden
	case reason == rtapi.ReasonMalformed:
		refused.status = http.StatusBadRequest
	case refused.body.Outcome == rtapi.Unknown:
		refused.status = http.StatusGatewayTimeout
	case refused.body.Outcome == rtapi.Failed:
		refused.status = http.StatusBadGateway
	}
	return refused
}

// orderRetryable reports whether a retry is safe and can succeed. An order
// that did not run has a tombstone at its home, so the retry needs a new ID.
// An unknown order may be repeated with the same ID while its home can still
// receive the result. An order that failed, or whose record is lost, never
// runs under its ID again.
func orderRetryable(reply *rtwire.QueryReply) bool {
	switch reply.GetOutcome() {
	case rtwire.Outcome_OUTCOME_NOT_RUN:
		return retryableElsewhere(reasons[reply.GetReason()])
	case rtwire.Outcome_OUTCOME_UNKNOWN:
		return reply.GetReason() == rtwire.Reason_REASON_DEADLINE
	default:
		return false
	}
}

// orderAdvice returns the text that tells a caller how to proceed with an order
// that is not done.
func orderAdvice(outcome rtapi.Outcome, retry bool) string {
	switch {
	case outcome == rtapi.NotRun && retry:
		return "it did not run; send it again with a new id"
	case outcome == rtapi.NotRun:
		return "this request ran nothing"
	case outcome == rtapi.Unknown && retry:
		return "it may have run; ask again with the same id"
	case outcome == rtapi.Unknown:
		return "it may have run and is never run again under this id; check with the service before you send it with a new id"
	default:
		return "it has started and failed; check with the service before you send it with a new id"
	}
}

// joinDetail returns the agent's detail followed by the advice.
func joinDetail(detail, advice string) string {
	if detail == "" {
		return advice
	}
	return detail + "; " + advice
}
