package rtentry

import (
	"context"
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// knowledge is what a home knows about a request.
type knowledge struct {
	view    rtnode.AgentView
	reply   *rtwire.QueryReply
	outcome rtwire.Outcome
	reason  rtapi.Reason
}

// queryHome asks the home of a request what it knows.
func (e *Entry) queryHome(ctx context.Context, x *exchange, home rtid.Home) (knowledge, *refusal) {
	query := &rtwire.QueryRequest{
		Request:      string(x.id),
		Organisation: string(x.organisation.Name),
		Incarnation:  uint64(home.Incarnation),
	}
	return e.askHome(x, home, func(view rtnode.AgentView) (*rtwire.QueryReply, error) {
		return e.query(ctx, view.Address, query)
	})
}

// askHome sends one call to the home of a request.
func (e *Entry) askHome(x *exchange, home rtid.Home,
	call func(rtnode.AgentView) (*rtwire.QueryReply, error)) (knowledge, *refusal) {
	view, ok := e.node.Find(home.Target)
	if !ok {
		return knowledge{}, unreachable(x.id)
	}
	reply, err := call(view)
	if err != nil {
		return knowledge{}, unreachable(x.id)
	}
	known := knowledge{view: view, reply: reply, outcome: reply.GetOutcome(), reason: reasons[reply.GetReason()]}
	if known.outcome != rtwire.Outcome_OUTCOME_UNKNOWN {
		return known, nil
	}
	if reply.GetReason() == rtwire.Reason_REASON_CONFLICT {
		return known, notFound()
	}
	refused := notRun(http.StatusGone, known.reason, false, "the home of the request does not know it any more")
	if known.reason == rtapi.ReasonNone {
		refused.status = http.StatusNotFound
		refused.body.Reason = rtapi.ReasonNotFound
		refused.body.Detail = "the home of the request has not received it"
		refused.body.Retry = true
	}
	refused.body.ID = string(x.id)
	refused.body.Outcome = rtapi.Unknown
	return known, refused
}

// getStatus serves the status routes of drafts and orders.
func (e *Entry) getStatus(kind rtid.Kind) func(*exchange) *refusal {
	return func(x *exchange) *refusal {
		home, refused := x.home(kind)
		if refused != nil {
			return refused
		}
		known, refused := e.queryHome(x.r.Context(), x, home)
		if refused != nil {
			return refused
		}
		writeJSON(x.w, http.StatusOK, statusOf(x.id, known.reply))
		return nil
	}
}

// cancel serves DELETE of drafts and orders.
func (e *Entry) cancel(kind rtid.Kind) func(*exchange) *refusal {
	return func(x *exchange) *refusal {
		home, refused := x.home(kind)
		if refused != nil {
			return refused
		}
		known, refused := e.askHome(x, home, func(view rtnode.AgentView) (*rtwire.QueryReply, error) {
			ctx, cancel := context.WithTimeout(x.r.Context(), queryTimeout)
			defer cancel()
			return e.agents.target(view.Address).Cancel(ctx, &rtwire.CancelRequest{
				Request:      string(x.id),
				Organisation: string(x.organisation.Name),
				Incarnation:  uint64(home.Incarnation),
			})
		})
		if refused != nil {
			return refused
		}
		writeJSON(x.w, http.StatusOK, statusOf(x.id, known.reply))
		return nil
	}
}

// statusOf returns the callers' form of what a home knows.
func statusOf(id rtid.Request, reply *rtwire.QueryReply) rtapi.Status {
	return rtapi.Status{
		ID:      string(id),
		Outcome: outcomeOf(reply.GetOutcome()),
		Reason:  reasons[reply.GetReason()],
		Running: reply.GetOutcome() == rtwire.Outcome_OUTCOME_ACCEPTED,
		Result:  reply.GetResult(),
	}
}
