package rtroute

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// MaxTargets limits the size of a pool, so that the cost of a decision does
	// not grow with the number of targets.
	MaxTargets = 100
	// noLongShare is the share of a zone's targets that get no long prompts.
	noLongShare = 0.2
	// minTargetsForNoLong is the fewest targets a zone must have for one of
	// them to get no long prompts. With fewer targets, long prompts would have
	// a single target.
	minTargetsForNoLong = 3
)

// Pool is the set of at most MaxTargets targets from which an entry selects for
// one service. It is built from reports once per refresh and used for many
// decisions. A Pool is not safe for concurrent use.
type Pool struct {
	targets []member
	zones   []zone // sorted by name
	index   map[rtid.Target]int
}

// member is a target of a pool.
type member struct {
	Report
	hash          uint64
	noLongPrompts bool // gets no long prompts, so that short ones do not wait behind them
}

// zone holds the targets of a pool in one availability zone. The lists hold
// indexes into Pool.targets.
type zone struct {
	name               rtid.Zone
	all                []int
	withoutLongPrefill []int       // targets without a long prefill, preferred for short prompts
	forLongPrompts     []int       // targets that get long prompts
	prefillBacklog     rtid.Tokens // sum over all
	prefillRate        float64     // sum over all
	Usage
}

// NewPool returns a pool of the targets in reports, which must be eligible. Each
// zone contributes at most an equal part of MaxTargets. The subset is selected
// by rendezvous hashing with salt, the name of the entry's VM, so that the
// entries spread over the targets.
func NewPool(reports []Report, salt string) *Pool {
	byZone := groupByZone(reports)
	p := &Pool{index: make(map[rtid.Target]int, min(len(reports), MaxTargets))}
	names := sortedKeys(byZone)
	perZone := max(1, MaxTargets/max(1, len(names)))
	for _, name := range names {
		members := byZone[name]
		members = rendezvousSubset(members, hashTarget(rtid.Target(salt)), perZone)
		markNoLongPrompts(members)
		p.addZone(name, members)
	}
	return p
}

// Len returns the number of targets.
func (p *Pool) Len() int { return len(p.targets) }

// Find returns the report of a target.
func (p *Pool) Find(target rtid.Target) (Report, bool) {
	i, ok := p.index[target]
	if !ok {
		return Report{}, false
	}
	return p.targets[i].Report, true
}

// AddPending adds work of this entry that a target's report does not include.
// Negative values subtract it.
func (p *Pool) AddPending(target rtid.Target, pending Pending) {
	i, ok := p.index[target]
	if !ok {
		return
	}
	m := &p.targets[i]
	m.Pending.Tokens += pending.Tokens
	m.Pending.Requests += pending.Requests
	z := p.zone(m.Zone)
	z.prefillBacklog += pending.Tokens
	z.Running += pending.Requests
}

// zone returns the zone with the given name, which must be in the pool.
func (p *Pool) zone(name rtid.Zone) *zone {
	i, _ := slices.BinarySearchFunc(p.zones, name, func(z zone, name rtid.Zone) int {
		return cmp.Compare(z.name, name)
	})
	return &p.zones[i]
}

// addZone appends the members of one zone.
func (p *Pool) addZone(name rtid.Zone, members []member) {
	z := zone{name: name}
	for _, m := range members {
		i := len(p.targets)
		p.targets = append(p.targets, m)
		p.index[m.Target] = i
		z.all = append(z.all, i)
		if !m.hasLongPrefill() {
			z.withoutLongPrefill = append(z.withoutLongPrefill, i)
		}
		if !m.noLongPrompts {
			z.forLongPrompts = append(z.forLongPrompts, i)
		}
		z.prefillBacklog += m.PrefillBacklog()
		z.prefillRate += m.PrefillRate
		z.Running += m.occupiedSlots()
		z.Limit += m.Limit
		z.Slots += m.Slots
	}
	p.zones = append(p.zones, z)
}

// groupByZone returns the members of each zone.
func groupByZone(reports []Report) map[rtid.Zone][]member {
	groups := make(map[rtid.Zone][]member)
	for _, report := range reports {
		groups[report.Zone] = append(groups[report.Zone], member{Report: report, hash: hashTarget(report.Target)})
	}
	return groups
}

// sortedKeys returns the names of the zones in order.
func sortedKeys(groups map[rtid.Zone][]member) []rtid.Zone {
	names := make([]rtid.Zone, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// rendezvousSubset returns the members with the highest rendezvous weights for a
// salt, at most bound of them.
func rendezvousSubset(members []member, salt uint64, bound int) []member {
	if len(members) <= bound {
		return members
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Compare(rendezvousWeight(b.hash, salt), rendezvousWeight(a.hash, salt))
	})
	return members[:bound]
}

// markNoLongPrompts marks the targets that get no long prompts: those with the
// lowest hashes, so that all entries agree without communication.
func markNoLongPrompts(members []member) {
	if len(members) < minTargetsForNoLong {
		return
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Target, b.Target))
	})
	count := max(1, int(noLongShare*float64(len(members))))
	for i := range members[:count] {
		members[i].noLongPrompts = true
	}
}
