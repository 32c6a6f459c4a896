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

// maxBodySize limits the prompt of a draft and the body of an order, in bytes.
const maxBodySize = 8 << 20

// offer is an offered request while it is checked.
type offer struct {
	message    *rtwire.OfferRequest
	home       rtid.Home
	item       rtqueue.Item
	digest     rtledger.Digest
	arrivedAt  time.Time // when the header of the message had been read
	receivedAt time.Time // when the whole message had been read
}

// offerView is the state of the node that the checks need. It is read before
// Agent.mu is locked.
type offerView struct {
	incarnation  rtid.Incarnation
	document     *rtdocument.Document // nil without a configuration
	organisation *rtdocument.Organisation
	service      *rtdocument.Service
	otherEngines int // other engines of the zone, counted only if the prompt is larger than this one
}

// refusal is the result of a check that an offer did not pass.
type refusal struct {
	outcome rtwire.Outcome
	reason  rtwire.Reason
	detail  string
}

func refuse(reason rtwire.Reason, format string, args ...any) *refusal {
	return &refusal{rtwire.Outcome_OUTCOME_NOT_RUN, reason, fmt.Sprintf(format, args...)}
}

// admissionCheck returns nil if an offer passes.
type admissionCheck func(*Agent, *offer, *offerView) *refusal

// identityChecks need no lock. Their refusals leave no record, because the
// refused offer names no request that could run at this incarnation.
var identityChecks = []admissionCheck{
	(*Agent).checkFields,
	(*Agent).checkIncarnation,
}

// admissionChecks decide about a request that is new to the ledger. They run
// under Agent.mu. A refused request gets a tombstone.
var admissionChecks = []admissionCheck{
	(*Agent).checkReady,
	(*Agent).checkDraining,
	(*Agent).checkPause,
	(*Agent).checkZone,
	(*Agent).checkAccess,
	(*Agent).checkDeadline,
	(*Agent).checkMemory,
}

func (a *Agent) newOfferView(message *rtwire.OfferRequest) *offerView {
	view := &offerView{incarnation: a.node.Incarnation()}
	_, view.document = a.node.Document()
	if view.document != nil {
		view.organisation = view.document.Organisation(rtid.Organisation(message.Organisation))
		view.service = view.document.Service(a.settings.Service)
	}
	if promptTokens(message)+rtid.Tokens(message.Output) > a.settings.KVMemory {
		view.otherEngines = len(a.memberCandidates())
	}
	return view
}

// decide runs all checks of an offer and accepts or refuses it.
func (a *Agent) decide(message *rtwire.OfferRequest, arrived time.Time) *rtwire.OfferReply {
	o := &offer{message: message, arrivedAt: arrived, receivedAt: time.Now()}
	view := a.newOfferView(message)
	for _, check := range identityChecks {
		if refused := check(a, o, view); refused != nil {
			return refused.reply()
		}
	}
	o.digest = rtledger.DigestOf(message.Body)
	a.mu.Lock()
	defer a.mu.Unlock()
	record, disposition := a.ledger.Begin(o.entry(a.ledger.Epoch(o.receivedAt)), o.receivedAt)
	if disposition != rtledger.Fresh {
		return replyForRecord(record, disposition)
	}
	for _, check := range admissionChecks {
		if refused := check(a, o, view); refused != nil {
			return a.recordRefusal(o, refused)
		}
	}
	return a.enqueue(o, view)
}

// entry returns the ledger entry of an offer. A draft may run again safely, so
// its entry has the current epoch and never expires with the epoch of the ID.
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

// replyForRecord returns the reply to an offer that the ledger did not accept as
// new.
func replyForRecord(record rtledger.Record, disposition rtledger.Disposition) *rtwire.OfferReply {
	switch disposition {
	case rtledger.Known:
		return &rtwire.OfferReply{Outcome: outcomes[record.State], Reason: record.Reason, Detail: record.Detail}
	case rtledger.Conflict:
		return refuse(rtwire.Reason_REASON_CONFLICT, "the request id was offered before with another body or organisation").reply()
	case rtledger.Full:
		return refuse(rtwire.Reason_REASON_QUEUE, "the ledger is full").reply()
	default:
		// The record may have been dropped, so the request may have run before.
		expired := &refusal{rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_EXPIRED, "the ledger no longer keeps the epoch of the id"}
		return expired.reply()
	}
}

// recordRefusal writes a tombstone, so that a delayed copy of the offer cannot
// run.
func (a *Agent) recordRefusal(o *offer, refused *refusal) *rtwire.OfferReply {
	a.ledger.Finish(o.item.ID, rtledger.Result{
		State:  rtledger.StateNotRun,
		Reason: refused.reason,
		Detail: refused.detail,
	})
	return refused.reply()
}

// enqueue accepts an offer that has passed all checks.
func (a *Agent) enqueue(o *offer, view *offerView) *rtwire.OfferReply {
	message := o.message
	r := &request{
		item:            o.item,
		attempt:         rtid.Attempt(message.Attempt),
		kind:            message.Kind,
		model:           view.service.Model,
		prefix:          message.Prefix,
		maxOutput:       rtid.Tokens(message.Output),
		remainingOutput: remainingOutput(message),
		buffer:          rtanswer.NewBuffer(o.item.ID, rtid.Attempt(message.Attempt), rtanswer.MaxSize),
		body:            message.Body,
	}
	a.planGroup(r)
	// checkFields has checked the size of the prefix, so it fits.
	_ = r.buffer.Append(r.prefix)
	wait := a.predictFirstToken(&o.item, o.receivedAt)
	if !a.queue.Push(r.item) {
		return a.recordRefusal(o, refuse(rtwire.Reason_REASON_QUEUE, "the queue is full"))
	}
	a.requests[o.item.ID] = r
	a.wakeDispatcher()
	return acceptedReply(wait)
}

func (r *refusal) reply() *rtwire.OfferReply {
	return &rtwire.OfferReply{Outcome: r.outcome, Reason: r.reason, Detail: r.detail}
}
