package rtmember

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Bounds of control traffic.
const (
	// ControlBudget is the largest control traffic of a node in bytes per
	// second, both directions together.
	ControlBudget rtid.Bytes = 17_000

	// PropagationBudget is the part of ControlBudget, in bytes per second, kept
	// for documents and lists sent between peers and for the Hellos that
	// announce them.
	PropagationBudget rtid.Bytes = 1_700

	// ExchangeSize is the size of one Hello and its reply on the wire: 440
	// bytes of HTTP over loopback, and 52 bytes of TCP and IP for each of 3
	// segments.
	ExchangeSize rtid.Bytes = 600

	// AliveIntervals is the number of heartbeat intervals after which an agent
	// without a status counts as not alive.
	AliveIntervals = 3
)

// How often the platform's values change at the design size.
const (
	documentChangeInterval = 13 * time.Second // 6,700 changes a day
	listChangeInterval     = 20 * time.Second // 1,240 VMs replaced a day, some 3 changes each
)

// ListReadBudget is the largest traffic of a reader for the list of VMs, in
// bytes per second. The platform sends the whole list at each change.
const ListReadBudget rtid.Bytes = 4_000

// ReaderBandwidth returns the traffic of reading the platform, in bytes per
// second, for a document and a list of the given sizes that change as often as
// at the design size.
func ReaderBandwidth(document, list rtid.Bytes) rtid.Bytes {
	perList := list * rtid.Bytes(time.Second) / rtid.Bytes(listChangeInterval)
	perDocument := document * rtid.Bytes(time.Second) / rtid.Bytes(documentChangeInterval)
	// A quarter more for sending the document to peers and for TCP headers.
	return perDocument + perDocument/4 + min(perList, ListReadBudget)
}

// minHeartbeatBudget keeps heartbeats going when a reader's documents take most
// of ControlBudget.
const minHeartbeatBudget = ControlBudget / 8

// FleetSize holds the numbers that the heartbeat interval depends on.
type FleetSize struct {
	Subset  int // agents that one entry exchanges heartbeats with
	Entries int
	Agents  int
}

// HeartbeatInterval returns the heartbeat interval of an entry: base,
// lengthened so that neither an entry nor an agent exceeds ControlBudget.
// readerBandwidth is the process's traffic with the platform in bytes per
// second.
func HeartbeatInterval(base time.Duration, fleet FleetSize, readerBandwidth rtid.Bytes) time.Duration {
	exchanges := fleet.Subset
	if fleet.Agents > 0 {
		perAgent := (fleet.Entries*fleet.Subset + fleet.Agents - 1) / fleet.Agents
		exchanges = max(exchanges, perAgent)
	}
	budget := max(minHeartbeatBudget, ControlBudget-PropagationBudget-readerBandwidth)
	size := time.Duration(exchanges) * time.Duration(ExchangeSize)
	return max(base, size*time.Second/time.Duration(budget))
}
