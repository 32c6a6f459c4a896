package rtroute

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Hysteresis of the spill from the entry's own zone, as utilisation. Between the
// two values the spill state does not change, so that load does not oscillate
// between zones.
const (
	spillStart = 0.90
	spillStop  = 0.75
)

// CrossZoneCost is added to the predicted first token of a target in another
// zone. It covers a few milliseconds one way for each of the offer, its reply,
// the read and the answer, and the price of the link.
const CrossZoneCost = 20 * time.Millisecond

// Usage holds the load and the capacity of a zone.
type Usage struct {
	Running      int     // requests that occupy or wait for a slot
	Limit        int     // limit of running requests now; low while targets warm up
	Slots        int     // limit of running requests when all targets are warm
	PlannedRate  float64 // planned requests per second to the zone; 0 if not planned
	MeasuredRate float64 // measured requests per second to the zone
}

// Utilisation returns the used fraction of the capacity: of the slots under the
// warm-up limits, or of the planned rate scaled by them, whichever is higher. A
// zone that returns with cold targets is therefore full at a small load, and
// gets more only as its agents raise their limits. The result may exceed 1.
func (u Usage) Utilisation() float64 {
	if u.Limit == 0 {
		return 1
	}
	utilisation := float64(u.Running) / float64(u.Limit)
	if u.PlannedRate > 0 && u.Slots > 0 {
		warm := min(1, float64(u.Limit)/float64(u.Slots))
		utilisation = max(utilisation, u.MeasuredRate/(u.PlannedRate*warm))
	}
	return utilisation
}

// freeSlots returns the number of free slots below the spill threshold.
func (u Usage) freeSlots() float64 {
	return max(0, spillStart-u.Utilisation()) * float64(u.Limit)
}

// Spill is the hysteresis state of the spill from one zone to the others. The
// zero value does not spill.
type Spill struct {
	active bool
}

// Update updates the state for the utilisation of the own zone. It returns the
// fraction of new requests to place in other zones. While the zone spills, the
// fraction rises linearly from 0 at spillStop to 1 at spillStart, so that load
// moves in proportion to the utilisation.
func (s *Spill) Update(utilisation float64) float64 {
	switch {
	case utilisation >= spillStart:
		s.active = true
	case utilisation <= spillStop:
		s.active = false
	}
	if !s.active {
		return 0
	}
	return min(1, (utilisation-spillStop)/(spillStart-spillStop))
}

// Active reports whether the zone spills requests to others.
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

// UsageOf returns the usage of a zone, or zero if the pool does not have it.
func (p *Pool) UsageOf(name rtid.Zone) Usage {
	for i := range p.zones {
		if p.zones[i].name == name {
			return p.zones[i].Usage
		}
	}
	return Usage{}
}

// ChooseZone selects the zone for a request: the own zone or, for the fraction of
// requests that it spills, another zone with free slots. If no other zone has a
// free slot, it selects the zone with the earliest predicted first token, which
// may be the own zone. It reports false if no zone has a target that is not
// excluded.
func (p *Pool) ChooseZone(own rtid.Zone, spill *Spill, request Request, random *rand.Rand) (rtid.Zone, bool) {
	if len(p.zones) == 0 {
		return "", false
	}
	ownZone := p.zoneWithTarget(own, &request)
	if ownZone != nil && random.Float64() >= spill.Update(ownZone.Utilisation()) {
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

// zoneWithTarget returns the zone with the given name if it has a target that is
// not excluded, else nil.
func (p *Pool) zoneWithTarget(name rtid.Zone, request *Request) *zone {
	for i := range p.zones {
		if z := &p.zones[i]; z.name == name && p.hasTarget(z, request) {
			return z
		}
	}
	return nil
}

// hasTarget reports whether a zone has a target that is not excluded.
func (p *Pool) hasTarget(z *zone, request *Request) bool {
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

// sampleZone samples two zones other than own, weighted by free slots, and
// returns the one with the earlier predicted first token, or nil if none has a
// free slot.
func (p *Pool) sampleZone(own rtid.Zone, request *Request, random *rand.Rand) *zone {
	first := p.sampleByFreeSlots(own, nil, request, random)
	if first == nil {
		return nil
	}
	second := p.sampleByFreeSlots(own, first, request, random)
	if second != nil && second.predictedFirstToken(own, request) < first.predictedFirstToken(own, request) {
		return second
	}
	return first
}

// sampleByFreeSlots returns a random zone other than own and except, weighted by
// free slots, or nil if none has a free slot.
func (p *Pool) sampleByFreeSlots(own rtid.Zone, except *zone, request *Request, random *rand.Rand) *zone {
	var total float64
	var sampled *zone
	for i := range p.zones {
		z := &p.zones[i]
		free := z.freeSlots()
		if z.name == own || z == except || free == 0 || !p.hasTarget(z, request) {
			continue
		}
		total += free
		if random.Float64()*total < free {
			sampled = z
		}
	}
	return sampled
}

// earliestZone returns the zone with the earliest predicted first token among
// those that have a target that is not excluded, or nil.
func (p *Pool) earliestZone(own rtid.Zone, request *Request) *zone {
	var best *zone
	for i := range p.zones {
		z := &p.zones[i]
		if !p.hasTarget(z, request) {
			continue
		}
		if best == nil || z.predictedFirstToken(own, request) < best.predictedFirstToken(own, request) {
			best = z
		}
	}
	return best
}

// predictedFirstToken predicts the first token at an average target of the zone.
// It adds CrossZoneCost if the zone is not the entry's own.
func (z *zone) predictedFirstToken(own rtid.Zone, request *Request) time.Duration {
	count := len(z.all)
	mean := Report{
		QueuedTokens: z.prefillBacklog / rtid.Tokens(count),
		Running:      z.Running / count,
		Limit:        z.Limit / count,
		PrefillRate:  z.prefillRate / float64(count),
	}
	predicted := mean.PredictedFirstToken(request.Tokens)
	if z.name != own {
		predicted += CrossZoneCost
	}
	return predicted
}
