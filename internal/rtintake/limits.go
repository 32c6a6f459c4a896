// Package rtintake decides how much of a process callers may use before their requests
// are sent: memory for bodies and headers, and connections. It has no sockets and no
// clock; its owner makes one call at a time.
package rtintake

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Limits bound what all callers of a process together may use. In the zero value
// nothing is bounded.
type Limits struct {
	Memory      rtid.Bytes // for bodies, and for headers beyond FreeHeader; 0 for no bound
	Responses   rtid.Bytes // for long responses; 0 for no bound
	Connections int        // of callers; 0 for no bound
}

// Shares of the memory of a VM. Together with the program itself (about 14 MB) they
// stay under the limit of the Go runtime, 0.7 of the memory, on the smallest VM. The
// calculation is in docs/design/untrusted-callers.md.
const (
	bodyShare       = 0.22
	responseShare   = 0.125
	connectionShare = 0.25
	// connectionMemory is what a connection costs before it draws on the budget: its
	// goroutine and buffers, FreeHeader bytes of its header and FreeBody bytes of its
	// body.
	connectionMemory = 32 << 10
	// maxResponses is enough on large VMs for the responses that are held at a time.
	maxResponses = 32 << 20
)

const (
	// FreeHeader are the bytes of a header that count as part of its connection.
	FreeHeader = 512
	// FreeBody are the bytes of a body that count as part of its connection, so that
	// short requests need no budget.
	FreeBody = 4 << 10
	// HeaderCost is the memory that a byte of a header may cost. The shortest distinct
	// field has 6 bytes; its name, value list and map entry take about 110, and a map
	// that grows holds its old entries, too.
	HeaderCost = 32
	// MaxHeader limits a header in bytes where memory is bounded: four times the
	// published maxHeaderBytes, so that headers somewhat over that still get their 431.
	MaxHeader = 64 << 10
)

const (
	// reservedFiles are the descriptors that the platform keeps for files.
	reservedFiles = 200
	// reservedSockets are kept for the listeners, the store, peers, probes, the metrics
	// endpoint, memory commands and checks of targets.
	reservedSockets = 100
	// socketsPerCaller are the connections of a caller's request: its own and that to
	// its target.
	socketsPerCaller = 2
	// minConnections is the least bound, so that limits that are far too low do not
	// close the gateway.
	minConnections = 16
)

// LimitsOf returns the limits of a VM with a memory and a number of descriptors. 0 of
// either bounds nothing by it.
func LimitsOf(memory rtid.Bytes, descriptors int) Limits {
	var limits Limits
	if memory > 0 {
		part := func(share float64) rtid.Bytes { return rtid.Bytes(share * float64(memory)) }
		limits.Memory = part(bodyShare)
		limits.Responses = min(maxResponses, part(responseShare))
		limits.Connections = max(minConnections, int(part(connectionShare)/connectionMemory))
	}
	if descriptors > 0 {
		most := max(minConnections, (descriptors-reservedFiles-reservedSockets)/socketsPerCaller)
		if limits.Connections == 0 || most < limits.Connections {
			limits.Connections = most
		}
	}
	return limits
}

const (
	// StallTime is how long a body or header may make no progress while others need its
	// memory or connection. A lost segment is sent again within 0.3 s, and once more
	// within a second.
	StallTime = time.Second
	// slowAfter is when the mean rate of a body is first judged.
	slowAfter = 2 * time.Second
	// minRate is the mean rate in bytes per second under which a body may be evicted. A body
	// of the published limit at this rate takes 32 s, longer than the default deadline.
	minRate = 128 << 10
	// yieldTime is how long bodies that make progress are left alone while others wait:
	// the shortest latency SLO, in which requests that have been sent may end.
	yieldTime = 300 * time.Millisecond
	// smallDraw is what a request may draw without being evicted in favour of others of
	// its holder: the header of the published limit.
	smallDraw = 16_384 * HeaderCost
)
