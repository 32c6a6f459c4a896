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

// draftLimits limits the attempts of a draft: up to two more targets after
// refusals, and one more after a target was lost or failed.
var draftLimits = rtdelivery.Limits{MaxAttempts: 4, MaxRefusals: 2, MaxLosses: 1, Repeatable: true}

// draft is a drafting request with the values that the filters set.
type draft struct {
	*exchange
	draftBody
	tokens   rtid.Tokens // estimate of the prompt
	class    rtid.Class
	deadline time.Time
}

// draftFilters are the steps between decoding and placement of a draft, in
// order. Each may refuse the draft.
var draftFilters = []func(*Entry, *draft) *refusal{
	(*Entry).filterReady,
	(*Entry).filterPlan,
	(*Entry).filterClass,
	(*Entry).filterLimit,
	(*Entry).filterOrganisation,
	(*Entry).filterFeasible,
}

// postDraft serves POST /v1/drafts.
func (e *Entry) postDraft(x *exchange) *refusal {
	body, release, refused := e.readBody(x.w, x.r, maxDraftBody)
	if refused != nil {
		return refused
	}
	// The prompt is kept until the draft ends, for an offer to another target.
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
	e.runningDrafts.Add(1)
	defer e.runningDrafts.Add(-1)
	delivery := &delivery{
		entry:    e,
		draft:    d,
		events:   newEventStream(x.w, 0, d.deadline),
		balancer: e.balancer(d.service),
		attempts: rtdelivery.AttemptState{Limits: draftLimits},
	}
	return delivery.run(ctx)
}

// filterReady refuses drafts before the entry is ready. A draining entry still
// serves drafts that arrive before its listener closes.
func (e *Entry) filterReady(_ *draft) *refusal {
	if !e.ready.Load() && !e.draining.Load() {
		return notRun(http.StatusServiceUnavailable, rtapi.ReasonNotReady, true, "this entry has not started to serve")
	}
	return nil
}

// filterPlan refuses a service that the organisation may not use for drafts.
func (e *Entry) filterPlan(d *draft) *refusal {
	return d.checkPlan(d.service, rtdocument.KindDraft)
}

// filterClass estimates the prompt's tokens and sets its length class.
func (e *Entry) filterClass(d *draft) *refusal {
	d.tokens = rtid.EstimateTokens(rtid.Bytes(len(d.prompt)))
	d.class = rtid.ClassOf(d.tokens)
	return nil
}

// filterLimit sets the deadline and refuses a draft that has passed it. The time
// limit runs from the end of the header, so a slow body does not extend it.
func (e *Entry) filterLimit(d *draft) *refusal {
	d.deadline = d.arrived.Add(d.limit)
	if !time.Now().Before(d.deadline) {
		return notRun(http.StatusGatewayTimeout, rtapi.ReasonDeadline, true, "the time limit was over when the body had arrived")
	}
	return nil
}

// filterOrganisation applies the rate limit of the organisation.
func (e *Entry) filterOrganisation(d *draft) *refusal {
	return e.checkOrganisation(d.exchange, d.service)
}

// filterFeasible refuses a draft that no target could answer in time, even
// without other load. Its offers would only use network round trips and the
// retry budget.
func (e *Entry) filterFeasible(d *draft) *refusal {
	if e.balancer(d.service).feasible(d) {
		return nil
	}
	return notRun(http.StatusGatewayTimeout, rtapi.ReasonDeadline, false,
		"no target can read the prompt within the time limit; send it again with a longer limit")
}

// delivery runs the attempts of one draft. It implements
// rtdelivery.AttemptRunner.
type delivery struct {
	entry      *Entry
	draft      *draft
	events     *eventStream
	balancer   *balancer
	attempts   rtdelivery.AttemptState
	placement  placement     // of the current attempt
	tried      []rtid.Target // targets selected so far
	lastResult result        // of the last attempt
}

// run makes attempts until the draft ends, and writes the end event or returns
// the refusal.
func (d *delivery) run(ctx context.Context) *refusal {
	d.entry.limits.recordFirstOffer()
	d.lastResult = result{reason: rtapi.ReasonCapacity, detail: "no target can take the request now"}
	switch d.attempts.Run(ctx, d) {
	case rtdelivery.Answered:
		if d.lastResult.attemptOutcome == rtdelivery.CallerGone {
			d.entry.countDraftEnd(rtapi.Unknown, rtapi.ReasonCancelled)
			return nil
		}
		d.entry.countDraftEnd(d.lastResult.outcome, d.lastResult.reason)
		d.events.sendEnd(d.lastResult.outcome, d.lastResult.reason, d.lastResult.final)
		return nil
	case rtdelivery.RetryBudgetExhausted:
		d.lastResult.detail = "the retry budget is used up after a refusal: " + string(d.lastResult.reason)
		d.lastResult.reason = rtapi.ReasonBudget
	}
	return d.endWithoutFinal()
}

// SelectTarget selects the target of the next attempt.
func (d *delivery) SelectTarget(context.Context) bool {
	var ok bool
	d.placement, ok = d.balancer.choose(d.draft, d.tried)
	if ok {
		d.tried = append(d.tried, d.placement.view.Target)
	}
	return ok
}

// Attempt offers the draft to the selected target and relays the answer.
func (d *delivery) Attempt(ctx context.Context) rtdelivery.AttemptOutcome {
	d.lastResult = d.offerAndRelay(ctx, d.placement)
	return d.lastResult.attemptOutcome
}

// TakeRetry takes a retry from the budget after a refusal. A draft whose target
// was lost or failed is moved to another target without using the budget,
// because it has been admitted; draftLimits allows this once.
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

// offerAndRelay offers the draft to one target and relays the answer.
func (d *delivery) offerAndRelay(ctx context.Context, p placement) result {
	organisation := d.draft.organisation.Name
	home := homeOf(p.view, rtid.KindDraft, organisation)
	request := rtid.NewRequest(home)
	offered := d.entry.offerDraft(ctx, p.view, d.offerOf(request, p.view))
	if !offered.accepted {
		p.markRefused()
		return offered
	}
	p.markAccepted()
	defer p.markEnded()
	d.events.sendStart(request)
	relay := d.entry.newRelay(p.view, request, home, organisation, d.events)
	relay.onFirstText = d.observeFirstToken
	return relay.run(ctx)
}

// retryableElsewhere reports whether another target may accept a request that
// one target refused for this reason.
func retryableElsewhere(reason rtapi.Reason) bool {
	switch reason {
	case rtapi.ReasonPlan, rtapi.ReasonConflict, rtapi.ReasonMalformed, rtapi.ReasonCancelled, rtapi.ReasonNotFound:
		return false
	default:
		return true
	}
}

// callerOutcome returns the outcome to report for a draft without a final frame.
// A draft has failed if a target reported so, if part of its text was delivered,
// or if a target accepted it and was then lost, because it is then assumed to
// have started.
func (d *delivery) callerOutcome() rtapi.Outcome {
	outcome := d.attempts.Outcome()
	switch {
	case outcome == rtdelivery.RanAndFailed, d.events.received > 0:
		return rtapi.Failed
	case outcome == rtdelivery.NotRun:
		return rtapi.NotRun
	case d.events.started && d.lastResult.attemptOutcome != rtdelivery.Expired:
		return rtapi.Failed
	default:
		return rtapi.Unknown
	}
}

// endWithoutFinal ends a draft that has no final frame: with the end event if
// the stream has started, else with a refusal.
func (d *delivery) endWithoutFinal() *refusal {
	outcome, last := d.callerOutcome(), d.lastResult
	d.entry.countDraftEnd(outcome, last.reason)
	if d.events.started {
		d.events.sendEnd(outcome, last.reason, nil)
		return nil
	}
	refused := notRun(draftStatus(last.reason), last.reason, draftRetryable(last.reason), last.detail)
	refused.body.Outcome = outcome
	if refused.body.Retry {
		refused.retryAfter = defaultRetryAfter
	}
	return refused
}

// draftStatus returns the HTTP status of a draft that ended before its stream
// started.
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

// draftRetryable reports whether the caller may send a draft again. Drafts have
// no side effects, so only a permanent refusal rules it out.
func draftRetryable(reason rtapi.Reason) bool {
	return retryableElsewhere(reason)
}

// offerOf builds the offer of the draft to a target. It includes the answer text
// that was delivered by earlier attempts.
func (d *delivery) offerOf(request rtid.Request, view rtnode.AgentView) *rtwire.OfferRequest {
	offer := &rtwire.OfferRequest{
		Request:      string(request),
		Attempt:      uint32(draftAttempt),
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
	if prefix := d.events.truncateToSent(); len(prefix) > 0 {
		offer.Prefix = prefix
		offer.Offset = int64(rtid.EstimateTokens(rtid.Bytes(len(prefix))))
	}
	return offer
}

// homeOf returns the home of a request that is offered to the agent's current
// incarnation.
func homeOf(view rtnode.AgentView, kind rtid.Kind, organisation rtid.Organisation) rtid.Home {
	return rtid.Home{
		Kind:             kind,
		Target:           view.Target,
		Incarnation:      rtid.Incarnation(view.Status.GetIncarnation()),
		Epoch:            rtid.Epoch(view.Status.GetEpoch()),
		OrganisationHash: rtid.HashOrganisation(organisation),
	}
}

// getDraft serves GET /v1/drafts/{id}: the answer from a byte offset.
func (e *Entry) getDraft(x *exchange) *refusal {
	home, refused := x.homeFromPath(rtid.KindDraft)
	if refused != nil {
		return refused
	}
	offset, refused := x.offsetParam()
	if refused != nil {
		return refused
	}
	// The agent enforces the draft's own time limit, which is at most MaxTimeLimit.
	deadline := x.arrived.Add(time.Duration(e.settings.MaxTimeLimit))
	ctx, cancel := context.WithDeadline(x.r.Context(), deadline)
	defer cancel()
	reported, refused := e.queryHome(ctx, x, home)
	if refused != nil {
		return refused
	}
	if reported.outcome == rtwire.Outcome_OUTCOME_NOT_RUN {
		return notRun(http.StatusServiceUnavailable, reported.reason, draftRetryable(reported.reason), "the draft did not run")
	}
	events := newEventStream(x.w, offset, deadline)
	relay := e.newRelay(reported.view, x.id, home, x.organisation.Name, events)
	if refused := relay.checkReadable(ctx); refused != nil {
		return refused
	}
	events.sendStart(x.id)
	res := relay.run(ctx)
	switch res.attemptOutcome {
	case rtdelivery.Done, rtdelivery.Refused, rtdelivery.Infeasible:
		events.sendEnd(res.outcome, res.reason, res.final)
	case rtdelivery.Lost, rtdelivery.Failed:
		events.sendEnd(rtapi.Failed, res.reason, res.final)
	case rtdelivery.Expired:
		events.sendEnd(rtapi.Unknown, rtapi.ReasonDeadline, nil)
	}
	return nil
}
