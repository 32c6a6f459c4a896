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
	Instance  *rtcatalog.Instance
	Load      Load
	RoundTrip time.Duration // there and back
	Hash      uint32        // the same in all processes
	TieBreak  uint32        // random for each request
}

// Sight is what a process knows of the fleet when it chooses.
type PoolState struct {
	InteractiveEngines int // engines, by Order, that are for tight requests
	Gateways           int // processes that choose at the same time; at least 1
}

// Choice is where a request goes.
type Placement struct {
	Target              *rtcatalog.Instance
	Helpers             []*rtcatalog.Instance // read parts of the prompt
	PredictedFirstEvent time.Duration         // predicted wait for the first event
	PartPrefill         time.Duration         // predicted reading at each of these targets
	PrefillBacklog      time.Duration         // of other reading at them, mean
	LongRequests        float64               // requests at them that are not tight, mean
}

const (
	// maxHelpers is the most that a target takes (platform).
	maxHelpers = 16
	// tightGap is the bound on pauses below which a request counts as tight.
	tightGap = 300 * time.Millisecond
	// tightPart and longPart are the reads that one engine gets in one pass.
	// With a pass of 50 ms they stay below the bound on pauses of tight requests
	// (250 ms) even when two or three meet.
	tightPart = 30 * time.Millisecond
	longPart  = 100 * time.Millisecond
	// sharedView is how many gateways choose among all engines without getting
	// into each other's way, and spareParts the engines beyond the parts of a
	// prompt that more of them choose among.
	sharedView = 2
	spareParts = 6
	// slotWait is the expected wait for each request beyond the slots.
	slotWait = 100 * time.Millisecond
	// otherPool is the wait that equals the use of an engine of the other pool.
	otherPool = 500 * time.Millisecond
	// writerWait is the wait that equals one more request at an engine: what it
	// adds to each pass, over the usual number of passes of an answer.
	writerWait = 4 * time.Millisecond
	// heldWait is the wait that equals one more request that a long part holds
	// up: a late answer costs more than any wait within the aim.
	heldWait = 100 * time.Millisecond
)

// Tight reports whether pauses of the work are bounded tightly.
func (w Work) Interactive() bool { return w.GapSLO > 0 && w.GapSLO <= tightGap }

// sample returns a random part of candidates, at least least of them. It
// answers many gateways that choose by the same reports at the same time: each
// sees other idle engines. As few as sharedView see all.
func (s PoolState) sample(candidates []Candidate, least int) []Candidate {
	size := max(least, (len(candidates)*sharedView+s.Gateways-1)/max(1, s.Gateways))
	if size >= len(candidates) {
		return candidates
	}
	sampled := slices.Clone(candidates)
	slices.SortFunc(sampled, func(a, b Candidate) int { return cmp.Compare(a.TieBreak, b.TieBreak) })
	return sampled[:size]
}

// Engine chooses the engines of a request. It reports false without a
// candidate.
func PlaceOnEngines(engine *rtcatalog.Engine, work Work, candidates []Candidate, sight PoolState) (Placement, bool) {
	if len(candidates) == 0 {
		return Placement{}, false
	}
	order := ordered(candidates)
	tight := min(sight.InteractiveEngines, len(order))
	if work.Interactive() {
		count := parts(engine, work, tightPart, len(order))
		home := sight.sample(open(order[:tight]), count+1)
		all := append(slices.Clone(home), sight.sample(order[tight:], 1)...)
		return choose(engine, work, all, len(home), min(count, len(all))), true
	}
	// Parts of long prompts never go to engines of tight requests.
	long := longPool(order, tight)
	count := parts(engine, work, longPart, len(long))
	if PrefillTime(engine, work.Prompt, count) <= widePart {
		long = sight.sample(long, count+spareParts)
	}
	return choose(engine, work, long, len(long), count), true
}

// longPool returns the engines for long reads of an order: those behind the
// tight ones.
func longPool(order []Candidate, tight int) []Candidate {
	long := order[min(tight, len(order)):]
	if len(long) == 0 {
		long = order
	}
	return open(long)
}

// open returns the candidates that do not read one prompt for longer than
// others can wait, or all if there is none.
func open(candidates []Candidate) []Candidate {
	open := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Load.PrefillBacklog > widePart })
	if len(open) == 0 {
		return candidates
	}
	return open
}

// ordered returns candidates in the order that all processes share.
func ordered(candidates []Candidate) []Candidate {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b Candidate) int { return cmp.Compare(a.Hash, b.Hash) })
	return order
}

// choose splits a prompt over the best candidates. The first home of them are
// preferred to the others.
func choose(engine *rtcatalog.Engine, work Work, order []Candidate, home, count int) Placement {
	part := PrefillTime(engine, work.Prompt, count)
	perRequest := writerWait
	if part > widePart {
		perRequest = heldWait
	}
	type ranked struct {
		Candidate
		wait time.Duration
		cost time.Duration
	}
	all := make([]ranked, 0, len(order))
	for i, c := range order {
		r := ranked{Candidate: c, wait: waitAt(engine, c)}
		r.cost = r.wait + time.Duration(c.Load.Requests)*perRequest
		if i >= home {
			r.cost += otherPool
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	chosen := make([]Candidate, 0, count)
	var longest time.Duration
	var sum Load
	for _, r := range all[:count] {
		chosen = append(chosen, r.Candidate)
		longest = max(longest, r.wait)
		sum = sum.Add(r.Load)
	}
	target := roomiest(engine, chosen)
	choice := Placement{
		Target:              chosen[target].Instance,
		PartPrefill:         part,
		PrefillBacklog:      sum.PrefillBacklog / time.Duration(count),
		LongRequests:        float64(sum.Requests-sum.Interactive) / float64(count),
		PredictedFirstEvent: longest + part + DecodePassTime(engine, Load{Requests: 1, Context: work.Prompt / rtid.Tokens(count)}),
	}
	for i, c := range chosen {
		if i != target {
			choice.Helpers = append(choice.Helpers, c.Instance)
		}
	}
	return choice
}

// waitAt returns the wait before a new read can begin at a candidate.
func waitAt(engine *rtcatalog.Engine, c Candidate) time.Duration {
	wait := DecodePassTime(engine, c.Load)/2 + c.Load.PrefillBacklog + c.RoundTrip
	if over := c.Load.Requests + 1 - c.Instance.Slots; over > 0 {
		wait += time.Duration(over) * slotWait
	}
	return wait
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
func PlaceOnService(candidates []Candidate) (Placement, bool) {
	if len(candidates) == 0 {
		return Placement{}, false
	}
	best := slices.MinFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Load.Requests, b.Load.Requests), cmp.Compare(a.RoundTrip, b.RoundTrip), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	return Placement{Target: best.Instance}, true
}
