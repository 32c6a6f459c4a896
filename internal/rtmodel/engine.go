// Package rtmodel simulates a workload on engines in virtual time, thousands of
// times faster than real time, with the same placement code that gateways use.
// It has no sockets and no goroutines; the same seed gives the same result.
//
// The model of an engine follows the published costs. An engine works in
// passes. A pass makes a fixed number of decode steps for the requests that
// decode, and prefills all parts of prompts that are queued.
package rtmodel

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// engine is a simulated engine.
type engine struct {
	costs        *rtcatalog.Engine
	instance     *rtcatalog.Instance
	waiting      []*request // for a slot
	prefillQueue []part     // parts that are not prefilled yet
	prefilling   []part     // parts that are prefilled in the current pass
	decoding     []*request // in the current pass and later ones
	running      bool
}

// part is a part of a prompt that one engine prefills.
type part struct {
	request *request
	prefill time.Duration
}

// request is one request of the workload.
type request struct {
	kind            *Kind
	work            rtplacement.Work
	arrived         time.Duration // since the start of the run
	sentAt          time.Duration // when the caller last sent it
	retried         bool          // the caller has sent it again after a refusal
	gateway         int
	pendingParts    int // parts that are not prefilled yet
	remainingPasses int // decode passes until the end of the answer
	target          *engine
	inFlight        *rtplacement.InFlightRequest
	partCount       int // engines that prefill the prompt
	placement       rtplacement.Placement
	placedAt        time.Duration // when it was sent to its engines, since the start of the run
	sent            bool
	firstEvent      time.Duration // from arrival to the first event
	lastEventAt     time.Duration
	longestGap      time.Duration // between two events
	ended           bool
	refused         bool
}

// beginPass starts the next pass. It returns its duration, or 0 if there is
// nothing to do.
func (e *engine) beginPass() time.Duration {
	for len(e.waiting) > 0 && len(e.decoding)+e.reservedSlots() < e.costs.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if next.ended {
			continue
		}
		e.prefillQueue = append(e.prefillQueue, part{request: next, prefill: rtplacement.PrefillTime(e.costs, next.work.Prompt, next.partCount)})
	}
	e.prefilling, e.prefillQueue = e.prefillQueue, nil
	// Drop the parts of callers that have abandoned their requests.
	e.prefilling = slices.DeleteFunc(e.prefilling, func(p part) bool { return p.request.ended })
	duration := e.decodeTime()
	for _, p := range e.prefilling {
		duration += p.prefill
	}
	e.running = duration > 0
	return duration
}

// reservedSlots counts the requests of this engine whose prompts are in the
// prefill queue.
func (e *engine) reservedSlots() int {
	count := 0
	for _, p := range e.prefillQueue {
		if p.request.target == e {
			count++
		}
	}
	return count
}

// decodeTime returns the time of the decode steps of a pass.
func (e *engine) decodeTime() time.Duration {
	if len(e.decoding) == 0 {
		return 0
	}
	var load rtplacement.Load
	load.Requests = len(e.decoding)
	for _, r := range e.decoding {
		load.Context += r.work.Prompt / rtid.Tokens(r.partCount)
	}
	return rtplacement.DecodePassTime(e.costs, load)
}

// endPass ends the current pass. It returns the requests whose prompts are
// completely prefilled, those that have sent their first event, and those that have
// ended.
func (e *engine) endPass(now time.Duration) (prefilled, began, ended []*request) {
	for _, p := range e.prefilling {
		p.request.pendingParts--
		if p.request.pendingParts == 0 {
			prefilled = append(prefilled, p.request)
		}
	}
	e.prefilling = nil
	remaining := e.decoding[:0]
	for _, r := range e.decoding {
		if r.firstEvent == 0 {
			began = append(began, r)
		}
		r.recordEvent(now)
		if r.ended {
			ended = append(ended, r)
		} else {
			remaining = append(remaining, r)
		}
	}
	e.decoding = remaining
	return prefilled, began, ended
}

// recordEvent records one event of the answer.
func (r *request) recordEvent(now time.Duration) {
	if r.firstEvent == 0 {
		r.firstEvent = now - r.arrived
	} else {
		r.longestGap = max(r.longestGap, now-r.lastEventAt)
	}
	r.lastEventAt = now
	r.remainingPasses--
	r.ended = r.remainingPasses <= 0
}
