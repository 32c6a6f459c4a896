package rtroute

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// flight is one own offer. A report that was made after the reply includes it.
type flight struct {
	tokens  rtid.Tokens
	replied time.Time // zero while the reply is outstanding
}

// Flights keeps the own offers that targets' reports do not include yet. The
// zero value is ready to use. It is not safe for concurrent use.
type InFlight struct {
	targets map[rtid.Target]map[uint64]flight
	next    uint64
}

// Send records an offer and returns its number.
func (f *InFlight) Add(target rtid.Target, tokens rtid.Tokens) uint64 {
	if f.targets == nil {
		f.targets = make(map[rtid.Target]map[uint64]flight)
	}
	if f.targets[target] == nil {
		f.targets[target] = make(map[uint64]flight)
	}
	f.next++
	f.targets[target][f.next] = flight{tokens: tokens}
	return f.next
}

// Accept records that the offer was accepted at now.
func (f *InFlight) MarkAccepted(target rtid.Target, number uint64, now time.Time) {
	if sent, ok := f.targets[target][number]; ok {
		sent.replied = now
		f.targets[target][number] = sent
	}
}

// Drop removes an offer that does not load the target.
func (f *InFlight) Remove(target rtid.Target, number uint64) {
	delete(f.targets[target], number)
	if len(f.targets[target]) == 0 {
		delete(f.targets, target)
	}
}

// Pending returns the own work that a report heard at heard does not include,
// and forgets the work that it includes.
func (f *InFlight) Pending(target rtid.Target, heard time.Time) Pending {
	var pending Pending
	for number, sent := range f.targets[target] {
		if !sent.replied.IsZero() && !sent.replied.After(heard) {
			f.Remove(target, number)
			continue
		}
		pending.Tokens += sent.tokens
		pending.Requests++
	}
	return pending
}
