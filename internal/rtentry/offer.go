package rtentry

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Timeouts of calls to agents. After a timeout the reply counts as lost, and
// Query is used to find out what happened.
const (
	offerTimeout = 5 * time.Second // an offer may carry 8 MiB over a lossy link
	queryTimeout = 2 * time.Second
)

// result is the result of one attempt at one target.
type result struct {
	attemptOutcome rtdelivery.AttemptOutcome
	accepted       bool          // the agent accepted the offer; attemptOutcome is not set yet
	outcome        rtapi.Outcome // for rtdelivery.Done
	reason         rtapi.Reason
	detail         string
	final          *rtwire.Final // for rtdelivery.Done; nil if the answer is incomplete
}

// refusedResult returns the result of an attempt that did not run, either
// because the agent refused it or because nothing was sent.
func refusedResult(reason rtapi.Reason, detail string) result {
	res := result{attemptOutcome: rtdelivery.Refused, reason: reason, detail: detail}
	if !retryableElsewhere(reason) {
		res.attemptOutcome = rtdelivery.Infeasible
	}
	return res
}

// offerDraft offers a draft to one agent. After a lost reply it asks the same
// agent what happened, until that agent is no longer alive.
func (e *Entry) offerDraft(ctx context.Context, view rtnode.AgentView, offer *rtwire.OfferRequest) result {
	liveCtx, stop := e.whileAlive(ctx, view.Target, rtid.Incarnation(offer.GetIncarnation()))
	defer stop()
	reply, err := e.offer(liveCtx, view.Address, offer)
	switch {
	case err == nil:
		return offerResult(reply)
	case notSent(err) && ctx.Err() == nil:
		return refusedResult(rtapi.ReasonUnreachable, "the target cannot be reached")
	}
	e.log.V(1).Info("Offer reply lost.", "request", offer.Request, "target", view.Target, "error", err.Error())
	res := e.resolveDraft(liveCtx, view, offer)
	undecided := !res.accepted && (res.attemptOutcome == rtdelivery.Expired || res.attemptOutcome == rtdelivery.CallerGone)
	if undecided && ctx.Err() == nil {
		// A draft is safe to repeat, so it does not wait for an agent that is
		// paused or disconnected from the network.
		return result{attemptOutcome: rtdelivery.Lost, reason: rtapi.ReasonUnreachable, detail: "the target fell silent after the offer"}
	}
	return res
}

// offer sends one offer and applies the status in the reply.
func (e *Entry) offer(ctx context.Context, address rtid.Address, offer *rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := e.agents.rpc(address).Offer(ctx, offer)
	if err != nil {
		return nil, err
	}
	e.node.HandleStatus(reply.GetStatus())
	return reply, nil
}

// query asks an agent for the state of a request, without retries.
func (e *Entry) query(ctx context.Context, address rtid.Address, query *rtwire.QueryRequest) (*rtwire.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return e.agents.rpc(address).Query(ctx, query)
}

// offerResult converts the reply to an offer.
func offerResult(reply *rtwire.OfferReply) result {
	switch reply.GetOutcome() {
	case rtwire.Outcome_OUTCOME_NOT_RUN:
		return refusedResult(reasons[reply.GetReason()], reply.GetDetail())
	case rtwire.Outcome_OUTCOME_UNKNOWN:
		return result{attemptOutcome: rtdelivery.Lost, reason: reasons[reply.GetReason()], detail: reply.GetDetail()}
	default:
		return result{accepted: true}
	}
}

// resolveDraft determines the result of an offer whose reply was lost. It
// queries the same agent until the context ends. If the agent's ledger does not
// know the draft, the same offer is sent again, which is idempotent by the
// request ID.
func (e *Entry) resolveDraft(ctx context.Context, view rtnode.AgentView, offer *rtwire.OfferRequest) result {
	query := queryOf(offer)
	retry := newBackoff()
	for retry.wait(ctx) {
		if e.incarnationEnded(view.Target, rtid.Incarnation(offer.GetIncarnation())) {
			return result{attemptOutcome: rtdelivery.Lost, reason: rtapi.ReasonIncarnation}
		}
		reply, err := e.query(ctx, view.Address, query)
		if err != nil {
			continue
		}
		switch {
		case permanentlyUnknown(reply.GetReason()):
			return result{attemptOutcome: rtdelivery.Lost, reason: reasons[reply.GetReason()]}
		case reply.GetOutcome() == rtwire.Outcome_OUTCOME_NOT_RUN:
			return refusedResult(reasons[reply.GetReason()], reply.GetDetail())
		case reply.GetOutcome() != rtwire.Outcome_OUTCOME_UNKNOWN:
			return result{accepted: true}
		}
		refreshRemaining(ctx, offer)
		if retryReply, err := e.offer(ctx, view.Address, offer); err == nil {
			return offerResult(retryReply)
		}
	}
	return contextEndResult(ctx)
}

// permanentlyUnknown reports whether an agent that does not know a request will
// never accept it either.
func permanentlyUnknown(reason rtwire.Reason) bool {
	return reason == rtwire.Reason_REASON_INCARNATION || reason == rtwire.Reason_REASON_EXPIRED
}

// queryOf returns the query for the request of an offer.
func queryOf(offer *rtwire.OfferRequest) *rtwire.QueryRequest {
	return &rtwire.QueryRequest{
		Request:      offer.GetRequest(),
		Organisation: offer.GetOrganisation(),
		Incarnation:  offer.GetIncarnation(),
	}
}

// incarnationEnded reports whether a later incarnation of the agent is known, or
// the target is no longer in the list of VMs.
func (e *Entry) incarnationEnded(target rtid.Target, incarnation rtid.Incarnation) bool {
	view, ok := e.node.Find(target)
	if !ok {
		return true
	}
	return rtid.Incarnation(view.Status.GetIncarnation()) > incarnation
}
