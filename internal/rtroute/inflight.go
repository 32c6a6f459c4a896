package rtroute

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// inFlightOffer is one offer of this entry. A report received after the reply to
// the offer includes it.
type inFlightOffer struct {
	tokens    rtid.Tokens
	repliedAt time.Time // zero while the reply is outstanding
}

// InFlight holds this entry's offers that the targets' reports do not include
// yet. The zero value is ready to use. It is not safe for concurrent use.
type InFlight struct {
	targets    map[rtid.Target]map[uint64]inFlightOffer
	lastNumber uint64
}

// Add records an offer that is about to be sent and returns its number.
func (f *InFlight) Add(target rtid.Target, tokens rtid.Tokens) uint64 {
	if f.targets == nil {
		f.targets = make(map[rtid.Target]map[uint64]inFlightOffer)
	}
	if f.targets[target] == nil {
		f.targets[target] = make(map[uint64]inFlightOffer)
	}
	f.lastNumber++
	f.targets[target][f.lastNumber] = inFlightOffer{tokens: tokens}
	return f.lastNumber
}

// MarkAccepted records that the offer was accepted at now.
func (f *InFlight) MarkAccepted(target rtid.Target, number uint64, now time.Time) {
	if sent, ok := f.targets[target][number]; ok {
		sent.repliedAt = now
		f.targets[target][number] = sent
	}
}

// Remove removes an offer that no longer loads the target.
func (f *InFlight) Remove(target rtid.Target, number uint64) {
	delete(f.targets[target], number)
	if len(f.targets[target]) == 0 {
		delete(f.targets, target)
	}
}

// Pending returns this entry's work that a report received at receivedAt does
// not include. It removes the offers that the report includes.
func (f *InFlight) Pending(target rtid.Target, receivedAt time.Time) Pending {
	var pending Pending
	for number, sent := range f.targets[target] {
		if !sent.repliedAt.IsZero() && !sent.repliedAt.After(receivedAt) {
			f.Remove(target, number)
			continue
		}
		pending.Tokens += sent.tokens
		pending.Requests++
	}
	return pending
}
