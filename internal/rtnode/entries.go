package rtnode

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// LiveEntries returns the number of live entries of a zone in the list of VMs.
func (n *Node) LiveEntries(zone rtid.Zone) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, member := range n.table.Roster().Members() {
		if member.Role == rtplatform.RoleEntry && member.State == rtplatform.StateLive && member.Zone == zone {
			count++
		}
	}
	return count
}
