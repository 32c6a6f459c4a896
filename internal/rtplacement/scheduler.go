package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Scheduler decides about the requests of one engine service. The zero value
// is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	pools Pools
	// What became of long prompts lately: of the largest, which smaller ones
	// always overtake, and of the others.
	largest, other served
}

const (
	// largestPart tells the largest prompts: about a tenth of those of the longest
	// kind are read in longer parts by all engines that can take part.
	largestPart = 450 * time.Millisecond
	// floor is the part of the others' service below which the largest prompts
	// do not wait for idle engines. Half is what operators ask for.
	floor = 0.6
	// floorPart is the longest part of a prompt that the floor sends: a little
	// over the usual bound on pauses of long requests (1 s).
	floorPart = 1200 * time.Millisecond
	// servedDecay is the weight of what came before one more request: the last
	// twenty or so count.
	servedDecay = 0.95
)

// served is the part of requests that was sent, with more weight on the last
// ones. The zero value has seen none.
type served struct {
	sent, refused float64
}

// add counts the end of a decision.
func (s *served) add(decision Decision) {
	s.sent *= servedDecay
	s.refused *= servedDecay
	if decision == Send {
		s.sent++
	} else {
		s.refused++
	}
}

// share returns the part that was sent; 0 if there was none. A gateway sees few
// of the largest prompts, and callers that come back reach another one.
func (s *served) share() float64 { return s.sent / max(1, s.sent+s.refused) }

// floored corrects a decision about a long prompt so that the largest are
// served at least floor as often as the others. It answers overload, in which
// the engines never have so much room at once as a large prompt needs.
func (s *Scheduler) floored(engine *rtcatalog.Engine, work Work, choice Choice, decision Decision, engines int) Decision {
	counted := &s.other
	if ReadTime(engine, work.Prompt, min(engines, 1+maxHelpers)) > largestPart {
		counted = &s.largest
		owed := s.largest.share() < floor*s.other.share()
		if owed && choice.Part <= floorPart && choice.First <= work.Patience-work.Waited {
			decision = Send
		}
	}
	if decision != Wait {
		counted.add(decision)
	}
	return decision
}

// Verdict is a choice and whether to follow it now.
type Verdict struct {
	Choice
	Decision Decision
	Pressure Pressure
}

// Decide returns where a request goes and whether now, by what is believed of
// the candidates. It reports false without a candidate.
func (s *Scheduler) Decide(engine *rtcatalog.Engine, work Work, candidates []Candidate, gateways int,
	now time.Time) (Verdict, bool) {
	writers := 0
	for i := range candidates {
		writers += candidates[i].Load.Writers
	}
	pressure := PressureOf(candidates, s.pools.Now())
	tight := s.pools.Tight(len(candidates), max(1, engine.Slots), writers, pressure.Backlog, now)
	choice, ok := Engine(engine, work, candidates, Sight{Tight: tight, Gateways: gateways})
	if !ok {
		return Verdict{}, false
	}
	decision := Admit(work, choice, pressure)
	if !work.Tight() {
		decision = s.floored(engine, work, choice, decision, len(candidates))
	}
	return Verdict{Choice: choice, Decision: decision, Pressure: pressure}, true
}
