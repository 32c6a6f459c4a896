package rtnode

import (
	"fmt"
	"net/netip"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

func rosterReplyOf(delta rtmember.Delta) *rtwire.RosterReply {
	reply := &rtwire.RosterReply{Version: uint64(delta.Version), Base: uint64(delta.Base)}
	for _, member := range delta.Members {
		reply.Members = append(reply.Members, wireMember(member))
	}
	for _, vm := range delta.Removed {
		reply.Removed = append(reply.Removed, string(vm))
	}
	return reply
}

func wireMember(member rtplatform.Member) *rtwire.Member {
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
	for _, encoded := range reply.Members {
		member := memberOf(encoded)
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

func memberOf(encoded *rtwire.Member) rtplatform.Member {
	member := rtplatform.Member{
		VM:      rtid.VM(encoded.Vm),
		Zone:    rtid.Zone(encoded.Zone),
		Address: rtid.Address(encoded.Address),
		State:   rtplatform.StateLive,
		Target:  rtid.Target(encoded.Target),
		Service: rtid.Service(encoded.Service),
	}
	if encoded.Leaving {
		member.State = rtplatform.StateLeaving
	}
	switch encoded.Role {
	case rtwire.Role_ROLE_ENTRY:
		member.Role = rtplatform.RoleEntry
	case rtwire.Role_ROLE_AGENT:
		member.Role = rtplatform.RoleAgent
	}
	return member
}

// checkMember returns an error if a member of the list of VMs is malformed.
func checkMember(member rtplatform.Member) error {
	if err := checkNames(string(member.VM), string(member.Zone)); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(string(member.Address)); err != nil {
		return fmt.Errorf("address of VM %s: %w", member.VM, err)
	}
	if member.State != rtplatform.StateLive && member.State != rtplatform.StateLeaving {
		return fmt.Errorf("state of VM %s: got %.80q, want \"live\" or \"leaving\"", member.VM, member.State)
	}
	switch member.Role {
	case rtplatform.RoleEntry:
		return nil
	case rtplatform.RoleAgent:
		return checkNames(string(member.Target), string(member.Service))
	default:
		return fmt.Errorf("role of VM %s: got %.80q, want \"entry\" or \"agent\"", member.VM, member.Role)
	}
}
