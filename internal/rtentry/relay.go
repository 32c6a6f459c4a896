package rtentry

import (
	"context"
	"errors"
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// attempt is the number of every offer of a draft. An offer to another target
// has an id of its own, which keeps the frames of two attempts apart.
const attempt rtid.Attempt = 1

var errCallerGone = errors.New("caller does not read any more")

// relay passes the answer of one accepted draft on to its caller.
type relay struct {
	entry        *Entry
	view         rtnode.AgentView
	request      rtid.Request
	home         rtid.Home
	organisation rtid.Organisation
	events       *events
	assembler    *rtanswer.Assembler
	first        func() // called with the first text
}

// newRelay returns the relay of an answer from the position of events on.
func (e *Entry) newRelay(view rtnode.AgentView, request rtid.Request, home rtid.Home,
	organisation rtid.Organisation, events *events) *relay {
	return &relay{
		entry:        e,
		view:         view,
		request:      request,
		home:         home,
		organisation: organisation,
		events:       events,
		assembler:    rtanswer.NewAssembler(request, attempt, events.position()),
		first:        func() {},
	}
}

// open opens the answer stream at the place where reading stopped.
func (r *relay) open(ctx context.Context) (*frames, error) {
	return r.entry.agents.answer(ctx, r.view.Address, r.request, r.organisation, r.assembler.Offset())
}

// check opens the answer stream once and returns the refusal of a read that
// the agent does not allow, before the caller's stream has started.
func (r *relay) check(ctx context.Context) *refusal {
	stream, err := r.open(ctx)
	if err != nil {
		return answerRefusal(r.request, err)
	}
	stream.close()
	return nil
}

// run relays until the answer ends. A lost stream is resumed at the same
// agent.
func (r *relay) run(ctx context.Context) result {
	pause := newBackoff()
	for {
		before := r.assembler.Offset()
		final, err := r.read(ctx)
		switch {
		case err == nil:
			return finalResult(final, r.events)
		case errors.Is(err, errCallerGone):
			return result{verdict: rtdelivery.CallerGone}
		case errors.Is(err, rtanswer.ErrCorrupt):
			r.entry.log.Error(err, "Answer damaged.", "request", r.request)
			return result{verdict: rtdelivery.Done, outcome: rtapi.Failed, reason: rtapi.ReasonIncomplete}
		}
		r.entry.log.V(1).Info("Answer stream lost.", "request", r.request, "error", err.Error())
		r.entry.metrics.Scope.Counter("streams_lost").Inc(1)
		if r.assembler.Offset() > before {
			pause.reset()
		}
		if !pause.wait(ctx) {
			return expired(ctx)
		}
		if found, ended := r.diagnose(ctx, err); ended {
			return found
		}
	}
}

// expired returns the result of a context that has ended.
func expired(ctx context.Context) result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result{verdict: rtdelivery.CallerGone}
	}
	return result{verdict: rtdelivery.Expired, reason: rtapi.ReasonDeadline}
}

// diagnose finds out whether the agent can still deliver the answer. It
// reports false if reading may go on.
func (r *relay) diagnose(ctx context.Context, cause error) (result, bool) {
	gone := result{verdict: rtdelivery.Lost, reason: rtapi.ReasonIncarnation}
	if r.gone() {
		return gone, true
	}
	reply, err := r.entry.query(ctx, r.view.Address, &rtwire.QueryRequest{
		Request:      string(r.request),
		Organisation: string(r.organisation),
		Incarnation:  uint64(r.home.Incarnation),
	})
	if err != nil {
		return gone, ctx.Err() == nil && !r.entry.alive(r.home.Target)
	}
	var refused *answerError
	switch {
	case reply.GetReason() == rtwire.Reason_REASON_INCARNATION, reply.GetOutcome() == rtwire.Outcome_OUTCOME_UNKNOWN:
		return gone, true
	case !errors.As(cause, &refused) || reply.GetOutcome() == rtwire.Outcome_OUTCOME_ACCEPTED:
		return result{}, false
	case reply.GetOutcome() == rtwire.Outcome_OUTCOME_NOT_RUN:
		return refusedBy(reasons[reply.GetReason()], reply.GetDetail()), true
	default:
		// The request has ended, and its answer is not kept.
		return result{verdict: rtdelivery.Done, outcome: rtapi.Failed, reason: rtapi.ReasonExpired}, true
	}
}

// gone reports whether the incarnation that holds the answer is known to be
// gone.
func (r *relay) gone() bool {
	return r.entry.homeGone(r.home.Target, r.home.Incarnation)
}

// read reads one answer stream until its final frame or an error.
func (r *relay) read(ctx context.Context) (*rtwire.Final, error) {
	ctx, stop := r.entry.whileHeard(ctx, r.home.Target, r.home.Incarnation)
	defer stop()
	stream, err := r.open(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.close()
	return r.copy(stream)
}

// copy moves frames through the assembler to the caller.
func (r *relay) copy(stream *frames) (*rtwire.Final, error) {
	for {
		frame, err := stream.next()
		if err != nil {
			return nil, err
		}
		r.assembler.Add(frame)
		if text := r.assembler.TakeText(); len(text) > 0 {
			if r.events.received == 0 {
				r.first()
			}
			r.events.text(text)
		}
		if r.events.err != nil {
			return nil, errCallerGone
		}
		final, complete, err := r.assembler.Final()
		switch {
		case err != nil:
			return nil, err
		case complete:
			return final, r.events.verify(final)
		}
	}
}

// finalResult returns the result of a complete answer stream. An accepted
// draft that did not run may go to another target, as one that was refused. So
// may one whose target failed: it goes on after the text that was delivered.
func finalResult(final *rtwire.Final, events *events) result {
	found := result{
		verdict: rtdelivery.Done,
		outcome: outcomeOf(final.GetOutcome()),
		reason:  reasons[final.GetReason()],
		detail:  final.GetDetail(),
		final:   final,
	}
	switch {
	case found.outcome == rtapi.NotRun && events.received == 0 && retriesElsewhere(found.reason):
		found.verdict = rtdelivery.Refused
	case found.outcome == rtapi.NotRun && events.received == 0:
		found.verdict = rtdelivery.Infeasible
	case found.outcome == rtapi.Failed && found.reason == rtapi.ReasonTarget:
		found.verdict = rtdelivery.Failed
	}
	return found
}

// answerRefusal returns the answer to a caller whose read an agent refused.
func answerRefusal(id rtid.Request, err error) *refusal {
	var refused *answerError
	if !errors.As(err, &refused) {
		return nil
	}
	switch refused.status {
	case http.StatusRequestedRangeNotSatisfiable:
		return malformed(rtapi.Finding{Field: "offset", Text: "is beyond the end of the answer"})
	case http.StatusGone, http.StatusNotFound:
		gone := notRun(http.StatusGone, rtapi.ReasonExpired, true, "the answer is not kept any more")
		gone.body.Outcome = rtapi.Failed
		gone.body.ID = string(id)
		return gone
	default:
		return notFound()
	}
}
