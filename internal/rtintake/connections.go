package rtintake

import "time"

// Phase is what a caller's connection does.
type Phase int

// The phases, in the order in which connections are closed for new ones.
const (
	Idle   Phase = iota // between two requests
	Header              // its next header has not arrived completely
	Active              // a request is received or served
)

// Connections are the connections of callers by their owner's keys. The zero value
// bounds nothing.
type Connections[K comparable] struct {
	Limit int // 0 for no bound

	open map[K]connection
}

type connection struct {
	phase Phase
	since time.Time // when the phase began
}

// Count returns the number of connections.
func (c *Connections[K]) Count() int { return len(c.open) }

// Full reports whether another connection would exceed the bound.
func (c *Connections[K]) Full() bool { return c.Limit > 0 && len(c.open) >= c.Limit }

// Add adds a connection, whose header has not arrived.
func (c *Connections[K]) Add(key K, now time.Time) {
	if c.open == nil {
		c.open = make(map[K]connection)
	}
	c.open[key] = connection{phase: Header, since: now}
}

// Set records that a connection is in a phase.
func (c *Connections[K]) Set(key K, phase Phase, now time.Time) {
	if old, ok := c.open[key]; ok && old.phase != phase {
		c.open[key] = connection{phase: phase, since: now}
	}
}

// Remove removes a connection that has been closed.
func (c *Connections[K]) Remove(key K) { delete(c.open, key) }

// Victim returns the connection to close for a new one: of the idle ones the one that
// has been idle for longest, or else the one whose header has taken longest. It
// addresses crowds of open connections without requests, and of headers that trickle
// in. It reports false if all connections are active.
func (c *Connections[K]) Victim() (K, bool) {
	var victim K
	var best connection
	found := false
	for key, candidate := range c.open {
		if candidate.phase == Active {
			continue
		}
		if !found || candidate.phase < best.phase || candidate.phase == best.phase && candidate.since.Before(best.since) {
			victim, best, found = key, candidate, true
		}
	}
	return victim, found
}
