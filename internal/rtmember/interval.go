package rtmember

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Bounds of control traffic, in bytes.
const (
	// ControlBudget is what all control traffic of a node may take a second,
	// both directions together.
	ControlBudget rtid.Bytes = 17_000

	// SpreadBudget is the part of ControlBudget kept for documents and lists
	// that travel between peers, and for Hellos that announce them.
	PropagationBudget rtid.Bytes = 1_700

	// ExchangeSize is what one Hello and its reply take on the wire: 440 of
	// HTTP measured over loopback, and 52 of TCP and IP for each of 3 segments.
	ExchangeSize rtid.Bytes = 600

	// AliveIntervals is how many intervals an agent may miss.
	AliveIntervals = 3
)

// How often the platform's values change at the size to design for.
const (
	documentPeriod = 13 * time.Second // 6,700 changes a day
	listPeriod     = 20 * time.Second // 1,240 VMs replaced a day, some 3 changes each
)

// ListBudget is what a reader may spend a second on the list of VMs. The
// platform sends the whole list at each change.
const ListReadBudget rtid.Bytes = 4_000

// ReaderCost returns what reading the platform takes a second at the rates of
// change to design for.
func ReaderBandwidth(document, list rtid.Bytes) rtid.Bytes {
	perList := list * rtid.Bytes(time.Second) / rtid.Bytes(listPeriod)
	perDocument := document * rtid.Bytes(time.Second) / rtid.Bytes(documentPeriod)
	// A quarter more for passing the document on and for TCP headers.
	return perDocument + perDocument/4 + min(perList, ListReadBudget)
}

// leastBudget keeps heartbeats going when a reader's documents take most of
// ControlBudget.
const leastBudget = ControlBudget / 8

// Fleet is what the interval of heartbeats depends on.
type FleetSize struct {
	Subset  int // agents of one entry
	Entries int
	Agents  int
}

// Interval returns the heartbeat interval of an entry: base, lengthened so
// that neither an entry nor an agent exceeds ControlBudget. Reading is what
// the process spends a second on reading the platform.
func HeartbeatInterval(base time.Duration, fleet FleetSize, reading rtid.Bytes) time.Duration {
	exchanges := fleet.Subset
	if fleet.Agents > 0 {
		perAgent := (fleet.Entries*fleet.Subset + fleet.Agents - 1) / fleet.Agents
		exchanges = max(exchanges, perAgent)
	}
	budget := max(leastBudget, ControlBudget-PropagationBudget-reading)
	size := time.Duration(exchanges) * time.Duration(ExchangeSize)
	return max(base, size*time.Second/time.Duration(budget))
}
