package rtroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// affinityLoadFactor times the zone's mean prefill backlog is the backlog
	// above which a target is not selected by affinity.
	affinityLoadFactor = 1.25
	// maxSamples limits the random samples of one decision. With up to three
	// excluded targets, eight samples find no target only in very small lists,
	// which are then scanned.
	maxSamples = 8
)

// Request holds the properties of a request that its placement depends on.
type Request struct {
	Tokens    rtid.Tokens // estimate of the prompt
	MaxOutput rtid.Tokens // limit of the answer
	Class     rtid.Class
	Prefix    uint64        // PrefixHash of the prompt
	Remaining time.Duration // until the deadline
	Exclude   []rtid.Target // targets already tried; few
}

// excludes reports whether the request must not be sent to a target.
func (r *Request) excludes(target rtid.Target) bool {
	return slices.Contains(r.Exclude, target)
}

// ChooseTarget selects the target of a zone for a request: the affinity target
// of the prompt's prefix if its load is low enough, else the better of two
// random targets. It reports false if all targets of the zone are excluded.
func (p *Pool) ChooseTarget(name rtid.Zone, request Request, random *rand.Rand) (rtid.Target, bool) {
	z := p.zone(name)
	list := z.targetsFor(request.Class)
	if i, ok := p.affinityTarget(list, z, &request); ok {
		return p.targets[i].Target, true
	}
	if i, ok := p.betterOfTwo(list, &request, random); ok && (request.Class == rtid.ClassLong || p.targets[i].hasFreeSlot()) {
		return p.targets[i].Target, true
	}
	// Agents schedule short prompts before a long prefill, so a free slot at a
	// target with a long prefill is better than a wait for a slot elsewhere.
	if i, ok := p.betterOfTwo(z.all, &request, random); ok {
		return p.targets[i].Target, true
	}
	return "", false
}

// targetsFor returns the targets preferred for a length class, or all targets if
// none is preferred.
func (z *zone) targetsFor(class rtid.Class) []int {
	switch {
	case class == rtid.ClassShort && len(z.withoutLongPrefill) > 0:
		return z.withoutLongPrefill
	case class == rtid.ClassLong && len(z.forLongPrompts) > 0:
		return z.forLongPrompts
	default:
		return z.all
	}
}

// affinityTarget returns the target with the highest rendezvous weight for the
// prefix. It reports false if that target is excluded, is predicted to miss the
// deadline, lacks memory or a free slot, or has too much load.
func (p *Pool) affinityTarget(list []int, z *zone, request *Request) (int, bool) {
	best := -1
	var bestWeight uint64
	for _, i := range list {
		if w := rendezvousWeight(p.targets[i].hash, request.Prefix); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return 0, false
	}
	m := &p.targets[best]
	if request.excludes(m.Target) || !m.meetsDeadline(request) || !m.hasMemory(request) {
		return 0, false
	}
	// It is not known whether the prefix is cached or how much of the prompt it
	// covers, so if the mean is low only a short wait is accepted.
	mean := float64(z.prefillBacklog) / float64(len(z.all))
	bound := max(affinityLoadFactor*mean, float64(min(request.Tokens, rtid.ShortLimit)))
	return best, float64(m.PrefillBacklog()) <= bound && m.hasFreeSlot()
}

// betterOfTwo returns the better of two random targets of a list that are not
// excluded. It reports false if all are excluded.
func (p *Pool) betterOfTwo(list []int, request *Request, random *rand.Rand) (int, bool) {
	if len(list) == 0 {
		return 0, false
	}
	first := -1
	for range maxSamples {
		i := list[random.IntN(len(list))]
		if i == first || request.excludes(p.targets[i].Target) {
			continue
		}
		if first >= 0 {
			return p.better(first, i, request), true
		}
		first = i
	}
	if first >= 0 {
		return first, true
	}
	return p.bestOf(list, request)
}

// bestOf returns the best target of a list that is not excluded.
func (p *Pool) bestOf(list []int, request *Request) (int, bool) {
	best := -1
	for _, i := range list {
		if request.excludes(p.targets[i].Target) {
			continue
		}
		if best < 0 || p.better(best, i, request) == i {
			best = i
		}
	}
	return best, best >= 0
}

// better returns the better of two targets. It compares them by free memory for
// the request, then by meeting the deadline, then by the predicted first token.
func (p *Pool) better(i, j int, request *Request) int {
	a, b := &p.targets[i], &p.targets[j]
	if fits := a.hasMemory(request); fits != b.hasMemory(request) {
		if fits {
			return i
		}
		return j
	}
	if meets := a.meetsDeadline(request); meets != b.meetsDeadline(request) {
		if meets {
			return i
		}
		return j
	}
	if b.PredictedFirstToken(request.Tokens) < a.PredictedFirstToken(request.Tokens) {
		return j
	}
	return i
}

// meetsDeadline reports whether the first token is predicted within the
// remaining time. The completion is not considered, because few answers use all
// of their output tokens.
func (r *Report) meetsDeadline(request *Request) bool {
	return request.Remaining <= 0 || r.PredictedFirstToken(request.Tokens) <= request.Remaining
}

// rateMargin is the factor by which Feasible assumes that a target can exceed
// its reported rate. Reported rates are means over prompts, so a single prompt
// may be faster.
const rateMargin = 1.25

// Feasible reports whether any target could produce the first token within the
// remaining time if it had no other work. It ignores load, because reports lag;
// the agents check against their current load.
func (p *Pool) Feasible(request Request) bool {
	if request.Remaining <= 0 || len(p.targets) == 0 {
		return true
	}
	needed := float64(request.Tokens) / request.Remaining.Seconds() / rateMargin
	for i := range p.targets {
		if rate := p.targets[i].PrefillRate; rate <= 0 || rate >= needed {
			return true
		}
	}
	return false
}

// LeastLoaded returns the target of any zone with the lowest relative load,
// pending work included. Ties are broken at random.
func (p *Pool) LeastLoaded(random *rand.Rand) (rtid.Target, bool) {
	best, equal := -1, 0
	for i := range p.targets {
		switch {
		case best < 0 || p.targets[i].relativeLoad() < p.targets[best].relativeLoad():
			best, equal = i, 1
		case p.targets[i].relativeLoad() == p.targets[best].relativeLoad():
			equal++
			if random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return "", false
	}
	return p.targets[best].Target, true
}

// relativeLoad returns the occupied slots relative to the limit, plus the
// prefill backlog in tokens. The backlog outweighs the slots.
func (r *Report) relativeLoad() float64 {
	return float64(r.occupiedSlots())/float64(max(1, r.Limit)) + float64(r.PrefillBacklog())
}
