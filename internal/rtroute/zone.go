package rtroute

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Hysteresis of the spill from the entry's own zone. Between the two values
// a zone keeps its state, so that load does not move to and fro.
const (
	spillFrom  = 0.90
	spillUntil = 0.75
)

// CrossZoneCost is added to the predicted first token of a target in another
// zone: a few milliseconds one way for the offer, its reply, the read and the
// answer, and the price of the link.
const CrossZoneCost = 20 * time.Millisecond

// Usage is how much of a zone's capacity is in use.
type Usage struct {
	Running      int     // requests that hold or await a place
	Limit        int     // most running requests now; low while targets warm up
	Slots        int     // most running requests when all targets are warm
	PlannedRate  float64 // planned requests per second of the zone; 0 if not planned
	MeasuredRate float64 // requests per second that the zone gets
}

// Part returns the used part of the capacity: of the places under the warm-up
// limits, or of the planned rate scaled by them, whichever is more. A zone
// that returns cold is therefore full at a small load, and gets more only as
// its agents raise their limits.
func (u Usage) Utilisation() float64 {
	if u.Limit == 0 {
		return 1
	}
	part := float64(u.Running) / float64(u.Limit)
	if u.PlannedRate > 0 && u.Slots > 0 {
		warm := min(1, float64(u.Limit)/float64(u.Slots))
		part = max(part, u.MeasuredRate/(u.PlannedRate*warm))
	}
	return part
}

// free returns the places below the spill threshold.
func (u Usage) free() float64 {
	return max(0, spillFrom-u.Utilisation()) * float64(u.Limit)
}

// Spill is the state of the spill from one zone. The zero value does not
// spill.
type Spill struct {
	active bool
}

// Update takes in the used part of the own zone and returns the part of new
// requests that leaves it: from none at spillUntil to all at spillFrom, so
// that load moves in proportion.
func (s *Spill) Update(part float64) float64 {
	switch {
	case part >= spillFrom:
		s.active = true
	case part <= spillUntil:
		s.active = false
	}
	if !s.active {
		return 0
	}
	return min(1, (part-spillUntil)/(spillFrom-spillUntil))
}

// Active reports whether the zone spills.
func (s *Spill) Active() bool { return s.active }

// SetRate sets the planned and measured requests per second of a zone.
func (p *Pool) SetRate(name rtid.Zone, planned, measured float64) {
	for i := range p.zones {
		if p.zones[i].name == name {
			p.zones[i].PlannedRate = planned
			p.zones[i].MeasuredRate = measured
		}
	}
}

// Zones returns the names of the zones with targets, sorted.
func (p *Pool) Zones() []rtid.Zone {
	names := make([]rtid.Zone, 0, len(p.zones))
	for i := range p.zones {
		names = append(names, p.zones[i].name)
	}
	return names
}

// UsageOf returns the usage of a zone of the pool.
func (p *Pool) UsageOf(name rtid.Zone) Usage {
	for i := range p.zones {
		if p.zones[i].name == name {
			return p.zones[i].Usage
		}
	}
	return Usage{}
}

// ChooseZone returns the zone for a request: the own zone until it spills,
// then one with free places. If no zone has any, the zone with the earliest
// predicted first token. It reports false if the pool is empty.
func (p *Pool) ChooseZone(own rtid.Zone, spill *Spill, request Request, random *rand.Rand) (rtid.Zone, bool) {
	if len(p.zones) == 0 {
		return "", false
	}
	home := p.usableZone(own, &request)
	if home != nil && random.Float64() >= spill.Update(home.Utilisation()) {
		return own, true
	}
	if other := p.sampleZone(own, &request, random); other != nil {
		return other.name, true
	}
	best := p.earliestZone(own, &request)
	if best == nil {
		return "", false
	}
	return best.name, true
}

// usableZone returns the zone of that name if it has a target for the request.
func (p *Pool) usableZone(name rtid.Zone, request *Request) *zone {
	for i := range p.zones {
		if z := &p.zones[i]; z.name == name && p.usable(z, request) {
			return z
		}
	}
	return nil
}

// usable reports whether a zone has a target that is not excluded.
func (p *Pool) usable(z *zone, request *Request) bool {
	if len(z.all) > len(request.Exclude) {
		return true
	}
	for _, i := range z.all {
		if !request.excludes(p.targets[i].Target) {
			return true
		}
	}
	return false
}

// sampleZone returns the better of two other zones that are sampled by their
// free places, or nil if none has any.
func (p *Pool) sampleZone(own rtid.Zone, request *Request, random *rand.Rand) *zone {
	first := p.sampleFree(own, nil, request, random)
	if first == nil {
		return nil
	}
	second := p.sampleFree(own, first, request, random)
	if second != nil && second.firstToken(own, request) < first.firstToken(own, request) {
		return second
	}
	return first
}

// sampleFree returns a random zone other than own and not, weighted by free
// places.
func (p *Pool) sampleFree(own rtid.Zone, not *zone, request *Request, random *rand.Rand) *zone {
	var total float64
	var sampled *zone
	for i := range p.zones {
		z := &p.zones[i]
		free := z.free()
		if z.name == own || z == not || free == 0 || !p.usable(z, request) {
			continue
		}
		total += free
		if random.Float64()*total < free {
			sampled = z
		}
	}
	return sampled
}

// earliestZone returns the usable zone with the earliest predicted first token.
func (p *Pool) earliestZone(own rtid.Zone, request *Request) *zone {
	var best *zone
	for i := range p.zones {
		z := &p.zones[i]
		if !p.usable(z, request) {
			continue
		}
		if best == nil || z.firstToken(own, request) < best.firstToken(own, request) {
			best = z
		}
	}
	return best
}

// firstToken predicts the first token at a mean target of a zone, with the cost
// of the way to it from the entry's own zone.
func (z *zone) firstToken(own rtid.Zone, request *Request) time.Duration {
	count := len(z.all)
	mean := Report{
		Queued:  z.work / rtid.Tokens(count),
		Running: z.Running / count,
		Limit:   z.Limit / count,
		Rate:    z.rate / float64(count),
	}
	first := mean.PredictedFirstToken(request.Tokens)
	if z.name != own {
		first += CrossZoneCost
	}
	return first
}
