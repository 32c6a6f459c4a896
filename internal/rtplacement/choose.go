package rtplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Candidate is a target that may be used, with what is believed of it.
type Candidate struct {
	Instance *rtcatalog.Instance
	Load     Load
	Away     time.Duration // there and back
	Rank     uint32        // breaks ties; differs between processes
}

// Choice is where a request goes.
type Choice struct {
	Target  *rtcatalog.Instance
	Helpers []*rtcatalog.Instance // read parts of the prompt
	First   time.Duration         // predicted wait for the first event
	Part    time.Duration         // predicted reading at each of these targets
}

const (
	// maxHelpers is the most that a target takes (platform).
	maxHelpers = 16
	// tightGap is the bound on pauses below which a writer counts as harmed by
	// long passes.
	tightGap = 300 * time.Millisecond
	// passBound is the longest pass that tight writers bear: their bound of
	// 250 ms less the delay and jitter of the way.
	passBound = 220 * time.Millisecond
	// smallRead is a read that is not worth splitting.
	smallRead = 60 * time.Millisecond
	// aimShare is the part of the aim that a prediction may use up; the rest
	// covers what other processes send meanwhile.
	aimShare = 0.8
	// slotWait is the expected wait for each request beyond the slots.
	slotWait = 100 * time.Millisecond
)

// Value weighs a request against others: callers pay about in proportion to
// the length of the prompt, with a base for the answer.
func Value(prompt rtid.Tokens) float64 { return 1 + 0.13*float64(prompt)/1000 }

// Tight reports whether pauses of the work are bounded tightly.
func (w Work) Tight() bool { return w.Gap > 0 && w.Gap <= tightGap }

// Engine chooses the engines of a request so that it is in time with the least
// harm to the requests that write there. It answers the load that swings
// between short and long prompts: long prompts gather where few short ones
// write, in parts small enough for the pauses of those, and short prompts
// avoid engines that read. It reports false without a candidate.
func Engine(engine *rtcatalog.Engine, work Work, candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(badness(engine, work, a), badness(engine, work, b)), cmp.Compare(a.Rank, b.Rank))
	})
	most := min(len(order), 1+maxHelpers)
	if ReadTime(engine, work.Prompt, 1) <= smallRead {
		most = 1
	}
	var best Choice
	bestCost := 0.0
	for parts := 1; parts <= most; parts++ {
		choice, cost := split(engine, work, order[:parts])
		if best.Target == nil || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best, true
}

// badness orders candidates: the wait there, and for long reads the writers
// that they would delay.
func badness(engine *rtcatalog.Engine, work Work, c Candidate) time.Duration {
	wait := waitAt(engine, c)
	if !work.Tight() {
		return wait + time.Duration(c.Load.Writers)*harmTime
	}
	return wait
}

// harmTime is the wait that equals the delay of one tight writer in the choice
// of engines for a long read.
const harmTime = 40 * time.Millisecond

// waitAt returns the wait before a new read can begin at a candidate.
func waitAt(engine *rtcatalog.Engine, c Candidate) time.Duration {
	pass := PassTime(engine, c.Load)
	wait := pass/2 + c.Load.Reading + c.Away
	if over := c.Load.Requests + 1 - c.Instance.Slots; over > 0 {
		wait += time.Duration(over) * slotWait
	}
	return wait
}

// split returns the choice that reads the prompt at all of the candidates, and
// its cost.
func split(engine *rtcatalog.Engine, work Work, chosen []Candidate) (Choice, float64) {
	part := ReadTime(engine, work.Prompt, len(chosen))
	var longest time.Duration
	harmed := 0.0
	for _, c := range chosen {
		longest = max(longest, waitAt(engine, c))
		harmed += harm(engine, c, part)
	}
	first := longest + part + PassTime(engine, Load{Requests: 1, Context: work.Prompt / rtid.Tokens(len(chosen))})
	cost := harmed + lateness(work, first)*Value(work.Prompt)
	// Each engine spends a little on taking part.
	cost += 0.05 * float64(len(chosen))
	target := roomiest(engine, chosen)
	choice := Choice{Target: chosen[target].Instance, First: first, Part: part}
	for i, c := range chosen {
		if i != target {
			choice.Helpers = append(choice.Helpers, c.Instance)
		}
	}
	return choice, cost
}

// harm returns the expected number of tight writers at a candidate that are
// late because of a read there.
func harm(engine *rtcatalog.Engine, c Candidate, part time.Duration) float64 {
	pass := PassTime(engine, c.Load) + c.Load.Reading + part
	if pass <= passBound {
		return 0.2 * float64(c.Load.Writers) * float64(part) / float64(passBound)
	}
	return float64(c.Load.Writers)
}

// lateness returns the part of its value that a request loses by a wait for
// its first event.
func lateness(work Work, first time.Duration) float64 {
	aim := time.Duration(aimShare * float64(work.Aim))
	switch {
	case aim <= 0 || first <= aim:
		return 0.1 * float64(first) / float64(max(aim, time.Millisecond))
	case first < work.Patience:
		return 0.75 + 0.25*float64(first)/float64(work.Patience)
	default:
		return 1 + float64(first)/float64(max(work.Patience, time.Millisecond))
	}
}

// roomiest returns the index of the candidate with the most free memory; it
// holds the prompt and writes.
func roomiest(engine *rtcatalog.Engine, chosen []Candidate) int {
	best := 0
	for i := range chosen {
		if room(engine, chosen[i]) > room(engine, chosen[best]) {
			best = i
		}
	}
	return best
}

// room returns the memory that is free at a candidate, less a little for each
// request there so that writers spread.
func room(engine *rtcatalog.Engine, c Candidate) rtid.Tokens {
	const perRequest = 5000
	return engine.Memory - c.Load.Memory - perRequest*rtid.Tokens(c.Load.Requests)
}

// Plain chooses the target of a request without a prompt: the one with the
// least in flight, the nearest of equals.
func Plain(candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Load.Requests, b.Load.Requests), cmp.Compare(a.Away, b.Away), cmp.Compare(a.Rank, b.Rank))
	})
	return Choice{Target: best.Instance}, true
}
