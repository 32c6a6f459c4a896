package rtroute

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// MaxTargets bounds a pool, so that the cost of a decision does not grow
	// with the fleet.
	MaxTargets = 100
	// keptShare is the part of the targets of a zone that is kept for short
	// prompts.
	keptShare = 0.2
	// keptFrom is the fewest targets of a zone of which one is kept. With
	// fewer, long prompts would be left with a single target.
	keptFrom = 3
)

// Pool is the bounded set of targets that an entry chooses from for one
// service. It is built from reports once per refresh and used for many
// decisions. A Pool is not safe for concurrent use.
type Pool struct {
	targets []member
	zones   []zone // sorted by name
	index   map[rtid.Target]int
}

// member is a target of a pool.
type member struct {
	Report
	hash uint64
	kept bool // for short prompts
}

// zone is the part of a pool in one availability zone. The lists hold indexes
// of targets.
type zone struct {
	name  rtid.Zone
	all   []int
	short []int       // without a long prefill
	long  []int       // not kept for short prompts
	work  rtid.Tokens // of all
	rate  float64     // of all
	Usage
}

// NewPool returns the pool of eligible reports. If there are more than
// MaxTargets, each zone gives an equal part, chosen by rendezvous hashing with
// salt, the name of this entry, so that entries spread over the targets.
func NewPool(reports []Report, salt string) *Pool {
	byZone := groupByZone(reports)
	p := &Pool{index: make(map[rtid.Target]int, min(len(reports), MaxTargets))}
	names := sortedKeys(byZone)
	perZone := max(1, MaxTargets/max(1, len(names)))
	for _, name := range names {
		members := byZone[name]
		members = subset(members, hashTarget(rtid.Target(salt)), perZone)
		markKept(members)
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

// AddPending adds own work that a target's report does not include. Negative
// values take it away.
func (p *Pool) AddPending(target rtid.Target, pending Pending) {
	i, ok := p.index[target]
	if !ok {
		return
	}
	m := &p.targets[i]
	m.Pending.Tokens += pending.Tokens
	m.Pending.Requests += pending.Requests
	z := p.zone(m.Zone)
	z.work += pending.Tokens
	z.Running += pending.Requests
}

// zone returns the zone of that name, which must be in the pool.
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
		if !m.longPrefill() {
			z.short = append(z.short, i)
		}
		if !m.kept {
			z.long = append(z.long, i)
		}
		z.work += m.PrefillBacklog()
		z.rate += m.Rate
		z.Running += m.occupied()
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

// subset returns the bound members with the highest rendezvous weight for a
// salt.
func subset(members []member, salt uint64, bound int) []member {
	if len(members) <= bound {
		return members
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Compare(weight(b.hash, salt), weight(a.hash, salt))
	})
	return members[:bound]
}

// markKept marks the targets that are kept for short prompts: those with the
// lowest hashes, so that all entries agree without an exchange.
func markKept(members []member) {
	if len(members) < keptFrom {
		return
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Target, b.Target))
	})
	kept := max(1, int(keptShare*float64(len(members))))
	for i := range members[:kept] {
		members[i].kept = true
	}
}
