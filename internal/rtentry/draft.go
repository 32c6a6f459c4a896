package rtentry

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// draftLimits bound the offers of a draft: to two further targets after
// refusals, and to one after the loss of a target that had accepted it.
var draftLimits = rtdelivery.Limits{MaxAttempts: 4, MaxRefusals: 2, MaxLosses: 1, Repeatable: true}

// draft is a drafting request on its way through the filters.
type draft struct {
	*exchange
	draftBody
	tokens   rtid.Tokens // estimate of the prompt
	class    rtid.Class
	deadline time.Time
}

// draftFilters are the checks between the decoded request and the choice of a
// target, in order.
var draftFilters = []func(*Entry, *draft) *refusal{
	(*Entry).filterReady,
	(*Entry).filterPlan,
	(*Entry).filterClass,
	(*Entry).filterLimit,
	(*Entry).filterOrganisation,
	(*Entry).filterPossible,
}

// postDraft serves POST /v1/drafts.
func (e *Entry) postDraft(x *exchange) *refusal {
	body, release, refused := e.readBody(x.w, x.r, maxDraftBody)
	if refused != nil {
		return refused
	}
	// The prompt is kept until the end, for an offer to another target.
	defer release()
	decoded, refused := decodeDraft(body, time.Duration(e.settings.MaxTimeLimit))
	if refused != nil {
		return refused
	}
	d := &draft{exchange: x, draftBody: decoded}
	for _, filter := range draftFilters {
		if refused := filter(e, d); refused != nil {
			return refused
		}
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), d.deadline)
	defer cancel()
	e.drafts.Add(1)
	defer e.drafts.Add(-1)
	delivery := &delivery{
		entry:    e,
		draft:    d,
		events:   newEvents(x.w, 0, d.deadline),
		balancer: e.balancer(d.service),
		course:   rtdelivery.AttemptState{Limits: draftLimits},
	}
	return delivery.run(ctx)
}

// filterReady refuses requests before the entry has started to serve.
func (e *Entry) filterReady(_ *draft) *refusal {
	if !e.ready.Load() && !e.leaving.Load() {
		return notRun(http.StatusServiceUnavailable, rtapi.ReasonNotReady, true, "this entry has not started to serve")
	}
	return nil
}

// filterPlan checks the plan.
func (e *Entry) filterPlan(d *draft) *refusal {
	return d.checkPlan(d.service, rtdocument.KindDraft)
}

// filterClass classifies the prompt by its length.
func (e *Entry) filterClass(d *draft) *refusal {
	d.tokens = rtid.EstimateTokens(rtid.Bytes(len(d.prompt)))
	d.class = rtid.ClassOf(d.tokens)
	return nil
}

// filterLimit sets the deadline. The time limit runs from the end of the
// header, so that a slow body does not extend it.
func (e *Entry) filterLimit(d *draft) *refusal {
	d.deadline = d.arrived.Add(d.limit)
	if !time.Now().Before(d.deadline) {
		return notRun(http.StatusGatewayTimeout, rtapi.ReasonDeadline, true, "the time limit was over when the body had arrived")
	}
	return nil
}

// filterOrganisation checks the limit of the organisation.
func (e *Entry) filterOrganisation(d *draft) *refusal {
	return e.checkOrganisation(d.exchange, d.service)
}

// filterPossible refuses what no target could answer in time without any other
// work. An offer would only cost the way there and the retry budget.
func (e *Entry) filterPossible(d *draft) *refusal {
	if e.balancer(d.service).possible(d) {
		return nil
	}
	return notRun(http.StatusGatewayTimeout, rtapi.ReasonDeadline, false,
		"no target can read the prompt within the time limit; send it again with a longer limit")
}

// delivery is the state of a draft from the first offer to its end.
type delivery struct {
	entry    *Entry
	draft    *draft
	events   *events
	balancer *balancer
	course   rtdelivery.AttemptState
	place    placement     // of the offer that runs
	tried    []rtid.Target // targets that have refused or lost the draft
	last     result        // of the last offer
}

// run offers the draft until it has an end.
func (d *delivery) run(ctx context.Context) *refusal {
	d.entry.limits.offer()
	d.last = result{reason: rtapi.ReasonCapacity, detail: "no target can take the request now"}
	switch d.course.Run(ctx, d) {
	case rtdelivery.Answered:
		if d.last.verdict == rtdelivery.CallerGone {
			d.entry.countEnd(rtapi.Unknown, rtapi.ReasonCancelled)
			return nil
		}
		d.entry.countEnd(d.last.outcome, d.last.reason)
		d.events.end(d.last.outcome, d.last.reason, d.last.final)
		return nil
	case rtdelivery.RetryBudgetExhausted:
		d.last.detail = "the retry budget is used up after a refusal: " + string(d.last.reason)
		d.last.reason = rtapi.ReasonBudget
	}
	return d.end()
}

// Choose chooses the target of the next offer.
func (d *delivery) SelectTarget(context.Context) bool {
	var ok bool
	d.place, ok = d.balancer.choose(d.draft, d.tried)
	if ok {
		d.tried = append(d.tried, d.place.view.Target)
	}
	return ok
}

// Offer offers the draft to the chosen target and relays the answer.
func (d *delivery) Attempt(ctx context.Context) rtdelivery.AttemptOutcome {
	d.last = d.try(ctx, d.place)
	return d.last.verdict
}

// Spend takes a retry after a refusal from the budget. A draft that has lost
// its target is moved once, which needs no budget: it has been admitted.
func (d *delivery) TakeRetry(after rtdelivery.AttemptOutcome) bool {
	if after != rtdelivery.Refused {
		d.entry.metrics.Scope.Counter("moves").Inc(1)
		return true
	}
	if !d.entry.limits.takeRetry() {
		return false
	}
	d.entry.metrics.Scope.Counter("retries").Inc(1)
	return true
}

// try offers the draft to one target and relays the answer.
func (d *delivery) try(ctx context.Context, place placement) result {
	organisation := d.draft.organisation.Name
	home := homeOf(place.view, rtid.KindDraft, organisation)
	request := rtid.NewRequest(home)
	offered := d.entry.offerDraft(ctx, place.view, d.offerOf(request, place.view))
	if !offered.accepted {
		place.refused()
		return offered
	}
	place.accepted()
	defer place.ended()
	d.events.start(request)
	relay := d.entry.newRelay(place.view, request, home, organisation, d.events)
	relay.first = d.observeFirst
	return relay.run(ctx)
}

// retriesElsewhere reports whether another target may accept what one refused.
func retriesElsewhere(reason rtapi.Reason) bool {
	switch reason {
	case rtapi.ReasonPlan, rtapi.ReasonConflict, rtapi.ReasonMalformed, rtapi.ReasonCancelled, rtapi.ReasonNotFound:
		return false
	default:
		return true
	}
}

// outcome returns what the caller is told of a draft without a final frame.
// Text that was delivered shows that the draft had started, and so does a
// target that accepted it and is lost.
func (d *delivery) outcome() rtapi.Outcome {
	outcome := d.course.Outcome()
	switch {
	case outcome == rtdelivery.RanAndFailed, d.events.received > 0:
		return rtapi.Failed
	case outcome == rtdelivery.NotRun:
		return rtapi.NotRun
	case d.events.started && d.last.verdict != rtdelivery.Expired:
		return rtapi.Failed
	default:
		return rtapi.Unknown
	}
}

// end ends the draft without a final frame.
func (d *delivery) end() *refusal {
	outcome, found := d.outcome(), d.last
	d.entry.countEnd(outcome, found.reason)
	if d.events.started {
		d.events.end(outcome, found.reason, nil)
		return nil
	}
	refused := notRun(draftStatus(found.reason), found.reason, draftRetry(found.reason), found.detail)
	refused.body.Outcome = outcome
	if refused.body.Retry {
		refused.after = retryAfter
	}
	return refused
}

// draftStatus returns the HTTP status of a draft that ended before its stream.
func draftStatus(reason rtapi.Reason) int {
	switch reason {
	case rtapi.ReasonDeadline:
		return http.StatusGatewayTimeout
	case rtapi.ReasonPlan:
		return http.StatusForbidden
	case rtapi.ReasonMalformed:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// draftRetry reports whether a draft may be sent again. Drafts have no side
// effect, so that only a refusal for good speaks against it.
func draftRetry(reason rtapi.Reason) bool {
	return retriesElsewhere(reason)
}

// offerOf returns the offer of the draft to a target, with what has been
// delivered already.
func (d *delivery) offerOf(request rtid.Request, view rtnode.AgentView) *rtwire.OfferRequest {
	offer := &rtwire.OfferRequest{
		Request:      string(request),
		Attempt:      uint32(attempt),
		Organisation: string(d.draft.organisation.Name),
		Service:      string(d.draft.service),
		Kind:         rtwire.Kind_KIND_DRAFT,
		Body:         d.draft.prompt,
		Tokens:       int64(d.draft.tokens),
		Output:       int64(d.draft.output),
		Remaining:    durationpb.New(time.Until(d.draft.deadline)),
		Priority:     uint32(d.draft.class),
		Version:      uint64(d.draft.version),
		Incarnation:  view.Status.GetIncarnation(),
		Sender:       d.entry.node.Status(),
	}
	if prefix := d.events.cut(); len(prefix) > 0 {
		offer.Prefix = prefix
		offer.Offset = int64(rtid.EstimateTokens(rtid.Bytes(len(prefix))))
	}
	return offer
}

// homeOf returns the home that an agent is for a request of an organisation.
func homeOf(view rtnode.AgentView, kind rtid.Kind, organisation rtid.Organisation) rtid.Home {
	return rtid.Home{
		Kind:             kind,
		Target:           view.Target,
		Incarnation:      rtid.Incarnation(view.Status.GetIncarnation()),
		Epoch:            rtid.Epoch(view.Status.GetEpoch()),
		OrganisationHash: rtid.HashOrganisation(organisation),
	}
}

// getDraft serves GET /v1/drafts/{id}: the answer from an offset on.
func (e *Entry) getDraft(x *exchange) *refusal {
	home, refused := x.home(rtid.KindDraft)
	if refused != nil {
		return refused
	}
	offset, refused := x.offset()
	if refused != nil {
		return refused
	}
	// The agent knows the draft's own time limit, which is not longer.
	deadline := x.arrived.Add(time.Duration(e.settings.MaxTimeLimit))
	ctx, cancel := context.WithDeadline(x.r.Context(), deadline)
	defer cancel()
	known, refused := e.queryHome(ctx, x, home)
	if refused != nil {
		return refused
	}
	if known.outcome == rtwire.Outcome_OUTCOME_NOT_RUN {
		return notRun(http.StatusServiceUnavailable, known.reason, draftRetry(known.reason), "the draft did not run")
	}
	events := newEvents(x.w, offset, deadline)
	relay := e.newRelay(known.view, x.id, home, x.organisation.Name, events)
	if refused := relay.check(ctx); refused != nil {
		return refused
	}
	events.start(x.id)
	found := relay.run(ctx)
	switch found.verdict {
	case rtdelivery.Done, rtdelivery.Refused, rtdelivery.Infeasible:
		events.end(found.outcome, found.reason, found.final)
	case rtdelivery.Lost, rtdelivery.Failed:
		events.end(rtapi.Failed, found.reason, found.final)
	case rtdelivery.Expired:
		events.end(rtapi.Unknown, rtapi.ReasonDeadline, nil)
	}
	return nil
}
