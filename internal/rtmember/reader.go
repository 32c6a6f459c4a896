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
// that are leaving are passed over.
func Readers(members []rtplatform.Member) []rtid.VM {
	zones := make(map[rtid.Zone][]ranked)
	for i := range members {
		member := &members[i]
		if member.State == rtplatform.StateLeaving {
			continue
		}
		zone := xxhash.Sum64String(string(member.Zone))
		next := ranked{member: member, score: score(zone, hashVM(member.VM))}
		zones[member.Zone] = top(zones[member.Zone], next, readersPerZone)
	}
	var readers []rtid.VM
	for _, kept := range zones {
		for _, reader := range kept {
			readers = append(readers, reader.member.VM)
		}
	}
	return readers
}
