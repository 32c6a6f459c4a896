package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Scheduler decides about the requests of one engine service. The zero value
// is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	pools Pools
	// What became of long prompts lately: of those whose parts are long even if
	// all engines read them, and of the others.
	huge, other served
}

// served is the part of requests that was sent, with more weight on the last
// ones. The zero value has seen none.
type served struct {
	sent, refused float64
}

const (
	// servedDecay is the weight of what came before one more request: the last
	// twenty or so count.
	servedDecay = 0.95
	// hugeFloor is the part of the other long prompts' service below which the
	// longest ones go first, whatever it costs the others.
	hugeFloor = 0.5
	// widePart is the longest part of a prompt that all engines may read at the
	// same time: the bound on pauses of long requests is a second.
	widePart = 900 * time.Millisecond
)

// add counts one request.
func (s *served) add(decision Decision) {
	s.sent *= servedDecay
	s.refused *= servedDecay
	if decision == Send {
		s.sent++
	} else {
		s.refused++
	}
}

// share returns the part that was sent; 1 if there was none.
func (s *served) share() float64 {
	if s.sent+s.refused == 0 {
		return 1
	}
	return s.sent / (s.sent + s.refused)
}

// count records the end of a decision about a long prompt.
func (s *Scheduler) count(decision Decision, huge bool) {
	switch {
	case decision == Wait:
	case huge:
		s.huge.add(decision)
	default:
		s.other.add(decision)
	}
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
	sight := Sight{Tight: tight, Gateways: gateways}
	choice, ok := Engine(engine, work, candidates, sight)
	if !ok {
		return Verdict{}, false
	}
	decision := Admit(work, choice, pressure)
	if !work.Tight() {
		huge := ReadTime(engine, work.Prompt, min(len(candidates), 1+maxHelpers)) > gapPart
		if huge && decision != Refuse {
			choice, decision = s.decideHuge(engine, work, candidates, sight, choice, decision)
		}
		s.count(decision, huge)
	}
	return Verdict{Choice: choice, Decision: decision, Pressure: pressure}, true
}

// decideHuge decides about a prompt whose parts are long even if all engines
// read them. Read by all, it would stop the service for seconds: it answers a
// burst of short prompts that finds all engines taken by one prompt. It is read
// by a few engines, late, as often as the floor asks for.
func (s *Scheduler) decideHuge(engine *rtcatalog.Engine, work Work, candidates []Candidate, sight Sight,
	choice Choice, decision Decision) (Choice, Decision) {
	if s.huge.share() < hugeFloor*s.other.share() {
		few := narrow(engine, work, candidates, sight)
		if few.First <= work.Patience-work.Waited {
			return few, Send
		}
		return few, Refuse
	}
	if choice.Part > widePart {
		return choice, Refuse
	}
	return choice, decision
}
