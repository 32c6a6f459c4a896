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

// entriesPerAgent is the number of entries of its own zone that each agent is
// assigned to, so that no agent is missing from the subsets of all entries.
const entriesPerAgent = 2

// Subset returns the agents that the entry self exchanges heartbeats with, at
// most limit, sorted by VM. Every process computes the same result from the
// same list.
//
// The agents that are assigned to this entry are selected first. Then each
// service gets the same number of places, half of them for agents of the
// entry's own zone. Places that a small service does not use go to the other
// services.
func Subset(self rtplatform.Member, members []rtplatform.Member, limit int) []rtplatform.Member {
	selected := newSelection(self, limit)
	selected.addAssigned(members)
	groups := selected.groupByService(members)
	for selected.addRound(groups) {
	}
	return selected.result()
}

// addRound divides the remaining places among the services and reports whether
// it filled any.
func (s *selection) addRound(groups map[rtid.Service]*serviceAgents) bool {
	if s.full() || len(groups) == 0 {
		return false
	}
	before := len(s.selected)
	quota := max(1, (s.limit-before)/len(groups))
	for _, service := range sortedKeys(groups) {
		s.addService(groups[service], quota)
	}
	return len(s.selected) > before
}

// selection builds the subset of one entry.
type selection struct {
	self     rtplatform.Member
	hash     uint64
	limit    int
	selected map[rtid.VM]*rtplatform.Member
}

func newSelection(self rtplatform.Member, limit int) *selection {
	return &selection{self: self, hash: hashVM(self.VM), limit: limit, selected: make(map[rtid.VM]*rtplatform.Member)}
}

func (s *selection) full() bool { return len(s.selected) >= s.limit }

func (s *selection) add(member *rtplatform.Member) {
	if !s.full() {
		s.selected[member.VM] = member
	}
}

// addAssigned adds the agents that are assigned to this entry, among the
// entries of their own zone or among all entries if their zone has none.
func (s *selection) addAssigned(members []rtplatform.Member) {
	entries := make(map[rtid.Zone][]uint64)
	var all []uint64
	for i := range members {
		if members[i].Role == rtplatform.RoleEntry && members[i].State != rtplatform.StateLeaving {
			hash := hashVM(members[i].VM)
			entries[members[i].Zone] = append(entries[members[i].Zone], hash)
			all = append(all, hash)
		}
	}
	var assigned []ranked
	for i := range members {
		agent := &members[i]
		if agent.Role != rtplatform.RoleAgent {
			continue
		}
		candidates := entries[agent.Zone]
		if len(candidates) == 0 {
			candidates = all
		} else if agent.Zone != s.self.Zone {
			continue
		}
		if s.isAssigned(agent, candidates) {
			next := ranked{member: agent, score: score(s.hash, hashVM(agent.VM))}
			assigned = insertTop(assigned, next, s.limit)
		}
	}
	s.addRanked(&assigned, s.limit)
}

// isAssigned reports whether the agent is assigned to this entry: fewer than
// entriesPerAgent candidates score higher for the agent.
func (s *selection) isAssigned(agent *rtplatform.Member, candidates []uint64) bool {
	hash := hashVM(agent.VM)
	own := score(hash, s.hash)
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

// serviceAgents holds the agents of one service, ranked for this entry.
type serviceAgents struct {
	ownZone    []ranked // in the entry's zone
	otherZones []ranked
}

func (s *selection) groupByService(members []rtplatform.Member) map[rtid.Service]*serviceAgents {
	groups := make(map[rtid.Service]*serviceAgents)
	for i := range members {
		agent := &members[i]
		if agent.Role != rtplatform.RoleAgent {
			continue
		}
		g := groups[agent.Service]
		if g == nil {
			g = &serviceAgents{}
			groups[agent.Service] = g
		}
		next := ranked{member: agent, score: score(s.hash, hashVM(agent.VM))}
		if agent.Zone == s.self.Zone {
			g.ownZone = insertTop(g.ownZone, next, s.limit)
		} else {
			g.otherZones = insertTop(g.otherZones, next, s.limit)
		}
	}
	return groups
}

// addService adds up to quota agents of a service, half of them from the
// entry's own zone if it has that many.
func (s *selection) addService(g *serviceAgents, quota int) {
	own := (quota + 1) / 2
	added := s.addRanked(&g.ownZone, own)
	added += s.addRanked(&g.otherZones, quota-added)
	s.addRanked(&g.ownZone, quota-added)
}

// addRanked adds the highest-ranked agents that are not selected yet, up to
// count, removes the agents that it looked at from the ranking, and returns how
// many it added.
func (s *selection) addRanked(ranking *[]ranked, count int) int {
	added := 0
	for added < count && len(*ranking) > 0 && !s.full() {
		next := (*ranking)[0].member
		*ranking = (*ranking)[1:]
		if s.selected[next.VM] == nil {
			s.add(next)
			added++
		}
	}
	return added
}

func (s *selection) result() []rtplatform.Member {
	result := make([]rtplatform.Member, 0, len(s.selected))
	for _, member := range s.selected {
		result = append(result, *member)
	}
	slices.SortFunc(result, func(a, b rtplatform.Member) int { return cmp.Compare(a.VM, b.VM) })
	return result
}

func sortedKeys(groups map[rtid.Service]*serviceAgents) []rtid.Service {
	keys := make([]rtid.Service, 0, len(groups))
	for service := range groups {
		keys = append(keys, service)
	}
	slices.Sort(keys)
	return keys
}
