package rtentry

import (
	"context"
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// homeReply is the state of a request as its home reports it.
type homeReply struct {
	view    rtnode.AgentView
	reply   *rtwire.QueryReply
	outcome rtwire.Outcome
	reason  rtapi.Reason
}

// queryHome asks the home of a request for its state.
func (e *Entry) queryHome(ctx context.Context, x *exchange, home rtid.Home) (homeReply, *refusal) {
	query := &rtwire.QueryRequest{
		Request:      string(x.id),
		Organisation: string(x.organisation.Name),
		Incarnation:  uint64(home.Incarnation),
	}
	return e.callHome(x, home, func(view rtnode.AgentView) (*rtwire.QueryReply, error) {
		return e.query(ctx, view.Address, query)
	})
}

// callHome makes one call to the home of a request. It returns a refusal if the
// home cannot be reached or does not know the request.
func (e *Entry) callHome(x *exchange, home rtid.Home,
	call func(rtnode.AgentView) (*rtwire.QueryReply, error)) (homeReply, *refusal) {
	view, ok := e.node.Find(home.Target)
	if !ok {
		return homeReply{}, unreachable(x.id)
	}
	reply, err := call(view)
	if err != nil {
		return homeReply{}, unreachable(x.id)
	}
	reported := homeReply{view: view, reply: reply, outcome: reply.GetOutcome(), reason: reasons[reply.GetReason()]}
	if reported.outcome != rtwire.Outcome_OUTCOME_UNKNOWN {
		return reported, nil
	}
	if reply.GetReason() == rtwire.Reason_REASON_CONFLICT {
		return reported, notFound()
	}
	refused := notRun(http.StatusGone, reported.reason, false, "the home of the request does not know it any more")
	if reported.reason == rtapi.ReasonNone {
		refused.status = http.StatusNotFound
		refused.body.Reason = rtapi.ReasonNotFound
		refused.body.Detail = "the home of the request has not received it"
		refused.body.Retry = true
	}
	refused.body.ID = string(x.id)
	refused.body.Outcome = rtapi.Unknown
	return reported, refused
}

// getStatus serves the status routes of drafts and orders.
func (e *Entry) getStatus(kind rtid.Kind) func(*exchange) *refusal {
	return func(x *exchange) *refusal {
		home, refused := x.homeFromPath(kind)
		if refused != nil {
			return refused
		}
		reported, refused := e.queryHome(x.r.Context(), x, home)
		if refused != nil {
			return refused
		}
		writeJSON(x.w, http.StatusOK, statusOf(x.id, reported.reply))
		return nil
	}
}

// cancel serves DELETE of drafts and orders.
func (e *Entry) cancel(kind rtid.Kind) func(*exchange) *refusal {
	return func(x *exchange) *refusal {
		home, refused := x.homeFromPath(kind)
		if refused != nil {
			return refused
		}
		reported, refused := e.callHome(x, home, func(view rtnode.AgentView) (*rtwire.QueryReply, error) {
			ctx, cancel := context.WithTimeout(x.r.Context(), queryTimeout)
			defer cancel()
			return e.agents.rpc(view.Address).Cancel(ctx, &rtwire.CancelRequest{
				Request:      string(x.id),
				Organisation: string(x.organisation.Name),
				Incarnation:  uint64(home.Incarnation),
			})
		})
		if refused != nil {
			return refused
		}
		writeJSON(x.w, http.StatusOK, statusOf(x.id, reported.reply))
		return nil
	}
}

// statusOf converts a home's reply to the status in the callers' API.
func statusOf(id rtid.Request, reply *rtwire.QueryReply) rtapi.Status {
	return rtapi.Status{
		ID:      string(id),
		Outcome: outcomeOf(reply.GetOutcome()),
		Reason:  reasons[reply.GetReason()],
		Running: reply.GetOutcome() == rtwire.Outcome_OUTCOME_ACCEPTED,
		Result:  reply.GetResult(),
	}
}
