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

// Bounds of calls to agents. A call that takes longer counts as lost and is
// resolved by Query.
const (
	offerTimeout = 5 * time.Second // an offer may carry 8 MiB over a lossy link
	queryTimeout = 2 * time.Second
)

// result is what an exchange with one target led to.
type result struct {
	verdict  rtdelivery.AttemptOutcome
	accepted bool          // the agent has the request; there is no verdict yet
	outcome  rtapi.Outcome // for rtdelivery.Done
	reason   rtapi.Reason
	detail   string
	final    *rtwire.Final // for rtdelivery.Done; nil if the answer is not complete
}

// refusedBy returns the result of a refusal: not run, by the word of the agent
// or because nothing was sent.
func refusedBy(reason rtapi.Reason, detail string) result {
	found := result{verdict: rtdelivery.Refused, reason: reason, detail: detail}
	if !retriesElsewhere(reason) {
		found.verdict = rtdelivery.Infeasible
	}
	return found
}

// offerDraft offers a draft to one agent. A lost reply is resolved at the
// same agent, unless that agent falls silent.
func (e *Entry) offerDraft(ctx context.Context, view rtnode.AgentView, offer *rtwire.OfferRequest) result {
	heard, stop := e.whileHeard(ctx, view.Target, rtid.Incarnation(offer.GetIncarnation()))
	defer stop()
	reply, err := e.offer(heard, view.Address, offer)
	switch {
	case err == nil:
		return resultOf(reply)
	case notSent(err) && ctx.Err() == nil:
		return refusedBy(rtapi.ReasonUnreachable, "the target cannot be reached")
	}
	e.log.V(1).Info("Offer reply lost.", "request", offer.Request, "target", view.Target, "error", err.Error())
	found := e.resolveDraft(heard, view, offer)
	undecided := !found.accepted && (found.verdict == rtdelivery.Expired || found.verdict == rtdelivery.CallerGone)
	if undecided && ctx.Err() == nil {
		// A draft is safe to repeat, so it need not wait until an agent that is
		// paused or cut off answers.
		return result{verdict: rtdelivery.Lost, reason: rtapi.ReasonUnreachable, detail: "the target fell silent after the offer"}
	}
	return found
}

// offer sends one offer and takes in the status of the reply.
func (e *Entry) offer(ctx context.Context, address rtid.Address, offer *rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := e.agents.target(address).Offer(ctx, offer)
	if err != nil {
		return nil, err
	}
	e.node.HandleStatus(reply.GetStatus())
	return reply, nil
}

// query asks an agent once what it knows about a request.
func (e *Entry) query(ctx context.Context, address rtid.Address, query *rtwire.QueryRequest) (*rtwire.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return e.agents.target(address).Query(ctx, query)
}

// resultOf returns the result of an offer that was answered.
func resultOf(reply *rtwire.OfferReply) result {
	switch reply.GetOutcome() {
	case rtwire.Outcome_OUTCOME_NOT_RUN:
		return refusedBy(reasons[reply.GetReason()], reply.GetDetail())
	case rtwire.Outcome_OUTCOME_UNKNOWN:
		return result{verdict: rtdelivery.Lost, reason: reasons[reply.GetReason()], detail: reply.GetDetail()}
	default:
		return result{accepted: true}
	}
}

// resolveDraft finds out what became of an offer without a reply. It asks the
// same agent until the context ends. A ledger that does not know the draft gets
// the same offer again, which is idempotent by the request id.
func (e *Entry) resolveDraft(ctx context.Context, view rtnode.AgentView, offer *rtwire.OfferRequest) result {
	query := queryOf(offer)
	pause := newBackoff()
	for pause.wait(ctx) {
		if e.homeGone(view.Target, rtid.Incarnation(offer.GetIncarnation())) {
			return result{verdict: rtdelivery.Lost, reason: rtapi.ReasonIncarnation}
		}
		reply, err := e.query(ctx, view.Address, query)
		if err != nil {
			continue
		}
		switch {
		case neverAgain(reply.GetReason()):
			return result{verdict: rtdelivery.Lost, reason: reasons[reply.GetReason()]}
		case reply.GetOutcome() == rtwire.Outcome_OUTCOME_NOT_RUN:
			return refusedBy(reasons[reply.GetReason()], reply.GetDetail())
		case reply.GetOutcome() != rtwire.Outcome_OUTCOME_UNKNOWN:
			return result{accepted: true}
		}
		refreshRemaining(ctx, offer)
		if again, err := e.offer(ctx, view.Address, offer); err == nil {
			return resultOf(again)
		}
	}
	return expired(ctx)
}

// neverAgain reports whether an agent that does not know a request cannot
// have it later either.
func neverAgain(reason rtwire.Reason) bool {
	return reason == rtwire.Reason_REASON_INCARNATION || reason == rtwire.Reason_REASON_EXPIRED
}

// queryOf returns the query for an offer.
func queryOf(offer *rtwire.OfferRequest) *rtwire.QueryRequest {
	return &rtwire.QueryRequest{
		Request:      offer.GetRequest(),
		Organisation: offer.GetOrganisation(),
		Incarnation:  offer.GetIncarnation(),
	}
}

// homeGone reports whether a later incarnation of an agent is known, or the
// target has left the list of VMs.
func (e *Entry) homeGone(target rtid.Target, incarnation rtid.Incarnation) bool {
	view, ok := e.node.Find(target)
	if !ok {
		return true
	}
	return rtid.Incarnation(view.Status.GetIncarnation()) > incarnation
}
