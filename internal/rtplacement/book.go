package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Book records the work that this process has sent and what peers say of
// theirs. The zero value is empty. It is not safe for concurrent use.
type LoadTracker struct {
	own   map[rtid.Target]map[*InFlightRequest]bool
	peers map[rtid.VM]report
}

// report is what a peer said at one moment.
type report struct {
	heard time.Time
	loads map[rtid.Target]Load
}

// reportLife is how long the word of a peer counts. A peer reports several
// times within it while it lives.
const reportLife = 2 * time.Second

// Flight is one request at its targets.
type InFlightRequest struct {
	target  rtid.Target
	helpers []rtid.Target
	work    Work
	part    time.Duration
	first   time.Duration // predicted from sent
	sent    time.Time
	writing bool // the first event has come
}

// Begin records that a request is sent.
func (b *LoadTracker) Start(choice Placement, work Work, now time.Time) *InFlightRequest {
	flight := &InFlightRequest{target: choice.Target.ID, work: work, part: choice.PartPrefill, first: choice.PredictedFirstEvent, sent: now}
	for _, helper := range choice.Helpers {
		flight.helpers = append(flight.helpers, helper.ID)
	}
	if b.own == nil {
		b.own = make(map[rtid.Target]map[*InFlightRequest]bool)
	}
	for _, target := range flight.targets() {
		if b.own[target] == nil {
			b.own[target] = make(map[*InFlightRequest]bool)
		}
		b.own[target][flight] = true
	}
	return flight
}

// First records the first event of a flight: its prompt has been read.
func (b *LoadTracker) PrefillDone(flight *InFlightRequest) {
	flight.writing = true
	for _, helper := range flight.helpers {
		b.drop(helper, flight)
	}
}

// End records that a flight has ended.
func (b *LoadTracker) Finish(flight *InFlightRequest) {
	for _, target := range flight.targets() {
		b.drop(target, flight)
	}
}

func (b *LoadTracker) drop(target rtid.Target, flight *InFlightRequest) {
	delete(b.own[target], flight)
	if len(b.own[target]) == 0 {
		delete(b.own, target)
	}
}

func (f *InFlightRequest) targets() []rtid.Target {
	return append([]rtid.Target{f.target}, f.helpers...)
}

// Report takes in what a peer says of its own work.
func (b *LoadTracker) SetPeerLoads(peer rtid.VM, loads map[rtid.Target]Load, now time.Time) {
	if b.peers == nil {
		b.peers = make(map[rtid.VM]report)
	}
	b.peers[peer] = report{heard: now, loads: loads}
}

// Load returns the load of a target by the work of all processes.
func (b *LoadTracker) Load(target rtid.Target, now time.Time) Load {
	load := b.ownLoad(target, now)
	for _, report := range b.peers {
		age := now.Sub(report.heard)
		if age > reportLife {
			continue
		}
		theirs := report.loads[target]
		theirs.PrefillBacklog = max(0, theirs.PrefillBacklog-age)
		load = load.Add(theirs)
	}
	return load
}

// Own returns the loads by the work of this process.
func (b *LoadTracker) LocalLoads(now time.Time) map[rtid.Target]Load {
	loads := make(map[rtid.Target]Load, len(b.own))
	for target := range b.own {
		loads[target] = b.ownLoad(target, now)
	}
	return loads
}

func (b *LoadTracker) ownLoad(target rtid.Target, now time.Time) Load {
	var load Load
	for flight := range b.own[target] {
		load = load.Add(flight.loadAt(target, now))
	}
	return load
}

// loadAt returns what a flight adds to one of its targets.
func (f *InFlightRequest) loadAt(target rtid.Target, now time.Time) Load {
	var load Load
	if target == f.target {
		load.Requests = 1
		load.Memory = f.work.Prompt + f.work.Output
		load.Context = load.Memory / rtid.Tokens(1+len(f.helpers))
		if f.work.Interactive() {
			load.Interactive = 1
		}
	}
	if !f.writing {
		load.PrefillBacklog = f.reading(now)
	}
	return load
}

// reading returns the work that is left of a part, which is read at the end
// of the predicted wait.
func (f *InFlightRequest) reading(now time.Time) time.Duration {
	left := f.first - now.Sub(f.sent)
	const least = 4 // a part that should have been read counts a quarter until the first event
	return max(f.part/least, min(f.part, left))
}
