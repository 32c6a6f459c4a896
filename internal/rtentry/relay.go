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

// draftAttempt is the attempt number in every offer of a draft. Each offer to
// another target has its own request ID, so frames of two attempts cannot be
// confused.
const draftAttempt rtid.Attempt = 1

// errEventNotWritten means that the caller has disconnected or does not read.
var errEventNotWritten = errors.New("event could not be written to the caller")

// relay copies the answer of one accepted draft to its caller.
type relay struct {
	entry        *Entry
	view         rtnode.AgentView
	request      rtid.Request
	home         rtid.Home
	organisation rtid.Organisation
	events       *eventStream
	assembler    *rtanswer.Assembler
	onFirstText  func() // called before the first text is written
}

// newRelay returns a relay that starts at the next offset of events.
func (e *Entry) newRelay(view rtnode.AgentView, request rtid.Request, home rtid.Home,
	organisation rtid.Organisation, events *eventStream) *relay {
	return &relay{
		entry:        e,
		view:         view,
		request:      request,
		home:         home,
		organisation: organisation,
		events:       events,
		assembler:    rtanswer.NewAssembler(request, draftAttempt, events.nextOffset()),
		onFirstText:  func() {},
	}
}

// open opens the answer stream at the offset up to which it has been read.
func (r *relay) open(ctx context.Context) (*frameReader, error) {
	return r.entry.agents.openAnswer(ctx, r.view.Address, r.request, r.organisation, r.assembler.Offset())
}

// checkReadable opens the answer stream once and closes it. It returns a refusal
// if the agent rejects the read, which must be known before the caller's stream
// has started.
func (r *relay) checkReadable(ctx context.Context) *refusal {
	stream, err := r.open(ctx)
	if err != nil {
		return answerRefusal(r.request, err)
	}
	stream.close()
	return nil
}

// run relays until the answer ends. A broken stream is resumed at the same
// agent.
func (r *relay) run(ctx context.Context) result {
	retry := newBackoff()
	for {
		offsetBefore := r.assembler.Offset()
		final, err := r.readStream(ctx)
		switch {
		case err == nil:
			return finalResult(final, r.events)
		case errors.Is(err, errEventNotWritten):
			return result{attemptOutcome: rtdelivery.CallerGone}
		case errors.Is(err, rtanswer.ErrCorrupt):
			r.entry.log.Error(err, "Answer does not match its final frame.", "request", r.request)
			return result{attemptOutcome: rtdelivery.Done, outcome: rtapi.Failed, reason: rtapi.ReasonIncomplete}
		}
		r.entry.log.V(1).Info("Answer stream lost.", "request", r.request, "error", err.Error())
		r.entry.metrics.Scope.Counter("streams_lost").Inc(1)
		if r.assembler.Offset() > offsetBefore {
			retry.reset()
		}
		if !retry.wait(ctx) {
			return contextEndResult(ctx)
		}
		if res, ended := r.diagnose(ctx, err); ended {
			return res
		}
	}
}

// contextEndResult returns the result of an attempt whose context has ended: the
// caller disconnected, or the deadline passed.
func contextEndResult(ctx context.Context) result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result{attemptOutcome: rtdelivery.CallerGone}
	}
	return result{attemptOutcome: rtdelivery.Expired, reason: rtapi.ReasonDeadline}
}

// diagnose determines whether the agent can still deliver the answer after the
// stream broke with cause. It returns false if the stream may be resumed, else
// the result of the attempt.
func (r *relay) diagnose(ctx context.Context, cause error) (result, bool) {
	lost := result{attemptOutcome: rtdelivery.Lost, reason: rtapi.ReasonIncarnation}
	if r.homeEnded() {
		return lost, true
	}
	reply, err := r.entry.query(ctx, r.view.Address, &rtwire.QueryRequest{
		Request:      string(r.request),
		Organisation: string(r.organisation),
		Incarnation:  uint64(r.home.Incarnation),
	})
	if err != nil {
		return lost, ctx.Err() == nil && !r.entry.alive(r.home.Target)
	}
	var statusErr *answerStatusError
	switch {
	case reply.GetReason() == rtwire.Reason_REASON_INCARNATION, reply.GetOutcome() == rtwire.Outcome_OUTCOME_UNKNOWN:
		return lost, true
	case !errors.As(cause, &statusErr) || reply.GetOutcome() == rtwire.Outcome_OUTCOME_ACCEPTED:
		return result{}, false
	case reply.GetOutcome() == rtwire.Outcome_OUTCOME_NOT_RUN:
		return refusedResult(reasons[reply.GetReason()], reply.GetDetail()), true
	default:
		// The request has ended, and the agent no longer stores its answer.
		return result{attemptOutcome: rtdelivery.Done, outcome: rtapi.Failed, reason: rtapi.ReasonExpired}, true
	}
}

// homeEnded reports whether the incarnation that stores the answer has ended.
func (r *relay) homeEnded() bool {
	return r.entry.incarnationEnded(r.home.Target, r.home.Incarnation)
}

// readStream reads one answer stream until its final frame or an error.
func (r *relay) readStream(ctx context.Context) (*rtwire.Final, error) {
	ctx, stop := r.entry.whileAlive(ctx, r.home.Target, r.home.Incarnation)
	defer stop()
	stream, err := r.open(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.close()
	return r.copy(stream)
}

// copy passes frames through the assembler and writes their text to the
// caller, until the final frame or an error.
func (r *relay) copy(stream *frameReader) (*rtwire.Final, error) {
	for {
		frame, err := stream.next()
		if err != nil {
			return nil, err
		}
		r.assembler.Add(frame)
		if text := r.assembler.TakeText(); len(text) > 0 {
			if r.events.received == 0 {
				r.onFirstText()
			}
			r.events.appendText(text)
		}
		if r.events.err != nil {
			return nil, errEventNotWritten
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

// finalResult returns the result of a complete answer stream. A draft that was
// accepted but did not run is treated as refused, so it may be offered to
// another target. A draft whose target failed may also be offered to another
// target, which continues after the delivered text.
func finalResult(final *rtwire.Final, events *eventStream) result {
	res := result{
		attemptOutcome: rtdelivery.Done,
		outcome:        outcomeOf(final.GetOutcome()),
		reason:         reasons[final.GetReason()],
		detail:         final.GetDetail(),
		final:          final,
	}
	switch {
	case res.outcome == rtapi.NotRun && events.received == 0 && retryableElsewhere(res.reason):
		res.attemptOutcome = rtdelivery.Refused
	case res.outcome == rtapi.NotRun && events.received == 0:
		res.attemptOutcome = rtdelivery.Infeasible
	case res.outcome == rtapi.Failed && res.reason == rtapi.ReasonTarget:
		res.attemptOutcome = rtdelivery.Failed
	}
	return res
}

// answerRefusal returns the refusal for a read that the agent rejected with an
// HTTP status, or nil for any other error.
func answerRefusal(id rtid.Request, err error) *refusal {
	var statusErr *answerStatusError
	if !errors.As(err, &statusErr) {
		return nil
	}
	switch statusErr.status {
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
