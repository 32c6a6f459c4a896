package rtagent

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// maxTokens limits token counts in messages, so that sums cannot overflow.
const maxTokens = 1 << 32

// checkFields refuses malformed offers and fills in the queue item.
func (a *Agent) checkFields(o *offer, view *offerView) *refusal {
	message := o.message
	home, err := rtid.ParseRequest(rtid.Request(message.Request))
	if err != nil {
		return refuse(rtwire.Reason_REASON_MALFORMED, "%v", err)
	}
	o.home = home
	if detail := a.fieldError(message, home); detail != "" {
		return refuse(rtwire.Reason_REASON_MALFORMED, "%s", detail)
	}
	o.item = a.itemOf(o, view)
	return nil
}

// fieldError returns what is wrong with the fields of an offer, or an empty
// string.
func (a *Agent) fieldError(message *rtwire.OfferRequest, home rtid.Home) string {
	switch {
	case home.Target != a.settings.Target:
		return "the request id names another target"
	case !home.Owns(rtid.Organisation(message.Organisation)):
		return "the request id belongs to another organisation"
	case rtid.Service(message.Service) != a.settings.Service:
		return "the target belongs to another service"
	case kindOf(message.Kind) != home.Kind:
		return "the kind differs from that of the request id"
	case (message.Kind == rtwire.Kind_KIND_DRAFT) != (a.engine != nil):
		return "the target does not serve requests of this kind"
	case message.Kind == rtwire.Kind_KIND_ORDER && message.Incarnation == 0:
		return "the incarnation of an order is missing"
	case message.Attempt == 0:
		return "attempt is 0, want 1 or higher"
	case len(message.Body) > maxBodySize:
		return "the body is larger than 8 MiB"
	case rtid.Bytes(len(message.Prefix)) > rtanswer.MaxSize:
		return "the prefix is larger than the limit of 4 MiB for an answer"
	case message.Remaining == nil || !message.Remaining.IsValid():
		return "the remaining time is missing or invalid"
	case tokensOutOfRange(message.Tokens), tokensOutOfRange(message.Output), tokensOutOfRange(message.Offset):
		return "tokens, output or offset is out of range, want 0 to 2^32"
	default:
		return ""
	}
}

func tokensOutOfRange(tokens int64) bool {
	return tokens < 0 || tokens > maxTokens
}

func kindOf(kind rtwire.Kind) rtid.Kind {
	switch kind {
	case rtwire.Kind_KIND_DRAFT:
		return rtid.KindDraft
	case rtwire.Kind_KIND_ORDER:
		return rtid.KindOrder
	default:
		return ""
	}
}

// itemOf returns the queue item of an offer. An order counts as one token.
func (a *Agent) itemOf(o *offer, view *offerView) rtqueue.Item {
	message := o.message
	item := rtqueue.Item{
		ID:           rtid.Request(message.Request),
		Organisation: rtid.Organisation(message.Organisation),
		Tokens:       1,
		BodySize:     rtid.Bytes(len(message.Body) + len(message.Prefix)),
		Arrived:      o.receivedAt,
		Deadline:     o.arrivedAt.Add(message.Remaining.AsDuration()),
	}
	if view.organisation != nil {
		item.Weight = view.organisation.ShareOf(a.settings.Service)
	}
	if message.Kind == rtwire.Kind_KIND_DRAFT {
		prompt := promptTokens(message)
		// The engine also prefills the part of the answer delivered already.
		item.Tokens = prompt + rtid.Tokens(message.Offset)
		item.Class = rtid.ClassOf(item.Tokens)
		item.Memory = prompt + rtid.Tokens(message.Output)
	}
	return item
}

// promptTokens returns the token count of a prompt: the reported one, or the
// estimate from its size if that is higher.
func promptTokens(message *rtwire.OfferRequest) rtid.Tokens {
	return max(rtid.Tokens(message.Tokens), rtid.EstimateTokens(rtid.Bytes(len(message.Body))))
}

// checkIncarnation refuses requests for another incarnation of this process. The
// outcome of an order at another incarnation is unknown here.
func (a *Agent) checkIncarnation(o *offer, view *offerView) *refusal {
	expected := rtid.Incarnation(o.message.Incarnation)
	if o.home.Kind == rtid.KindOrder && (expected != view.incarnation || o.home.Incarnation != view.incarnation) {
		return &refusal{rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION, "the agent has restarted since the request id was created"}
	}
	if expected != 0 && expected != view.incarnation {
		return refuse(rtwire.Reason_REASON_INCARNATION, "the offer names another incarnation of the agent")
	}
	return nil
}

func (a *Agent) checkReady(_ *offer, view *offerView) *refusal {
	if !a.ready || view.document == nil {
		return refuse(rtwire.Reason_REASON_NOT_READY, "the agent is starting and not ready yet")
	}
	if a.targetDown {
		return refuse(rtwire.Reason_REASON_TARGET, "the target does not respond")
	}
	return nil
}

func (a *Agent) checkDraining(*offer, *offerView) *refusal {
	if a.draining {
		return refuse(rtwire.Reason_REASON_LEAVING, "the target is draining")
	}
	return nil
}

// checkPause refuses offers that may have waited in a socket buffer while this
// process was paused, because their remaining time is then shorter than stated.
func (a *Agent) checkPause(o *offer, _ *offerView) *refusal {
	if a.handlePause(o.receivedAt) || a.pauses.justResumed(o.receivedAt) {
		return refuse(rtwire.Reason_REASON_PAUSED, "the agent process was paused")
	}
	return nil
}

func (a *Agent) checkZone(_ *offer, view *offerView) *refusal {
	if view.document.ZoneState(a.settings.Zone) != rtdocument.ZoneInService {
		return refuse(rtwire.Reason_REASON_ZONE_OUT, "availability zone %s is out of service", a.settings.Zone)
	}
	return nil
}

func (a *Agent) checkAccess(o *offer, view *offerView) *refusal {
	if view.service == nil {
		return refuse(rtwire.Reason_REASON_PLAN, "service %s is not in the configuration", a.settings.Service)
	}
	if view.organisation == nil || !view.organisation.Allows(a.settings.Service) {
		return refuse(rtwire.Reason_REASON_PLAN, "organisation %s is not allowed to use service %s", o.item.Organisation, a.settings.Service)
	}
	return nil
}

// checkDeadline refuses requests that are predicted to take longer than their
// remaining time at the measured speed of the target.
func (a *Agent) checkDeadline(o *offer, _ *offerView) *refusal {
	remaining := o.item.Deadline.Sub(o.receivedAt)
	if remaining <= 0 {
		return refuse(rtwire.Reason_REASON_DEADLINE, "the remaining time is 0 or less")
	}
	predicted := a.predictFirstToken(&o.item, o.receivedAt) + a.speed.predictDecode(remainingOutput(o.message), o.receivedAt)
	if predicted > remaining {
		return refuse(rtwire.Reason_REASON_DEADLINE, "predicted duration %v is longer than the remaining time %v",
			predicted.Round(time.Millisecond), remaining.Round(time.Millisecond))
	}
	return nil
}

// remainingOutput returns the limit on the tokens of an answer without those
// that were delivered already.
func remainingOutput(message *rtwire.OfferRequest) rtid.Tokens {
	return rtid.Tokens(max(0, message.Output-message.Offset))
}

// predictFirstToken returns the predicted time to the first token. The caller
// holds a.mu.
func (a *Agent) predictFirstToken(item *rtqueue.Item, now time.Time) time.Duration {
	prefill := a.speed.predictPrefill(a.queue.TokensAhead(item.Class)+item.Tokens, now)
	excess := a.queue.Running() + a.queue.Waiting() + 1 - a.warmUp.Current()
	return max(prefill, a.speed.predictSlotWait(item.Class, excess, a.warmUp.Current()))
}

// checkMemory refuses prompts that can never fit the engines of the zone.
// Memory is reserved only when the request leaves the queue, because a waiting
// prompt uses none and a reservation would keep shorter ones from running. It
// also refuses all offers while the stored answers exceed maxAnswerBytes.
func (a *Agent) checkMemory(o *offer, view *offerView) *refusal {
	if a.answerBytes > maxAnswerBytes {
		return refuse(rtwire.Reason_REASON_QUEUE, "the stored answers exceed the limit of 256 MiB")
	}
	engines := a.enginesNeeded(o.item.Memory)
	if engines > 1+view.otherEngines || rtid.Tokens(o.message.Output) > a.memory.Total() {
		return refuse(rtwire.Reason_REASON_MEMORY, "the request needs %d tokens of KV memory; %d engines of the zone have %d each",
			o.item.Memory, 1+view.otherEngines, a.memory.Total())
	}
	return nil
}

func acceptedReply(wait time.Duration) *rtwire.OfferReply {
	return &rtwire.OfferReply{Outcome: rtwire.Outcome_OUTCOME_ACCEPTED, Wait: durationpb.New(wait)}
}
