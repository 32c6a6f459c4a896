package rtentry

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

var (
	errCallerGone = errors.New("caller does not read any more")
	errGap        = errors.New("answer has a gap")
	errForeign    = errors.New("frame of another request")
)

// damageError is an answer that fails its own final frame.
type damageError struct {
	detail string
}

func (e *damageError) Error() string { return "answer is damaged: " + e.detail }

// relay passes the answer of an accepted draft on until its end. A lost
// connection is resumed at the same agent. First is called with the first
// text.
func (e *Entry) relay(ctx context.Context, view rtnode.View, request rtid.Request,
	organisation rtid.Organisation, events *events, first func()) result {
	home, err := rtid.ParseRequest(request)
	if err != nil {
		return result{verdict: verdictGone, reason: rtapi.ReasonNotFound}
	}
	query := &rtwire.QueryRequest{
		Request:      string(request),
		Organisation: string(organisation),
		Incarnation:  uint64(home.Incarnation),
	}
	pause := newBackoff()
	for {
		before := events.position()
		final, err := e.read(ctx, view.Address, request, organisation, events, first)
		var damage *damageError
		switch {
		case err == nil:
			return finalResult(final)
		case errors.Is(err, errCallerGone):
			return result{verdict: verdictCallerGone}
		case errors.As(err, &damage):
			e.log.Error(err, "Answer damaged.", "request", request)
			return result{verdict: verdictFinal, outcome: rtapi.Failed, reason: rtapi.ReasonIncomplete}
		}
		e.log.V(1).Info("Answer stream lost.", "request", request, "error", err.Error())
		if events.position() > before {
			pause.reset()
		}
		if !pause.wait(ctx) {
			return result{verdict: verdictExpired, reason: rtapi.ReasonDeadline}
		}
		if e.draftGone(ctx, view, query, home) {
			return result{verdict: verdictGone, reason: rtapi.ReasonIncarnation}
		}
	}
}

// draftGone reports whether the agent cannot deliver an accepted draft any
// more: it is another incarnation, does not know the draft, or is neither
// reachable nor heard of.
func (e *Entry) draftGone(ctx context.Context, view rtnode.View, query *rtwire.QueryRequest, home rtid.Home) bool {
	if e.homeGone(home.Target, home.Incarnation) {
		return true
	}
	reply, err := e.query(ctx, view.Address, query)
	if err == nil {
		return reply.GetOutcome() == rtwire.Outcome_OUTCOME_UNKNOWN
	}
	current, ok := e.node.Find(home.Target)
	return ok && !current.Alive && ctx.Err() == nil
}

// finalResult returns the result of a complete answer stream.
func finalResult(final *rtwire.Final) result {
	return result{
		verdict: verdictFinal,
		outcome: outcomeOf(final.GetOutcome()),
		reason:  reasons[final.GetReason()],
		detail:  final.GetDetail(),
		final:   final,
	}
}

// read reads one answer stream from the position of events until the final
// frame or an error.
func (e *Entry) read(ctx context.Context, address rtid.Address, request rtid.Request,
	organisation rtid.Organisation, events *events, first func()) (*rtwire.Final, error) {
	frames, err := e.agents.answer(ctx, address, request, organisation, events.position())
	if err != nil {
		return nil, err
	}
	defer frames.close()
	for {
		frame, err := frames.next()
		if err != nil {
			return nil, err
		}
		text, err := nextText(frame, request, events.position())
		if err != nil {
			return nil, err
		}
		if len(text) > 0 {
			if events.received == 0 {
				first()
			}
			events.text(text)
		}
		if events.err != nil {
			return nil, errCallerGone
		}
		if final := frame.GetFinal(); final != nil {
			return final, verify(final, events)
		}
	}
}

// nextText returns the part of a frame from position on.
func nextText(frame *rtwire.Frame, request rtid.Request, position int64) ([]byte, error) {
	if frame.GetRequest() != string(request) {
		return nil, errForeign
	}
	skip := position - frame.GetOffset()
	switch {
	case len(frame.GetText()) == 0:
		return nil, nil
	case skip < 0:
		return nil, errGap
	case skip >= int64(len(frame.GetText())):
		return nil, nil
	default:
		return frame.GetText()[skip:], nil
	}
}

// verify compares the answer with its final frame. A stream that does not
// start at the start of the answer is compared by size only.
func verify(final *rtwire.Final, events *events) error {
	if final.GetSize() != events.position() {
		return &damageError{fmt.Sprintf("%d bytes, want %d", events.position(), final.GetSize())}
	}
	if events.first == 0 && xxhash.Sum64(events.answer) != final.GetChecksum() {
		return &damageError{"checksum does not match"}
	}
	return nil
}
