package rtagent

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// targetServer implements the Twirp service Target.
type targetServer struct {
	agent *Agent
}

// Offer accepts or refuses a request. The reply carries the status of this
// process.
func (s targetServer) Offer(ctx context.Context, message *rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	a := s.agent
	a.node.HandleStatus(message.Sender)
	reply := a.decide(message, arrivalOf(ctx))
	reply.Status = a.node.Status()
	a.metrics.Tagged(map[string]string{
		"outcome": reply.Outcome.String(),
		"reason":  reply.Reason.String(),
	}).Counter("offers").Inc(1)
	return reply, nil
}

// Query returns the ledger's record of a request. It adds no record, so a
// request that was never offered can still be offered and run later. The reply
// contains the result of an order, so the answer of a settled order counts as
// read.
func (s targetServer) Query(_ context.Context, message *rtwire.QueryRequest) (*rtwire.QueryReply, error) {
	a := s.agent
	ref, reply := a.resolveRequest(message)
	if reply != nil {
		return reply, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	record, ok := a.ledger.Lookup(ref.id)
	if !ok {
		return &rtwire.QueryReply{Outcome: rtwire.Outcome_OUTCOME_UNKNOWN, Detail: "no offer with this id has been received"}, nil
	}
	if r := a.requests[ref.id]; r != nil && r.settled && r.kind == rtwire.Kind_KIND_ORDER {
		r.answerRead = true
	}
	return queryReply(record, ref.organisation), nil
}

// Cancel stops a running draft, or prevents a request that has not started
// from running.
func (s targetServer) Cancel(_ context.Context, message *rtwire.CancelRequest) (*rtwire.QueryReply, error) {
	a := s.agent
	ref, reply := a.resolveRequest(message)
	if reply != nil {
		return reply, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	entry := rtledger.Entry{ID: ref.id, Epoch: ref.home.Epoch, Organisation: ref.organisation}
	if ref.home.Kind == rtid.KindDraft {
		entry.Epoch = a.ledger.Epoch(now)
	}
	record, disposition := a.ledger.Cancel(entry, now)
	switch disposition {
	case rtledger.Fresh, rtledger.Known:
		return queryReply(a.applyCancellation(ref.id, record), ref.organisation), nil
	case rtledger.Conflict:
		return wrongOrganisation(), nil
	case rtledger.Full:
		return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_QUEUE, Detail: "the ledger is full"}, nil
	default:
		return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_EXPIRED, Detail: "the ledger no longer keeps the epoch of the id"}, nil
	}
}

// applyCancellation makes a request follow its ledger record: it removes a
// request with a tombstone from the queue and stops a running draft. A running
// order continues. The caller holds a.mu.
func (a *Agent) applyCancellation(id rtid.Request, record rtledger.Record) rtledger.Record {
	r := a.requests[id]
	if r == nil || r.settled {
		return record
	}
	switch {
	case record.State == rtledger.StateNotRun:
		a.settleNotRun(r, rtwire.Reason_REASON_CANCELLED, "cancelled before the request started")
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

// requestRef identifies the request that a call is about.
type requestRef struct {
	id           rtid.Request
	organisation rtid.Organisation
	home         rtid.Home
}

// requestMessage is a message about one request.
type requestMessage interface {
	GetRequest() string
	GetOrganisation() string
	GetIncarnation() uint64
}

// resolveRequest returns the request that a message names. It returns a reply
// instead if the ID is malformed or belongs to another target or organisation,
// or if this incarnation cannot have a record of it. Drafts of an earlier
// incarnation have failed, because this one cancelled their streams when it
// started.
func (a *Agent) resolveRequest(message requestMessage) (requestRef, *rtwire.QueryReply) {
	ref := requestRef{id: rtid.Request(message.GetRequest()), organisation: rtid.Organisation(message.GetOrganisation())}
	home, err := rtid.ParseRequest(ref.id)
	if err != nil {
		return ref, &rtwire.QueryReply{Reason: rtwire.Reason_REASON_MALFORMED, Detail: err.Error()}
	}
	ref.home = home
	if home.Target != a.settings.Target {
		return ref, &rtwire.QueryReply{Reason: rtwire.Reason_REASON_MALFORMED, Detail: "the request id names another target"}
	}
	if !home.Owns(ref.organisation) {
		return ref, wrongOrganisation()
	}
	current := a.node.Incarnation()
	expected := rtid.Incarnation(message.GetIncarnation())
	if home.Incarnation == current && (expected == 0 || expected == current) {
		return ref, nil
	}
	restarted := &rtwire.QueryReply{Reason: rtwire.Reason_REASON_INCARNATION, Detail: "the agent has restarted since the request id was created"}
	if home.Kind != rtid.KindDraft {
		return ref, restarted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.ledger.Lookup(ref.id); known {
		return ref, nil
	}
	if home.Incarnation < current {
		restarted.Outcome = rtwire.Outcome_OUTCOME_FAILED
	}
	return ref, restarted
}

func wrongOrganisation() *rtwire.QueryReply {
	return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_CONFLICT, Detail: "the request id belongs to another organisation"}
}

func queryReply(record rtledger.Record, organisation rtid.Organisation) *rtwire.QueryReply {
	if record.Organisation != organisation {
		return wrongOrganisation()
	}
	return &rtwire.QueryReply{
		Outcome: outcomes[record.State],
		Reason:  record.Reason,
		Detail:  record.Detail,
		Result:  record.Body,
	}
}
