// Package rtplatform is the client of the platform: its configuration service
// and its list of VMs, which can only be read and watched.
package rtplatform

import "github.com/rhubarbtally/rhubarbtally/internal/rtid"

// Role tells what runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is the state of a VM in the platform's list.
type State string

// The states of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Member is one VM of the platform's list.
type Member struct {
	VM      rtid.VM      `json:"vm"`
	Role    Role         `json:"role"`
	Zone    rtid.Zone    `json:"zone"`
	Address rtid.Address `json:"address"` // of the listener for peers
	State   State        `json:"state"`
	Target  rtid.Target  `json:"target,omitempty"`  // set for RoleAgent only
	Service rtid.Service `json:"service,omitempty"` // set for RoleAgent only
}

// HeaderVersion is the header that carries the version of an answer.
const HeaderVersion = "Version"
