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

// maxTokens bounds counts of tokens in messages, so that sums cannot overflow.
const maxTokens = 1 << 32

// checkShape refuses malformed offers and fills in the queue item.
func (a *Agent) checkShape(o *offer, seen *view) *refusal {
	message := o.message
	home, err := rtid.ParseRequest(rtid.Request(message.Request))
	if err != nil {
		return refuse(rtwire.Reason_REASON_MALFORMED, "%v", err)
	}
	o.home = home
	if detail := a.misshapen(message, home); detail != "" {
		return refuse(rtwire.Reason_REASON_MALFORMED, "%s", detail)
	}
	o.item = a.itemOf(o, seen)
	return nil
}

// misshapen returns what is wrong with the fields of an offer, if anything.
func (a *Agent) misshapen(message *rtwire.OfferRequest, home rtid.Home) string {
	switch {
	case home.Target != a.settings.Target:
		return "the id names another target"
	case !home.Owns(rtid.Organisation(message.Organisation)):
		return "the id belongs to another organisation"
	case rtid.Service(message.Service) != a.settings.Service:
		return "the target serves another service"
	case kindOf(message.Kind) != home.Kind:
		return "the kind is not that of the id"
	case (message.Kind == rtwire.Kind_KIND_DRAFT) != (a.engine != nil):
		return "the target does not serve this kind"
	case message.Kind == rtwire.Kind_KIND_ORDER && message.Incarnation == 0:
		return "an order without incarnation"
	case message.Attempt == 0:
		return "attempt 0"
	case len(message.Body) > maxBody:
		return "the body is larger than 8 MiB"
	case rtid.Bytes(len(message.Prefix)) > rtanswer.MaxSize:
		return "the prefix is larger than the largest answer"
	case message.Remaining == nil || !message.Remaining.IsValid():
		return "no valid remaining time"
	case outside(message.Tokens), outside(message.Output), outside(message.Offset):
		return "a number of tokens is out of range"
	default:
		return ""
	}
}

func outside(tokens int64) bool {
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
func (a *Agent) itemOf(o *offer, seen *view) rtqueue.Item {
	message := o.message
	item := rtqueue.Item{
		ID:           rtid.Request(message.Request),
		Organisation: rtid.Organisation(message.Organisation),
		Tokens:       1,
		BodySize:     rtid.Bytes(len(message.Body) + len(message.Prefix)),
		Arrived:      o.now,
		Deadline:     o.arrived.Add(message.Remaining.AsDuration()),
	}
	if seen.organisation != nil {
		item.Weight = seen.organisation.ShareOf(a.settings.Service)
	}
	if message.Kind == rtwire.Kind_KIND_DRAFT {
		prompt := promptTokens(message)
		// The engine also prefills the part of the answer that exists.
		item.Tokens = prompt + rtid.Tokens(message.Offset)
		item.Class = rtid.ClassOf(item.Tokens)
		item.Memory = prompt + rtid.Tokens(message.Output)
	}
	return item
}

// promptTokens returns the tokens of a prompt, at least what its size says.
func promptTokens(message *rtwire.OfferRequest) rtid.Tokens {
	return max(rtid.Tokens(message.Tokens), rtid.EstimateTokens(rtid.Bytes(len(message.Body))))
}

// checkIncarnation refuses what is meant for another start of this process.
// What an order did there is not known here.
func (a *Agent) checkIncarnation(o *offer, seen *view) *refusal {
	meant := rtid.Incarnation(o.message.Incarnation)
	if o.home.Kind == rtid.KindOrder && (meant != seen.incarnation || o.home.Incarnation != seen.incarnation) {
		return &refusal{rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION, "the agent has restarted since the id was made"}
	}
	if meant != 0 && meant != seen.incarnation {
		return refuse(rtwire.Reason_REASON_INCARNATION, "the agent has another incarnation")
	}
	return nil
}

func (a *Agent) checkReady(_ *offer, seen *view) *refusal {
	if !a.ready || seen.document == nil {
		return refuse(rtwire.Reason_REASON_NOT_READY, "the agent has not started to serve")
	}
	if a.down {
		return refuse(rtwire.Reason_REASON_TARGET, "the target does not answer")
	}
	return nil
}

func (a *Agent) checkLeaving(*offer, *view) *refusal {
	if a.leaving {
		return refuse(rtwire.Reason_REASON_LEAVING, "the target is leaving")
	}
	return nil
}

// checkPause refuses what may have waited in a socket while this process was
// paused, because its remaining time is older than it says.
func (a *Agent) checkPause(o *offer, _ *view) *refusal {
	if a.noticePause(o.now) || a.pause.settling(o.now) {
		return refuse(rtwire.Reason_REASON_PAUSED, "the agent was paused")
	}
	return nil
}

func (a *Agent) checkZone(_ *offer, seen *view) *refusal {
	if seen.document.ZoneState(a.settings.Zone) != rtdocument.ZoneInService {
		return refuse(rtwire.Reason_REASON_ZONE_OUT, "availability zone %s is out", a.settings.Zone)
	}
	return nil
}

func (a *Agent) checkPlan(o *offer, seen *view) *refusal {
	if seen.service == nil {
		return refuse(rtwire.Reason_REASON_PLAN, "service %s is not published", a.settings.Service)
	}
	if seen.organisation == nil || !seen.organisation.Allows(a.settings.Service) {
		return refuse(rtwire.Reason_REASON_PLAN, "organisation %s may not reach service %s", o.item.Organisation, a.settings.Service)
	}
	return nil
}

// checkTime is admission control: it refuses what cannot finish in its
// remaining time at the measured rate.
func (a *Agent) checkTime(o *offer, _ *view) *refusal {
	remaining := o.item.Deadline.Sub(o.now)
	if remaining <= 0 {
		return refuse(rtwire.Reason_REASON_DEADLINE, "no time remains")
	}
	predicted := a.predictWait(&o.item, o.now) + a.pace.answer(rest(o.message), o.now)
	if predicted > remaining {
		return refuse(rtwire.Reason_REASON_DEADLINE, "predicted to take %v of %v",
			predicted.Round(time.Millisecond), remaining.Round(time.Millisecond))
	}
	return nil
}

// rest returns the most tokens of an answer that do not exist yet.
func rest(message *rtwire.OfferRequest) rtid.Tokens {
	return rtid.Tokens(max(0, message.Output-message.Offset))
}

// predictWait returns the predicted time to the first token.
func (a *Agent) predictWait(item *rtqueue.Item, now time.Time) time.Duration {
	prefill := a.pace.prefill(a.queue.TokensAhead(item.Class)+item.Tokens, now)
	over := a.queue.Running() + a.queue.Waiting() + 1 - a.warm.Current()
	return max(prefill, a.pace.slot(item.Class, over, a.warm.Current()))
}

// checkMemory refuses prompts that can never fit. The memory itself is
// reserved when the request leaves the queue, because a waiting prompt uses
// none and would keep shorter ones from running.
func (a *Agent) checkMemory(o *offer, seen *view) *refusal {
	if a.kept > maxAnswers {
		return refuse(rtwire.Reason_REASON_QUEUE, "too many answers wait for their readers")
	}
	engines := a.enginesFor(o.item.Memory)
	if engines > 1+seen.peers || rtid.Tokens(o.message.Output) > a.memory.Total() {
		return refuse(rtwire.Reason_REASON_MEMORY, "the prompt needs %d tokens of memory, %d engines of the zone have %d each",
			o.item.Memory, 1+seen.peers, a.memory.Total())
	}
	return nil
}

func acceptedReply(wait time.Duration) *rtwire.OfferReply {
	return &rtwire.OfferReply{Outcome: rtwire.Outcome_OUTCOME_ACCEPTED, Wait: durationpb.New(wait)}
}
