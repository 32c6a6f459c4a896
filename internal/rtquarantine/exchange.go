package rtquarantine

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// MaxDelay is the longest time between Observations and Merge. Reports of a crash
// must arrive within sameCrash of it, also by way of a third process. Otherwise
// processes would take each other's reports for new crashes.
const MaxDelay = sameCrash / 2

// maxObservations is how many parts Observations returns at most. Peers exchange
// them several times a second in one datagram.
const maxObservations = 32

// Crash is a crash of a target in an observation.
type Crash struct {
	Target rtid.Target
	Age    time.Duration // since the crash
	Held   time.Duration // for which the target had had the whole request; 0 if unknown, or of a part
}

// Observation is what a process knows about a part, by itself or from its peers.
// Times are ages because the clocks of processes differ.
type Observation struct {
	Part       rtid.Part
	Crashes    []Crash       // not followed by a known success
	Refuted    []Crash       // followed by a success
	RefutedAge time.Duration // since the last of Refuted was refuted; zero for none
}

// Observations returns what peers must know, most relevant first. If there is
// more than fits, the less relevant parts and crashes take turns.
func (r *Register) Observations(now time.Time) []Observation {
	r.evict(now)
	r.rotation++
	var observations []Observation
	for _, part := range r.byRelevance() {
		if o := r.suspects[part].observation(part, now, r.rotation); len(o.Crashes)+len(o.Refuted) > 0 {
			observations = append(observations, o)
		}
	}
	if len(observations) <= maxObservations {
		return observations
	}
	const fixed = maxObservations / 2
	selected, rest := observations[:fixed:fixed], observations[fixed:]
	for i := range maxObservations - fixed {
		selected = append(selected, rest[(r.rotation*fixed/2+i)%len(rest)])
	}
	return selected
}

// observation returns the evidence that is not about to be forgotten.
func (s *suspect) observation(part rtid.Part, now time.Time, rotation int) Observation {
	o := Observation{Part: part}
	later := now.Add(exchangeMargin)
	if later.Before(s.liveEnd) {
		o.Crashes = ages(selectReported(s.live, s.evidence(s.live), rotation), now)
	}
	if later.Sub(s.refutedAt) < refutationTime {
		refuted := slices.DeleteFunc(slices.Clone(s.settled), func(c crash) bool { return !c.refuted })
		o.Refuted = ages(selectReported(refuted, nil, rotation), now)
		o.RefutedAge = now.Sub(s.refutedAt)
	}
	return o
}

// ages converts crashes to those of an observation.
func ages(crashes []crash, now time.Time) []Crash {
	converted := make([]Crash, 0, len(crashes))
	for _, c := range crashes {
		crash := Crash{Target: c.target, Age: now.Sub(c.at)}
		if !c.sent.IsZero() {
			crash.Held = c.at.Sub(c.sent)
		}
		converted = append(converted, crash)
	}
	return converted
}

// Merge adds the observations of a peer and returns the parts that are newly in
// quarantine. Observations that took longer than MaxDelay must be dropped. The
// order and the number of times in which observations are merged
// do not matter: a crash that is known is not counted again, its earliest report
// counts, and a refuted crash stays refuted. Only crashes are refuted, not times
// up to which a part is sound, because such a time would move on with the delay of
// each exchange and refute later crashes.
func (r *Register) Merge(observations []Observation, now time.Time) []rtid.Part {
	var quarantined []rtid.Part
	for _, o := range observations {
		s := r.suspect(o.Part, now)
		before := r.keptAway(s, now)
		for _, c := range firstOf(o.Refuted) {
			s.refute(c.at(now), now.Add(-max(0, o.RefutedAge)))
		}
		for _, c := range firstOf(o.Crashes) {
			s.add(c.at(now))
		}
		s.update()
		s.refuteUntil(r.sound.last(o.Part), now)
		s.update()
		if !before && r.keptAway(s, now) {
			quarantined = append(quarantined, o.Part)
		}
	}
	r.evict(now)
	return quarantined
}

// firstOf limits the work for a list of crashes to those that a process sends.
func firstOf(crashes []Crash) []Crash { return crashes[:min(len(crashes), maxReportedCrashes)] }

// at converts a crash of an observation that is received now.
func (c Crash) at(now time.Time) crash {
	converted := crash{target: c.Target, at: now.Add(-max(0, c.Age))}
	if c.Held > 0 {
		converted.sent = converted.at.Add(-c.Held)
	}
	return converted
}
