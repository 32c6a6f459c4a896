package rtagent

import (
	"fmt"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// maxBody bounds the prompt of a draft and the body of an order.
const maxBody = 8 << 20

// offer is one offered request on its way through the stages.
type offer struct {
	message *rtwire.OfferRequest
	home    rtid.Home
	item    rtqueue.Item
	digest  rtledger.Digest
	arrived time.Time // when the message began to arrive
	now     time.Time // when it was read
}

// view is what the stages need beside the request, read without Agent.mu.
type view struct {
	incarnation  rtid.Incarnation
	document     *rtdocument.Document // nil before one is known
	organisation *rtdocument.Organisation
	service      *rtdocument.Service
	peers        int // other engines of the zone, counted only if the prompt needs them
}

// refusal ends the way of an offer.
type refusal struct {
	outcome rtwire.Outcome
	reason  rtwire.Reason
	detail  string
}

func refuse(reason rtwire.Reason, format string, args ...any) *refusal {
	return &refusal{rtwire.Outcome_OUTCOME_NOT_RUN, reason, fmt.Sprintf(format, args...)}
}

// stage passes an offer on by returning nil.
type stage func(*Agent, *offer, *view) *refusal

// identityStages need no lock and leave no record, because an offer that they
// refuse names no request that could run here.
var identityStages = []stage{
	(*Agent).checkShape,
	(*Agent).checkIncarnation,
}

// admissionStages decide about a request that is new to the ledger. They run
// under Agent.mu. What they refuse gets a tombstone.
var admissionStages = []stage{
	(*Agent).checkReady,
	(*Agent).checkLeaving,
	(*Agent).checkPause,
	(*Agent).checkZone,
	(*Agent).checkPlan,
	(*Agent).checkTime,
	(*Agent).checkMemory,
}

func (a *Agent) view(message *rtwire.OfferRequest) *view {
	seen := &view{incarnation: a.node.Incarnation()}
	_, seen.document = a.node.Document()
	if seen.document != nil {
		seen.organisation = seen.document.Organisation(rtid.Organisation(message.Organisation))
		seen.service = seen.document.Service(a.settings.Service)
	}
	if promptTokens(message)+rtid.Tokens(message.Output) > a.settings.KVMemory {
		seen.peers = len(a.candidates())
	}
	return seen
}

// decide takes an offer through all stages.
func (a *Agent) decide(message *rtwire.OfferRequest, arrived time.Time) *rtwire.OfferReply {
	o := &offer{message: message, arrived: arrived, now: time.Now()}
	seen := a.view(message)
	for _, check := range identityStages {
		if refused := check(a, o, seen); refused != nil {
			return refused.reply()
		}
	}
	o.digest = rtledger.DigestOf(message.Body)
	a.mu.Lock()
	defer a.mu.Unlock()
	record, verdict := a.ledger.Begin(o.entry(a.ledger.Epoch(o.now)), o.now)
	if verdict != rtledger.Fresh {
		return replyTo(record, verdict)
	}
	for _, check := range admissionStages {
		if refused := check(a, o, seen); refused != nil {
			return a.tombstone(o, refused)
		}
	}
	return a.enqueue(o, seen)
}

// entry returns the ledger's key of an offer. Drafts are safe to repeat, so
// theirs never expires with the epoch of the id.
func (o *offer) entry(current rtid.Epoch) rtledger.Entry {
	entry := rtledger.Entry{
		ID:           o.item.ID,
		Epoch:        o.home.Epoch,
		Organisation: o.item.Organisation,
		BodyDigest:   o.digest,
	}
	if o.home.Kind == rtid.KindDraft {
		entry.Epoch = current
	}
	return entry
}

// replyTo answers an offer that the ledger does not let run.
func replyTo(record rtledger.Record, verdict rtledger.Verdict) *rtwire.OfferReply {
	switch verdict {
	case rtledger.Known:
		return &rtwire.OfferReply{Outcome: outcomes[record.State], Reason: record.Reason, Detail: record.Detail}
	case rtledger.Conflict:
		return refuse(rtwire.Reason_REASON_CONFLICT, "the id was offered with another body or organisation").reply()
	case rtledger.Full:
		return refuse(rtwire.Reason_REASON_QUEUE, "the ledger is full").reply()
	default:
		// Nobody can tell any more whether the request ran before.
		expired := &refusal{rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_EXPIRED, "the epoch of the id is not kept"}
		return expired.reply()
	}
}

// tombstone records a refusal, so that a late copy of the offer cannot run.
func (a *Agent) tombstone(o *offer, refused *refusal) *rtwire.OfferReply {
	a.ledger.Finish(o.item.ID, rtledger.Result{
		State:  rtledger.StateNotRun,
		Reason: refused.reason,
		Detail: refused.detail,
	})
	return refused.reply()
}

// enqueue accepts an offer that has passed all stages.
func (a *Agent) enqueue(o *offer, seen *view) *rtwire.OfferReply {
	message := o.message
	r := &request{
		item:    o.item,
		attempt: rtid.Attempt(message.Attempt),
		kind:    message.Kind,
		model:   seen.service.Model,
		prefix:  message.Prefix,
		output:  rtid.Tokens(message.Output),
		rest:    rest(message),
		buffer:  rtanswer.NewBuffer(o.item.ID, rtid.Attempt(message.Attempt), rtanswer.MaxSize),
		body:    message.Body,
	}
	a.planGroup(r)
	// The prefix has passed checkShape, so it fits.
	_ = r.buffer.Append(r.prefix)
	wait := a.predictWait(&o.item, o.now)
	if !a.queue.Push(r.item) {
		return a.tombstone(o, refuse(rtwire.Reason_REASON_QUEUE, "the queue is full"))
	}
	a.requests[o.item.ID] = r
	a.signal()
	return acceptedReply(wait)
}

func (r *refusal) reply() *rtwire.OfferReply {
	return &rtwire.OfferReply{Outcome: r.outcome, Reason: r.reason, Detail: r.detail}
}
