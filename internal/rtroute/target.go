// Package rtroute holds the decisions of an entry about where a request goes.
// The functions have no sockets and no clock: time and random numbers are
// parameters, so that a decision can be repeated in a test.
package rtroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// slotWait is the predicted wait for a place when a target runs as many
	// requests as its warm-up limit allows. An answer of some hundred tokens
	// takes seconds, so that one second prefers targets with a free place
	// without outweighing a long queue.
	slotWait = time.Second
	// unknownRate is used for a target that has not reported its rate, in
	// tokens per second. It is low, so that measured targets come first.
	unknownRate = 1000
	// tokenTime is the planned time between two tokens of an answer, used to
	// predict the completion, because agents do not report theirs.
	tokenTime = 37 * time.Millisecond
)

// Report is the state of one agent as an entry knows it.
type Report struct {
	Target   rtid.Target
	Zone     rtid.Zone
	Alive    bool
	Draining bool
	Ready    bool
	Queued   rtid.Tokens // prompts that wait
	Prefill  rtid.Tokens // running prompts before their first token
	Running  int         // requests
	Limit    int         // most running requests now, after warm-up
	Slots    int         // most running requests when warm
	Rate     float64     // prefill tokens per second
	Used     rtid.Tokens // KV memory
	Total    rtid.Tokens // KV memory; 0 if not known
	Pending  Pending     // own offers that the report does not include
}

// Pending is the work that an entry has sent to one target since its report.
type Pending struct {
	Tokens   rtid.Tokens
	Requests int
}

// Eligible reports whether an agent may get new work. Zones tells whether a
// zone takes new work.
func (r *Report) Eligible(zoneIn func(rtid.Zone) bool) bool {
	return r.Alive && r.Ready && !r.Draining && zoneIn(r.Zone)
}

// Work returns the corrected load: what the target has reported and what the
// entry has sent since.
func (r *Report) PrefillBacklog() rtid.Tokens {
	return r.Queued + r.Prefill + r.Pending.Tokens
}

// occupied returns the requests that hold or await a place.
func (r *Report) occupied() int {
	return r.Running + r.Pending.Requests
}

// hasMemory reports whether the KV memory for a request is free, with all that
// waits served before it. A prompt larger than one engine waits anywhere.
func (r *Report) hasMemory(request *Request) bool {
	needed := request.Tokens + request.MaxOutput
	if needed > r.Total {
		return true
	}
	return r.Used+r.Queued+r.Pending.Tokens+needed <= r.Total
}

// hasPlace reports whether a request would not wait for a place.
func (r *Report) hasPlace() bool {
	return r.occupied() < max(1, r.Limit)
}

// FirstToken predicts the time from the offer to the first token of a prompt.
func (r *Report) PredictedFirstToken(prompt rtid.Tokens) time.Duration {
	rate := r.Rate
	if rate <= 0 {
		rate = unknownRate
	}
	seconds := float64(r.PrefillBacklog()+prompt) / rate
	return time.Duration(seconds*float64(time.Second)) + r.placeWait()
}

// placeWait predicts the wait for a place under the warm-up limit.
func (r *Report) placeWait() time.Duration {
	limit := max(1, r.Limit)
	over := r.occupied() - limit + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * slotWait / time.Duration(limit)
}

// Completion predicts the time from the offer to the end of the answer.
func (r *Report) PredictedCompletion(prompt, output rtid.Tokens) time.Duration {
	return r.PredictedFirstToken(prompt) + time.Duration(output)*tokenTime
}

// longPrefill reports whether a long prompt is before its first token, behind
// which a short prompt would wait.
func (r *Report) longPrefill() bool {
	return r.Prefill > rtid.MediumLimit
}

// prefixSize is the part of a prompt that decides its affinity, in bytes.
// Prompts of one form share at least this much.
const prefixSize = 1024

// PrefixHash returns the hash by which prompts with the same start go to the
// same target.
func PrefixHash(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), prefixSize)])
}

// hashTarget returns the hash of a target's name.
func hashTarget(target rtid.Target) uint64 {
	return xxhash.Sum64String(string(target))
}

// weight returns the rendezvous weight of two hashes. The finaliser of
// splitmix64 spreads them, because xxhash of similar names can share bits.
func weight(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
