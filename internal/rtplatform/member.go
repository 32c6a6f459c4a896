// Package rtplatform is the client of the platform's configuration service and
// of its list of VMs. Both can be read and watched, but not written.
package rtplatform

import "github.com/rhubarbtally/rhubarbtally/internal/rtid"

// Role is the kind of process that runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is the state of a VM in the platform's list.
type State string

// The states of VMs. A VM whose state is leaving is draining.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Member is an entry of the platform's list of VMs.
type Member struct {
	VM      rtid.VM      `json:"vm"`
	Role    Role         `json:"role"`
	Zone    rtid.Zone    `json:"zone"`
	Address rtid.Address `json:"address"` // of the listener for other processes
	State   State        `json:"state"`
	Target  rtid.Target  `json:"target,omitempty"`  // set for RoleAgent only
	Service rtid.Service `json:"service,omitempty"` // set for RoleAgent only
}

// HeaderVersion is the response header with the version of the value.
const HeaderVersion = "Version"
