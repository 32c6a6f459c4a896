package rtmember

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// readersPerZone is how many processes of an availability zone watch the
// platform. The second one goes on when the first one dies.
const readersPerZone = 2

// Readers returns the VMs that watch the platform, in no fixed order. VMs
// that are leaving are passed over. A zone has one reader of each role if it
// can, so that news still arrive when all VMs of one role are cut off from
// the platform.
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
		for _, reader := range zone.chosen() {
			readers = append(readers, reader.member.VM)
		}
	}
	return readers
}

// zoneReaders holds the candidates of one zone by role, best first.
type zoneReaders struct {
	hash            uint64
	entries, agents []ranked
}

func (z *zoneReaders) add(member *rtplatform.Member) {
	next := ranked{member: member, score: score(z.hash, hashVM(member.VM))}
	if member.Role == rtplatform.RoleEntry {
		z.entries = top(z.entries, next, readersPerZone)
	} else {
		z.agents = top(z.agents, next, readersPerZone)
	}
}

// chosen returns the best of each role, or the two best of the only role.
func (z *zoneReaders) chosen() []ranked {
	switch {
	case len(z.entries) == 0:
		return z.agents
	case len(z.agents) == 0:
		return z.entries
	default:
		return []ranked{z.entries[0], z.agents[0]}
	}
}
