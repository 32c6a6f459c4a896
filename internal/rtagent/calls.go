package rtagent

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// calls serves the twirp service Target.
type calls struct {
	agent *Agent
}

// Offer decides about a request and answers with the status of this process.
func (c calls) Offer(ctx context.Context, message *rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	a := c.agent
	a.node.HandleStatus(message.Sender)
	reply := a.decide(message, arrivalOf(ctx))
	reply.Status = a.node.Status()
	a.metrics.Tagged(map[string]string{
		"outcome": reply.Outcome.String(),
		"reason":  reply.Reason.String(),
	}).Counter("offers").Inc(1)
	return reply, nil
}

// Query returns what the ledger knows about a request. It writes nothing, so
// a request that was never offered may still run later.
func (c calls) Query(_ context.Context, message *rtwire.QueryRequest) (*rtwire.QueryReply, error) {
	a := c.agent
	asked, answer := a.identify(message)
	if answer != nil {
		return answer, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	record, ok := a.ledger.Lookup(asked.id)
	if !ok {
		return &rtwire.QueryReply{Outcome: rtwire.Outcome_OUTCOME_UNKNOWN, Detail: "no offer with this id has arrived"}, nil
	}
	if r := a.requests[asked.id]; r != nil && r.settled && r.kind == rtwire.Kind_KIND_ORDER {
		r.read = true
	}
	return describe(record, asked.organisation), nil
}

// Cancel stops a draft, or prevents a request that has not started.
func (c calls) Cancel(_ context.Context, message *rtwire.CancelRequest) (*rtwire.QueryReply, error) {
	a := c.agent
	asked, answer := a.identify(message)
	if answer != nil {
		return answer, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	entry := rtledger.Entry{ID: asked.id, Epoch: asked.home.Epoch, Organisation: asked.organisation}
	if asked.home.Kind == rtid.KindDraft {
		entry.Epoch = a.ledger.Epoch(now)
	}
	record, verdict := a.ledger.Cancel(entry, now)
	switch verdict {
	case rtledger.Fresh, rtledger.Known:
		return describe(a.cancelled(asked.id, record), asked.organisation), nil
	case rtledger.Conflict:
		return notOwned(), nil
	case rtledger.Full:
		return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_QUEUE, Detail: "the ledger is full"}, nil
	default:
		return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_EXPIRED, Detail: "the epoch of the id is not kept"}, nil
	}
}

// cancelled carries a cancellation out: a tombstone takes the request out of
// the queue, a running draft is stopped. The caller holds a.mu.
func (a *Agent) cancelled(id rtid.Request, record rtledger.Record) rtledger.Record {
	r := a.requests[id]
	if r == nil || r.settled {
		return record
	}
	switch {
	case record.State == rtledger.StateNotRun:
		a.abandon(r, rtwire.Reason_REASON_CANCELLED, "cancelled before its start")
		if r.cancel != nil {
			r.cancel(errCancelled)
		}
	case record.State == rtledger.StateRunning && r.kind == rtwire.Kind_KIND_DRAFT:
		a.settle(r, rtledger.Result{
			State:  rtledger.StateFailed,
			Reason: rtwire.Reason_REASON_CANCELLED,
			Detail: errCancelled.Error(),
		})
		r.cancel(errCancelled)
	default:
		return record
	}
	record, _ = a.ledger.Lookup(id)
	return record
}

// subject is the request that a call asks about.
type subject struct {
	id           rtid.Request
	organisation rtid.Organisation
	home         rtid.Home
}

// question is a call about one request.
type question interface {
	GetRequest() string
	GetOrganisation() string
	GetIncarnation() uint64
}

// identify answers for ids that this incarnation cannot know. Drafts of an
// earlier incarnation have failed: their streams were cancelled at the start
// of this one.
func (a *Agent) identify(asked question) (subject, *rtwire.QueryReply) {
	found := subject{id: rtid.Request(asked.GetRequest()), organisation: rtid.Organisation(asked.GetOrganisation())}
	home, err := rtid.ParseRequest(found.id)
	if err != nil {
		return found, &rtwire.QueryReply{Reason: rtwire.Reason_REASON_MALFORMED, Detail: err.Error()}
	}
	found.home = home
	if home.Target != a.settings.Target {
		return found, &rtwire.QueryReply{Reason: rtwire.Reason_REASON_MALFORMED, Detail: "the id names another target"}
	}
	if !home.Owns(found.organisation) {
		return found, notOwned()
	}
	current := a.node.Incarnation()
	meant := rtid.Incarnation(asked.GetIncarnation())
	if home.Incarnation == current && (meant == 0 || meant == current) {
		return found, nil
	}
	gone := &rtwire.QueryReply{Reason: rtwire.Reason_REASON_INCARNATION, Detail: "the agent has restarted since the id was made"}
	if home.Kind != rtid.KindDraft {
		return found, gone
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.ledger.Lookup(found.id); known {
		return found, nil
	}
	if home.Incarnation < current {
		gone.Outcome = rtwire.Outcome_OUTCOME_FAILED
	}
	return found, gone
}

func notOwned() *rtwire.QueryReply {
	return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_CONFLICT, Detail: "the id belongs to another organisation"}
}

func describe(record rtledger.Record, organisation rtid.Organisation) *rtwire.QueryReply {
	if record.Organisation != organisation {
		return notOwned()
	}
	return &rtwire.QueryReply{
		Outcome: outcomes[record.State],
		Reason:  record.Reason,
		Detail:  record.Detail,
		Result:  record.Body,
	}
}
