package rtmember

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// readersPerZone is the number of designated readers in an availability zone.
// The second one continues if the first one dies.
const readersPerZone = 2

// Readers returns the designated readers of the platform, in no fixed order. It
// skips draining VMs. A zone has one reader of each role if possible, so that
// changes still arrive when all VMs of one role are cut off from the platform.
func Readers(members []rtplatform.Member) []rtid.VM {
	zones := make(map[rtid.Zone]*zoneReaders)
	for i := range members {
		member := &members[i]
		if member.State == rtplatform.StateLeaving {
			continue
		}
		zone := zones[member.Zone]
		if zone == nil {
			zone = &zoneReaders{hash: xxhash.Sum64String(string(member.Zone))}
			zones[member.Zone] = zone
		}
		zone.add(member)
	}
	var readers []rtid.VM
	for _, zone := range zones {
		for _, reader := range zone.selected() {
			readers = append(readers, reader.member.VM)
		}
	}
	return readers
}

// zoneReaders holds the highest-scoring VMs of one zone by role, highest first.
type zoneReaders struct {
	hash            uint64
	entries, agents []ranked
}

func (z *zoneReaders) add(member *rtplatform.Member) {
	next := ranked{member: member, score: score(z.hash, hashVM(member.VM))}
	if member.Role == rtplatform.RoleEntry {
		z.entries = insertTop(z.entries, next, readersPerZone)
	} else {
		z.agents = insertTop(z.agents, next, readersPerZone)
	}
}

// selected returns the highest of each role, or the two highest of the only
// role.
func (z *zoneReaders) selected() []ranked {
	switch {
	case len(z.entries) == 0:
		return z.agents
	case len(z.agents) == 0:
		return z.entries
	default:
		return []ranked{z.entries[0], z.agents[0]}
	}
}
