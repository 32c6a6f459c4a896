package rtmember

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// SubsetLimit is the largest number of agents that one entry exchanges
// heartbeats with.
const SubsetLimit = 100

// entriesPerAgent is how many entries of its own zone each agent chooses, so
// that none is left without an entry by the choices of the entries.
const entriesPerAgent = 2

// Subset returns the agents that the entry self exchanges heartbeats with, at
// most limit, sorted by VM. Every process computes the same result from the
// same list.
//
// The agents that chose this entry come first. Then each service gets the
// same number of places, half of them for agents of the entry's own zone. The
// places that a small service leaves empty go to the others.
func Subset(self rtplatform.Member, members []rtplatform.Member, limit int) []rtplatform.Member {
	choice := newChoice(self, limit)
	choice.addClaims(members)
	groups := choice.group(members)
	for choice.addRound(groups) {
	}
	return choice.result()
}

// addRound shares the places left among the services and reports whether it
// filled any.
func (c *choice) addRound(groups map[rtid.Service]*group) bool {
	if c.full() || len(groups) == 0 {
		return false
	}
	before := len(c.chosen)
	quota := max(1, (c.limit-before)/len(groups))
	for _, service := range sortedKeys(groups) {
		c.addService(groups[service], quota)
	}
	return len(c.chosen) > before
}

// choice is a subset in the making.
type choice struct {
	self   rtplatform.Member
	hash   uint64
	limit  int
	chosen map[rtid.VM]*rtplatform.Member
}

func newChoice(self rtplatform.Member, limit int) *choice {
	return &choice{self: self, hash: hashVM(self.VM), limit: limit, chosen: make(map[rtid.VM]*rtplatform.Member)}
}

func (c *choice) full() bool { return len(c.chosen) >= c.limit }

func (c *choice) add(member *rtplatform.Member) {
	if !c.full() {
		c.chosen[member.VM] = member
	}
}

// addClaims adds the agents that have this entry among the entries they
// choose in their own zone, or among all entries if their zone has none.
func (c *choice) addClaims(members []rtplatform.Member) {
	entries := make(map[rtid.Zone][]uint64)
	var all []uint64
	for i := range members {
		if members[i].Role == rtplatform.RoleEntry && members[i].State != rtplatform.StateLeaving {
			hash := hashVM(members[i].VM)
			entries[members[i].Zone] = append(entries[members[i].Zone], hash)
			all = append(all, hash)
		}
	}
	var claims []ranked
	for i := range members {
		agent := &members[i]
		if agent.Role != rtplatform.RoleAgent {
			continue
		}
		candidates := entries[agent.Zone]
		if len(candidates) == 0 {
			candidates = all
		} else if agent.Zone != c.self.Zone {
			continue
		}
		if c.claimed(agent, candidates) {
			next := ranked{member: agent, score: score(c.hash, hashVM(agent.VM))}
			claims = top(claims, next, c.limit)
		}
	}
	c.addRanked(&claims, c.limit)
}

// claimed reports whether fewer than entriesPerAgent candidates score higher
// than this entry for the agent.
func (c *choice) claimed(agent *rtplatform.Member, candidates []uint64) bool {
	hash := hashVM(agent.VM)
	own := score(hash, c.hash)
	higher := 0
	for _, candidate := range candidates {
		if score(hash, candidate) > own {
			higher++
			if higher == entriesPerAgent {
				return false
			}
		}
	}
	return true
}

// group is the agents of one service, each part ranked for this entry.
type group struct {
	own    []ranked // in the entry's own zone
	others []ranked
}

func (c *choice) group(members []rtplatform.Member) map[rtid.Service]*group {
	groups := make(map[rtid.Service]*group)
	for i := range members {
		agent := &members[i]
		if agent.Role != rtplatform.RoleAgent {
			continue
		}
		g := groups[agent.Service]
		if g == nil {
			g = &group{}
			groups[agent.Service] = g
		}
		next := ranked{member: agent, score: score(c.hash, hashVM(agent.VM))}
		if agent.Zone == c.self.Zone {
			g.own = top(g.own, next, c.limit)
		} else {
			g.others = top(g.others, next, c.limit)
		}
	}
	return groups
}

// addService adds up to quota agents of a service, half of them from the own
// zone if it has that many.
func (c *choice) addService(g *group, quota int) {
	own := (quota + 1) / 2
	added := c.addRanked(&g.own, own)
	added += c.addRanked(&g.others, quota-added)
	c.addRanked(&g.own, quota-added)
}

// addRanked adds the first agents not chosen yet, up to count, and removes
// what it went through.
func (c *choice) addRanked(from *[]ranked, count int) int {
	added := 0
	for added < count && len(*from) > 0 && !c.full() {
		next := (*from)[0].member
		*from = (*from)[1:]
		if c.chosen[next.VM] == nil {
			c.add(next)
			added++
		}
	}
	return added
}

func (c *choice) result() []rtplatform.Member {
	result := make([]rtplatform.Member, 0, len(c.chosen))
	for _, member := range c.chosen {
		result = append(result, *member)
	}
	slices.SortFunc(result, func(a, b rtplatform.Member) int { return cmp.Compare(a.VM, b.VM) })
	return result
}

func sortedKeys(groups map[rtid.Service]*group) []rtid.Service {
	keys := make([]rtid.Service, 0, len(groups))
	for service := range groups {
		keys = append(keys, service)
	}
	slices.Sort(keys)
	return keys
}
