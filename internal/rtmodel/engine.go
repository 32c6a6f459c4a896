// Package rtmodel plays a load against engines in virtual time, thousands of
// times faster than real time, with the same decisions that gateways take. It
// has no sockets and no goroutines; the same seed gives the same result.
//
// The model of an engine follows the published costs: work is done in passes; a
// pass with writers makes a fixed number of token steps, and reads all parts of
// prompts that it has got.
package rtmodel

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// engine is one modelled engine.
type engine struct {
	costs    *rtcatalog.Engine
	instance *rtcatalog.Instance
	waiting  []*request // that found no slot
	queue    []part     // of prompts, not read yet
	reading  []part     // read in the pass that runs
	writers  []*request // in the pass that runs and later
	running  bool
}

// part is a piece of a prompt to read.
type part struct {
	request *request
	work    time.Duration
}

// request is one request of the load.
type request struct {
	kind    *Kind
	work    rtplacement.Work
	arrived time.Duration // since the start of the run
	tried   time.Duration // when the caller sent it last
	back    bool          // the caller has come back after a refusal
	gateway int
	parts   int // not read yet
	steps   int // passes left to write
	target  *engine
	flight  *rtplacement.InFlightRequest
	share   int // engines that the prompt is read by
	sent    bool
	first   time.Duration // from arrival to the first event
	last    time.Duration // time of the last event
	pause   time.Duration // longest between two events
	ended   bool
	refused bool
}

// begin starts the next pass. It returns its length, or 0 if there is nothing
// to do.
func (e *engine) begin() time.Duration {
	for len(e.waiting) > 0 && len(e.writers)+e.reserved() < e.costs.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if next.ended {
			continue
		}
		e.queue = append(e.queue, part{request: next, work: rtplacement.PrefillTime(e.costs, next.work.Prompt, next.share)})
	}
	e.reading, e.queue = e.queue, nil
	// The parts of callers that have left are dropped.
	e.reading = slices.DeleteFunc(e.reading, func(p part) bool { return p.request.ended })
	length := e.writing()
	for _, p := range e.reading {
		length += p.work
	}
	e.running = length > 0
	return length
}

// reserved counts requests of this engine whose prompts are being read.
func (e *engine) reserved() int {
	count := 0
	for _, p := range e.queue {
		if p.request.target == e {
			count++
		}
	}
	return count
}

// writing returns the time of the token steps of a pass.
func (e *engine) writing() time.Duration {
	if len(e.writers) == 0 {
		return 0
	}
	var load rtplacement.Load
	load.Requests = len(e.writers)
	for _, w := range e.writers {
		load.Context += w.work.Prompt / rtid.Tokens(w.share)
	}
	return rtplacement.DecodePassTime(e.costs, load)
}

// end finishes the pass at a time. It returns the requests whose prompts have
// been read whole, and those that have ended.
func (e *engine) end(now time.Duration) (read, ended []*request) {
	for _, p := range e.reading {
		p.request.parts--
		if p.request.parts == 0 {
			read = append(read, p.request)
		}
	}
	e.reading = nil
	still := e.writers[:0]
	for _, w := range e.writers {
		w.event(now)
		if w.ended {
			ended = append(ended, w)
		} else {
			still = append(still, w)
		}
	}
	e.writers = still
	return read, ended
}

// event is one event of a stream.
func (r *request) event(now time.Duration) {
	if r.first == 0 {
		r.first = now - r.arrived
	} else {
		r.pause = max(r.pause, now-r.last)
	}
	r.last = now
	r.steps--
	r.ended = r.steps <= 0
}
