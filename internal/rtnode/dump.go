package rtnode

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtconfig"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Dump is a snapshot of a node's state. It is a copy, except for the findings
// on a refused document, which are read only.
type Dump struct {
	VM                rtid.VM          `json:"vm"`
	Zone              rtid.Zone        `json:"zone"`
	Incarnation       rtid.Incarnation `json:"incarnation"`
	Ready             bool             `json:"ready"`
	Draining          bool             `json:"leaving"`
	Reader            bool             `json:"reader"` // designated reader of the platform
	Configuration     Configuration    `json:"configuration"`
	RosterVersion     rtid.Version     `json:"list"`     // version of the list of VMs, 0 for none
	VMs               int              `json:"vms"`      // number of VMs in the list
	HeartbeatInterval float64          `json:"interval"` // in seconds
	Subset            []rtid.VM        `json:"subset"`   // agents that this process sends heartbeats to
	AlivePeers        []Peer           `json:"heard"`    // processes that are alive
}

// Configuration is the state of the configuration in a process.
type Configuration struct {
	Version      rtid.Version         `json:"version"` // 0 for none
	Revision     rtid.Revision        `json:"revision"`
	ZoneState    rtdocument.ZoneState `json:"zone_state"`        // of this process's zone, empty without a document
	ConfirmedAge float64              `json:"confirmed"`         // seconds since a reader last confirmed that the version is the newest, -1 for never
	Refused      *rtconfig.Refusal    `json:"refused,omitempty"` // newest refused document above the version in force
	Counts       rtconfig.Counts      `json:"counts"`            // totals since the start
}

// Peer is another process that is alive.
type Peer struct {
	VM            rtid.VM      `json:"vm"`
	Target        rtid.Target  `json:"target,omitempty"`
	Address       rtid.Address `json:"address"`
	ConfigVersion rtid.Version `json:"version"`
	RosterVersion rtid.Version `json:"list"`
	Draining      bool         `json:"leaving"`
}

// Dump returns a snapshot of the node's state.
func (n *Node) Dump() Dump {
	configuration := n.Configuration()
	n.mu.Lock()
	defer n.mu.Unlock()
	roster := n.table.Roster()
	return Dump{
		VM:                n.self.VM,
		Zone:              n.self.Zone,
		Incarnation:       n.incarnation,
		Ready:             n.ready,
		Draining:          n.draining,
		Reader:            n.designatedReader,
		Configuration:     configuration,
		RosterVersion:     roster.Version(),
		VMs:               len(roster.Members()),
		HeartbeatInterval: n.interval.Seconds(),
		Subset:            vmsOf(n.subset),
		AlivePeers:        peersOf(n.table.AliveStatuses(time.Now())),
	}
}

// Configuration returns the state of the configuration, for operators.
func (n *Node) Configuration() Configuration {
	current := n.store.Current()
	state := Configuration{Version: current.Version, ConfirmedAge: -1, Counts: n.store.Counts()}
	if current.Document != nil {
		state.Revision = current.Document.Revision
		state.ZoneState = current.Document.ZoneState(n.self.Zone)
	}
	if refusal, found := n.store.Refusal(); found {
		state.Refused = &refusal
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.confirmedAt.IsZero() {
		state.ConfirmedAge = time.Since(n.confirmedAt).Seconds()
	}
	return state
}

func vmsOf(members []rtplatform.Member) []rtid.VM {
	names := make([]rtid.VM, 0, len(members))
	for _, member := range members {
		names = append(names, member.VM)
	}
	return names
}

func peersOf(statuses []*rtwire.Status) []Peer {
	peers := make([]Peer, 0, len(statuses))
	for _, status := range statuses {
		peers = append(peers, Peer{
			VM:            rtid.VM(status.Vm),
			Target:        rtid.Target(status.Target),
			Address:       rtid.Address(status.Address),
			ConfigVersion: rtid.Version(status.Version),
			RosterVersion: rtid.Version(status.Roster),
			Draining:      status.Leaving,
		})
	}
	return peers
}
