package rtmember

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Bounds of control traffic.
const (
	// HeartbeatBudget is the part of the 17 KB/s of control traffic per node
	// that heartbeats may use, in bytes per second. The rest is for documents
	// and the list of VMs.
	HeartbeatBudget rtid.Bytes = 9_000

	// ExchangeSize is what one Hello and its reply take on the wire, both
	// directions, HTTP headers and TCP/IP headers included.
	ExchangeSize rtid.Bytes = 1_000

	// AliveIntervals is how many intervals an agent may miss.
	AliveIntervals = 3
)

// Interval returns the heartbeat interval of an entry: base, lengthened so
// that neither an entry nor an agent exceeds HeartbeatBudget. Subset is the
// number of agents of one entry.
func Interval(base time.Duration, subset, entries, agents int) time.Duration {
	exchanges := subset
	if agents > 0 {
		perAgent := (entries*subset + agents - 1) / agents
		exchanges = max(exchanges, perAgent)
	}
	size := time.Duration(exchanges) * time.Duration(ExchangeSize)
	needed := size * time.Second / time.Duration(HeartbeatBudget)
	return max(base, needed)
}
