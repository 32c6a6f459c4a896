package rtentry

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// maxRetries is the number of further targets that a refused draft is offered
// to.
const maxRetries = 2

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
}

// postDraft serves POST /v1/drafts.
func (e *Entry) postDraft(x *exchange) *refusal {
	body, refused := readBody(x.w, x.r, maxDraftBody)
	if refused != nil {
		return refused
	}
	decoded, refused := decodeDraft(body, time.Duration(e.settings.Longest))
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
	delivery := &delivery{entry: e, draft: d, events: newEvents(x.w, 0, d.deadline)}
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

// delivery is the state of a draft from the first offer to its end.
type delivery struct {
	entry   *Entry
	draft   *draft
	events  *events
	tried   []rtid.Target // targets that have refused or lost the draft
	attempt rtid.Attempt
	retries int
	moved   bool // an accepted draft has been offered to another target
}

// run offers the draft until it has an end.
func (d *delivery) run(ctx context.Context) *refusal {
	for {
		view, ok := d.entry.choose(d.draft, d.tried)
		if !ok {
			return d.end(rtapi.NotRun, rtapi.ReasonCapacity, "no target can take the request now")
		}
		d.tried = append(d.tried, view.Target)
		d.attempt++
		request := rtid.NewRequest(homeOf(view, rtid.KindDraft, d.draft.organisation.Name))
		result := d.entry.offerDraft(ctx, view, d.offerOf(request, view))
		if result.verdict == verdictAccepted {
			d.events.start(request)
			result = d.entry.relay(ctx, view, request, d.draft.organisation.Name, d.events, d.observeFirst)
		}
		if done, refused := d.settle(result); done {
			return refused
		}
	}
}

// settle decides what follows the result of one target. It reports whether
// the draft has ended.
func (d *delivery) settle(result result) (bool, *refusal) {
	switch result.verdict {
	case verdictFinal:
		d.events.end(result.outcome, result.reason, result.final)
		return true, nil
	case verdictCallerGone:
		return true, nil
	case verdictRefused:
		if d.mayRetry(result.reason) {
			return false, nil
		}
		return true, d.end(rtapi.NotRun, result.reason, result.detail)
	case verdictGone:
		if !d.moved {
			d.moved = true
			return false, nil
		}
		return true, d.end(rtapi.Failed, rtapi.ReasonIncarnation, "two targets were lost")
	default:
		return true, d.end(rtapi.Unknown, rtapi.ReasonDeadline, "the time limit was reached")
	}
}

// mayRetry reports whether a refused draft may be offered to another target.
func (d *delivery) mayRetry(reason rtapi.Reason) bool {
	if !retriesElsewhere(reason) || d.retries == maxRetries {
		return false
	}
	d.retries++
	return true
}

// retriesElsewhere reports whether another target may accept what one refused.
func retriesElsewhere(reason rtapi.Reason) bool {
	switch reason {
	case rtapi.ReasonPlan, rtapi.ReasonConflict, rtapi.ReasonMalformed, rtapi.ReasonCancelled, rtapi.ReasonExpired:
		return false
	default:
		return true
	}
}

// end ends the draft without a final frame. Text that was delivered shows that
// the draft had started.
func (d *delivery) end(outcome rtapi.Outcome, reason rtapi.Reason, detail string) *refusal {
	if d.events.received > 0 {
		outcome = rtapi.Failed
	}
	if d.events.started {
		d.events.end(outcome, reason, nil)
		return nil
	}
	status := http.StatusServiceUnavailable
	switch reason {
	case rtapi.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case rtapi.ReasonPlan:
		status = http.StatusForbidden
	case rtapi.ReasonMalformed:
		status = http.StatusBadRequest
	}
	refused := notRun(status, reason, draftRetry(reason), detail)
	refused.body.Outcome = outcome
	return refused
}

// draftRetry reports whether a draft may be sent again. Drafts have no side
// effect, so that only a refusal for good speaks against it.
func draftRetry(reason rtapi.Reason) bool {
	return retriesElsewhere(reason)
}

// offerOf returns the offer of the draft to a target, with what has been
// delivered already.
func (d *delivery) offerOf(request rtid.Request, view rtnode.View) *rtwire.OfferRequest {
	offer := &rtwire.OfferRequest{
		Request:      string(request),
		Attempt:      uint32(d.attempt),
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
func homeOf(view rtnode.View, kind rtid.Kind, organisation rtid.Organisation) rtid.Home {
	return rtid.Home{
		Kind:        kind,
		Target:      view.Target,
		Incarnation: rtid.Incarnation(view.Status.GetIncarnation()),
		Epoch:       rtid.Epoch(view.Status.GetEpoch()),
		Digest:      rtid.DigestOf(organisation),
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
	deadline := x.arrived.Add(time.Duration(e.settings.Longest))
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
	events.start(x.id)
	result := e.relay(ctx, known.view, x.id, x.organisation.Name, events, func() {})
	switch result.verdict {
	case verdictFinal:
		events.end(result.outcome, result.reason, result.final)
	case verdictGone:
		events.end(rtapi.Failed, rtapi.ReasonIncarnation, nil)
	case verdictExpired:
		events.end(rtapi.Unknown, rtapi.ReasonDeadline, nil)
	}
	return nil
}
