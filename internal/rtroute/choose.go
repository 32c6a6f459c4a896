package rtroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// boundedLoad is the load above the mean, as a factor, at which a target
	// loses its affinity.
	boundedLoad = 1.25
	// maxSamples bounds the random samples of one decision. With up to three
	// excluded targets, eight samples fail only in very small lists, which
	// are then searched.
	maxSamples = 8
)

// Request is what a decision knows about a request.
type Request struct {
	Tokens    rtid.Tokens // estimate of the prompt
	MaxOutput rtid.Tokens // most tokens of the answer
	Class     rtid.Class
	Prefix    uint64        // PrefixHash of the prompt
	Remaining time.Duration // until the deadline
	Exclude   []rtid.Target // targets that have refused the request; few
}

// excludes reports whether the request may not go to a target.
func (r *Request) excludes(target rtid.Target) bool {
	return slices.Contains(r.Exclude, target)
}

// ChooseTarget returns the target of a zone for a request: the target that
// the prompt's prefix prefers if its load is bounded, else the better of two
// random ones. It reports false if the zone has no target that is not
// excluded.
func (p *Pool) ChooseTarget(name rtid.Zone, request Request, random *rand.Rand) (rtid.Target, bool) {
	z := p.zone(name)
	list := z.listFor(request.Class)
	if i, ok := p.affine(list, z, &request); ok {
		return p.targets[i].Target, true
	}
	if i, ok := p.twoChoices(list, &request, random); ok && (request.Class == rtid.ClassLong || p.targets[i].hasPlace()) {
		return p.targets[i].Target, true
	}
	// Short prompts overtake a long prefill, so that a free place beside one
	// is better than a wait for a place elsewhere.
	if i, ok := p.twoChoices(z.all, &request, random); ok {
		return p.targets[i].Target, true
	}
	return "", false
}

// listFor returns the targets that suit a length class. Preferences give way
// when they leave none.
func (z *zone) listFor(class rtid.Class) []int {
	switch {
	case class == rtid.ClassShort && len(z.short) > 0:
		return z.short
	case class == rtid.ClassLong && len(z.long) > 0:
		return z.long
	default:
		return z.all
	}
}

// affine returns the target that the prefix prefers by rendezvous hashing,
// unless it is excluded, cannot finish in time or has too much load.
func (p *Pool) affine(list []int, z *zone, request *Request) (int, bool) {
	best := -1
	var bestWeight uint64
	for _, i := range list {
		if w := weight(p.targets[i].hash, request.Prefix); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return 0, false
	}
	m := &p.targets[best]
	if request.excludes(m.Target) || !m.meets(request) || !m.hasMemory(request) {
		return 0, false
	}
	// Whether the prefix is cached is not known, and how much of the prompt it
	// covers is not either, so that only a short wait is worth it when the
	// mean is low.
	mean := float64(z.work) / float64(len(z.all))
	bound := max(boundedLoad*mean, float64(min(request.Tokens, rtid.ShortLimit)))
	return best, float64(m.PrefillBacklog()) <= bound && m.hasPlace()
}

// twoChoices returns the better of two random targets of a list.
func (p *Pool) twoChoices(list []int, request *Request, random *rand.Rand) (int, bool) {
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
	return p.search(list, request)
}

// search returns the best target of a list that is not excluded.
func (p *Pool) search(list []int, request *Request) (int, bool) {
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

// better returns the target that has the memory, then the one that meets the
// deadline, then the one with the earlier first token.
func (p *Pool) better(i, j int, request *Request) int {
	a, b := &p.targets[i], &p.targets[j]
	if fits := a.hasMemory(request); fits != b.hasMemory(request) {
		if fits {
			return i
		}
		return j
	}
	if meets := a.meets(request); meets != b.meets(request) {
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

// meets reports whether the first token is predicted within the remaining
// time. The completion is not required, because few answers use all of their
// output tokens.
func (r *Report) meets(request *Request) bool {
	return request.Remaining <= 0 || r.PredictedFirstToken(request.Tokens) <= request.Remaining
}

// rateMargin is how much faster than reported a target is taken to be before a
// request is called impossible. Reported rates are means over prompts.
const rateMargin = 1.25

// Possible reports whether any target could give the first token within the
// remaining time if it had no other work. Reports lag, so load does not count
// here: the agents decide about it.
func (p *Pool) Feasible(request Request) bool {
	if request.Remaining <= 0 || len(p.targets) == 0 {
		return true
	}
	needed := float64(request.Tokens) / request.Remaining.Seconds() / rateMargin
	for i := range p.targets {
		if rate := p.targets[i].Rate; rate <= 0 || rate >= needed {
			return true
		}
	}
	return false
}

// LeastLoaded returns the target with the lowest corrected load relative to
// its limit, in any zone. Equal ones are chosen among at random.
func (p *Pool) LeastLoaded(random *rand.Rand) (rtid.Target, bool) {
	best, equal := -1, 0
	for i := range p.targets {
		switch {
		case best < 0 || p.targets[i].fullness() < p.targets[best].fullness():
			best, equal = i, 1
		case p.targets[i].fullness() == p.targets[best].fullness():
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

// fullness returns the occupied part of the limit, with queued work above it.
func (r *Report) fullness() float64 {
	return float64(r.occupied())/float64(max(1, r.Limit)) + float64(r.PrefillBacklog())
}
