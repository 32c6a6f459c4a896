package rtnode

import (
	"fmt"
	"net/netip"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

func replyOf(delta rtmember.Delta) *rtwire.RosterReply {
	reply := &rtwire.RosterReply{Version: uint64(delta.Version), Base: uint64(delta.Base)}
	for _, member := range delta.Members {
		reply.Members = append(reply.Members, wireOf(member))
	}
	for _, vm := range delta.Removed {
		reply.Removed = append(reply.Removed, string(vm))
	}
	return reply
}

func wireOf(member rtplatform.Member) *rtwire.Member {
	role := rtwire.Role_ROLE_ENTRY
	if member.Role == rtplatform.RoleAgent {
		role = rtwire.Role_ROLE_AGENT
	}
	return &rtwire.Member{
		Vm:      string(member.VM),
		Role:    role,
		Zone:    string(member.Zone),
		Address: string(member.Address),
		Leaving: member.State == rtplatform.StateLeaving,
		Target:  string(member.Target),
		Service: string(member.Service),
	}
}

func deltaOf(reply *rtwire.RosterReply) (rtmember.Delta, error) {
	delta := rtmember.Delta{Base: rtid.Version(reply.Base), Version: rtid.Version(reply.Version)}
	for _, line := range reply.Members {
		member := memberOf(line)
		if err := checkMember(member); err != nil {
			return rtmember.Delta{}, err
		}
		delta.Members = append(delta.Members, member)
	}
	for _, vm := range reply.Removed {
		delta.Removed = append(delta.Removed, rtid.VM(vm))
	}
	return delta, nil
}

func memberOf(line *rtwire.Member) rtplatform.Member {
	member := rtplatform.Member{
		VM:      rtid.VM(line.Vm),
		Zone:    rtid.Zone(line.Zone),
		Address: rtid.Address(line.Address),
		State:   rtplatform.StateLive,
		Target:  rtid.Target(line.Target),
		Service: rtid.Service(line.Service),
	}
	if line.Leaving {
		member.State = rtplatform.StateLeaving
	}
	switch line.Role {
	case rtwire.Role_ROLE_ENTRY:
		member.Role = rtplatform.RoleEntry
	case rtwire.Role_ROLE_AGENT:
		member.Role = rtplatform.RoleAgent
	}
	return member
}

// checkMember returns an error if a line of the list of VMs is malformed.
func checkMember(member rtplatform.Member) error {
	if err := checkNames(string(member.VM), string(member.Zone)); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(string(member.Address)); err != nil {
		return fmt.Errorf("address of %s: %w", member.VM, err)
	}
	if member.State != rtplatform.StateLive && member.State != rtplatform.StateLeaving {
		return fmt.Errorf("state of %s: %.80q is unknown", member.VM, member.State)
	}
	switch member.Role {
	case rtplatform.RoleEntry:
		return nil
	case rtplatform.RoleAgent:
		return checkNames(string(member.Target), string(member.Service))
	default:
		return fmt.Errorf("role of %s: %.80q is unknown", member.VM, member.Role)
	}
}
