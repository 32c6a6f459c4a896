// Package rtroute selects the zone and the target of a request in an entry. It
// uses no sockets and no clock: time and random numbers are parameters, so that
// a test can reproduce a decision.
package rtroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// slotWait is the assumed time until a request ends and frees its slot,
	// used to predict the wait at a target that runs as many requests as its
	// warm-up limit allows. An answer of a few hundred tokens takes seconds, so
	// one second prefers targets with a free slot without outweighing a long
	// queue.
	slotWait = time.Second
	// defaultPrefillRate, in tokens per second, is assumed for a target that
	// has not reported its rate. It is low, so that targets with a reported
	// rate are preferred.
	defaultPrefillRate = 1000
	// decodeTokenTime is the planned time between two tokens of an answer, used
	// to predict the completion, because agents do not report theirs.
	decodeTokenTime = 37 * time.Millisecond
)

// Report is the state of one agent: its last reported load, and the work that
// this entry has sent since.
type Report struct {
	Target        rtid.Target
	Zone          rtid.Zone
	Alive         bool
	Draining      bool
	Ready         bool
	QueuedTokens  rtid.Tokens // tokens of prompts that wait
	PrefillTokens rtid.Tokens // tokens of running prompts before their first token
	Running       int         // running requests
	Limit         int         // limit of running requests now, low during warm-up
	Slots         int         // limit of running requests when warm
	PrefillRate   float64     // prefill tokens per second
	UsedMemory    rtid.Tokens // used KV memory
	TotalMemory   rtid.Tokens // total KV memory; 0 if not known
	Pending       Pending     // this entry's offers that the report does not include
}

// Pending is the work that an entry has sent to one target since its report.
type Pending struct {
	Tokens   rtid.Tokens
	Requests int
}

// Eligible reports whether an agent may get new work. The function zoneIn
// reports whether a zone accepts new work.
func (r *Report) Eligible(zoneIn func(rtid.Zone) bool) bool {
	return r.Alive && r.Ready && !r.Draining && zoneIn(r.Zone)
}

// PrefillBacklog returns the tokens still to prefill: those that the target has
// reported, and those that this entry has sent since.
func (r *Report) PrefillBacklog() rtid.Tokens {
	return r.QueuedTokens + r.PrefillTokens + r.Pending.Tokens
}

// occupiedSlots returns the number of requests that occupy or wait for a slot.
func (r *Report) occupiedSlots() int {
	return r.Running + r.Pending.Requests
}

// hasMemory reports whether the KV memory for a request is free, with all waiting
// prompts served before it. It returns true if the memory is not known, and for
// a request that is larger than the memory of the engine, because such a request
// waits at any target.
func (r *Report) hasMemory(request *Request) bool {
	needed := request.Tokens + request.MaxOutput
	if needed > r.TotalMemory {
		return true
	}
	return r.UsedMemory+r.QueuedTokens+r.Pending.Tokens+needed <= r.TotalMemory
}

// hasFreeSlot reports whether a request would get a slot without a wait.
func (r *Report) hasFreeSlot() bool {
	return r.occupiedSlots() < max(1, r.Limit)
}

// PredictedFirstToken returns the predicted time from the offer to the first
// token of a prompt.
func (r *Report) PredictedFirstToken(prompt rtid.Tokens) time.Duration {
	rate := r.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	seconds := float64(r.PrefillBacklog()+prompt) / rate
	return time.Duration(seconds*float64(time.Second)) + r.predictedSlotWait()
}

// predictedSlotWait predicts the wait for a slot under the warm-up limit.
func (r *Report) predictedSlotWait() time.Duration {
	limit := max(1, r.Limit)
	over := r.occupiedSlots() - limit + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * slotWait / time.Duration(limit)
}

// PredictedCompletion returns the predicted time from the offer to the end of the
// answer.
func (r *Report) PredictedCompletion(prompt, output rtid.Tokens) time.Duration {
	return r.PredictedFirstToken(prompt) + time.Duration(output)*decodeTokenTime
}

// hasLongPrefill reports whether the target is prefilling a long prompt, behind
// which a short prompt would wait.
func (r *Report) hasLongPrefill() bool {
	return r.PrefillTokens > rtid.MediumLimit
}

// affinityPrefixSize is the length of the prefix that determines a prompt's
// affinity, in bytes. Prompts made from the same form share at least this much.
const affinityPrefixSize = 1024

// PrefixHash returns the hash of a prompt's prefix. Prompts with the same hash
// have the same affinity target.
func PrefixHash(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), affinityPrefixSize)])
}

// hashTarget returns the hash of a target's name.
func hashTarget(target rtid.Target) uint64 {
	return xxhash.Sum64String(string(target))
}

// rendezvousWeight returns the rendezvous weight of two hashes. The finaliser of
// splitmix64 mixes them, because xxhash values of similar names can share bits.
func rendezvousWeight(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
