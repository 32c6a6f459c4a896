package rtplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Candidate is a target that a request may be sent to, with its known load.
type Candidate struct {
	Instance  *rtcatalog.Instance
	Load      Load
	RoundTrip time.Duration // network delay there and back
	Hash      uint32        // orders engines alike in all processes
	TieBreak  uint32        // random for each request
	Limited   bool          // takes this request by its rate limit, but no parts of others
	// HelperOnly says that it takes parts of the request but not the request: this process
	// has used its part of the requests that a target may get in a second.
	HelperOnly bool
	// Refuses says that it has refused to help with prompts of others. It may still be a
	// target.
	Refuses bool
}

// PoolState is what a placement needs to know of the fleet besides its
// candidates.
type PoolState struct {
	InteractiveEngines int // size of the interactive pool: the first engines by Hash
	Gateways           int // gateways that place requests at the same time; at least 1
}

// Placement is where a request goes.
type Placement struct {
	Target              *rtcatalog.Instance
	Helpers             []*rtcatalog.Instance // prefill parts of the prompt
	PredictedFirstEvent time.Duration         // from now
	PartPrefill         time.Duration         // predicted prefill time at each of these targets
	PrefillBacklog      time.Duration         // of other requests at them, mean
	Requests            float64               // in flight at them, mean

	// Corrected is the first event as corrected by what was observed, from now; 0 without
	// a Forecaster.
	Corrected         time.Duration
	optimistic        time.Duration // the optimistic end of its spread; 0 without a Forecaster
	predictedByPasses time.Duration // PredictedFirstEvent of placements with a Forecaster
}

const (
	// maxHelpers is the most helpers that the platform allows for one request.
	maxHelpers = 16
	// interactiveGapSLO is the gap SLO up to which a request counts as
	// interactive.
	interactiveGapSLO = 300 * time.Millisecond
	// interactivePart and longPart are the longest prefill times of one part of a
	// prompt, unless the engines or maxHelpers allow fewer parts. With a decode
	// pass of 50 ms, a pass stays within the gap SLO of interactive requests
	// (250 ms) even if it prefills two parts of long prompts or three of short
	// ones.
	interactivePart = 30 * time.Millisecond
	longPart        = 100 * time.Millisecond
	// fullViewGateways is the number of gateways that can choose among all engines
	// without often picking the same ones. With more gateways, each chooses among
	// a sample. For a long prompt it has at least spareEngines more engines than
	// the prompt has parts.
	fullViewGateways = 2
	spareEngines     = 6
	// slotWait is the expected wait for each request beyond the slots of an
	// engine.
	slotWait = 100 * time.Millisecond
	// otherPoolPenalty is the extra wait in the preferred pool that is accepted
	// before an engine of the other pool is used.
	otherPoolPenalty = 500 * time.Millisecond
	// requestPenalty is the cost of one more request at an engine, as a wait: the
	// time that it adds to each pass, over the usual number of passes of an
	// answer.
	requestPenalty = 4 * time.Millisecond
	// blockedRequestPenalty is the cost of one more request that a blocking part
	// holds up, as a wait. It is high because a late answer costs more than any
	// wait within the latency SLO.
	blockedRequestPenalty = 100 * time.Millisecond
)

// Interactive reports whether the work has a tight gap SLO.
func (w Work) Interactive() bool { return w.GapSLO > 0 && w.GapSLO <= interactiveGapSLO }

// sample returns a random subset of candidates, of size atLeast or more. Many
// gateways that place requests by the same reports at the same time would all
// pick the same idle engines; with samples each sees different ones. Up to
// fullViewGateways gateways get all candidates.
func (s PoolState) sample(candidates []Candidate, atLeast int) []Candidate {
	size := max(atLeast, (len(candidates)*fullViewGateways+s.Gateways-1)/max(1, s.Gateways))
	if size >= len(candidates) {
		return candidates
	}
	sampled := slices.Clone(candidates)
	slices.SortFunc(sampled, func(a, b Candidate) int { return cmp.Compare(a.TieBreak, b.TieBreak) })
	return sampled[:size]
}

// PlaceOnEngines selects the target and the helpers of a request. It reports
// false if no candidate may be the target.
func PlaceOnEngines(engine *rtcatalog.Engine, work Work, candidates []Candidate, pools PoolState) (Placement, bool) {
	if !slices.ContainsFunc(candidates, Candidate.MayBeTarget) {
		return Placement{}, false
	}
	// A target with a rate limit takes no parts of others.
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Limited && c.HelperOnly })
	sorted := sortedByHash(atMostOneLimited(candidates))
	border := min(pools.InteractiveEngines, len(sorted))
	if work.Interactive() {
		count := partCount(engine, work, interactivePart, len(sorted))
		own := notBlocked(sorted[:border])
		if count > 1 {
			own = withoutRefusing(own)
		}
		targets, helpers := split(own)
		preferred := append(slices.Clone(pools.sample(targets, count+1)), pools.sample(helpers, count-1)...)
		otherTargets, _ := split(sorted[border:])
		all := append(slices.Clone(preferred), pools.sample(otherTargets, 1)...)
		if !slices.ContainsFunc(all, Candidate.MayBeTarget) {
			// All targets of the own pool are blocked.
			blocked, _ := split(sorted[:border])
			all = append(all, pools.sample(blocked, 1)...)
		}
		return place(engine, work, all, len(preferred), min(count, len(all))), true
	}
	// Parts of long prompts never go to engines of the interactive pool, unless
	// there are no others, or no other may be the target.
	long := longPool(sorted, border)
	if partCount(engine, work, longPart, len(long)) > 1 {
		long = withoutRefusing(long)
	}
	count := partCount(engine, work, longPart, len(long))
	all := long
	if PrefillTime(engine, work.Prompt, count) <= blockingPart {
		all = pools.sample(long, count+spareEngines)
	}
	preferred := len(all)
	if !slices.ContainsFunc(all, Candidate.MayBeTarget) {
		targets, _ := split(long)
		if len(targets) == 0 {
			targets, _ = split(sorted)
		} else {
			preferred++
		}
		all = append(slices.Clone(all), pools.sample(targets, 1)[0])
	}
	return place(engine, work, all, preferred, count), true
}

// MayBeTarget reports whether the request may be sent to the candidate.
func (c Candidate) MayBeTarget() bool { return !c.HelperOnly }

// split returns the candidates that may be the target, and those that may be helpers
// only.
func split(candidates []Candidate) (targets, helpers []Candidate) {
	for _, c := range candidates {
		if c.MayBeTarget() {
			targets = append(targets, c)
		} else {
			helpers = append(helpers, c)
		}
	}
	return targets, helpers
}

// atMostOneLimited returns the candidates with only the least loaded one of those
// that limit their rate: a helper would use a place of the limit for a part of a
// request.
func atMostOneLimited(candidates []Candidate) []Candidate {
	best := -1
	limited := 0
	for i := range candidates {
		if !candidates[i].Limited {
			continue
		}
		limited++
		if best < 0 || candidates[i].Load.Requests < candidates[best].Load.Requests {
			best = i
		}
	}
	if limited <= 1 {
		return candidates
	}
	var kept []Candidate
	for i := range candidates {
		if !candidates[i].Limited || i == best {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}

// longPool returns the engines of the long-prompt pool: those behind the
// interactive engines, or all engines if there are no others. It leaves out
// blocked engines unless all are blocked.
func longPool(sorted []Candidate, interactiveEngines int) []Candidate {
	long := sorted[min(interactiveEngines, len(sorted)):]
	if len(long) == 0 {
		long = sorted
	}
	return notBlocked(long)
}

// notBlocked returns the candidates whose prefill backlog does not block other
// requests beyond their gap SLO, or all candidates if there are none.
func notBlocked(candidates []Candidate) []Candidate {
	free := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Load.PrefillBacklog > blockingPart })
	if len(free) == 0 {
		return candidates
	}
	return free
}

// sortedByHash returns candidates in the order that all processes share.
func sortedByHash(candidates []Candidate) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int { return cmp.Compare(a.Hash, b.Hash) })
	return sorted
}

// place splits a prompt over the count candidates with the lowest cost.
// Candidates from index preferred on belong to the other pool and cost
// otherPoolPenalty more.
func place(engine *rtcatalog.Engine, work Work, candidates []Candidate, preferred, count int) Placement {
	partPrefill := PrefillTime(engine, work.Prompt, count)
	perRequest := requestPenalty
	if partPrefill > blockingPart {
		perRequest = blockedRequestPenalty
	}
	type ranked struct {
		Candidate
		wait time.Duration
		cost time.Duration
	}
	all := make([]ranked, 0, len(candidates))
	for i, c := range candidates {
		r := ranked{Candidate: c, wait: prefillDelay(engine, c)}
		r.cost = r.wait + time.Duration(c.Load.Requests)*perRequest
		if i >= preferred {
			r.cost += otherPoolPenalty
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	// The best one that may be the target is among the chosen.
	if first := slices.IndexFunc(all, func(r ranked) bool { return r.MayBeTarget() }); first >= count {
		all[count-1], all[first] = all[first], all[count-1]
	}
	chosen := make([]Candidate, 0, count)
	var longest time.Duration
	var total Load
	for _, r := range all[:count] {
		chosen = append(chosen, r.Candidate)
		longest = max(longest, r.wait)
		total = total.Add(r.Load)
	}
	target := mostFreeMemory(engine, chosen)
	placement := Placement{
		Target:              chosen[target].Instance,
		PartPrefill:         partPrefill,
		PrefillBacklog:      total.PrefillBacklog / time.Duration(count),
		Requests:            float64(total.Requests) / float64(count),
		PredictedFirstEvent: longest + partPrefill + DecodePassTime(engine, Load{Requests: 1, Context: work.Prompt / rtid.Tokens(count)}),
	}
	placement.predictedByPasses = predictByPasses(engine, work, chosen, target, partPrefill)
	for i, c := range chosen {
		if i != target {
			placement.Helpers = append(placement.Helpers, c.Instance)
		}
	}
	return placement
}

// prefillDelay returns the wait until a new prefill can begin at a candidate.
func prefillDelay(engine *rtcatalog.Engine, c Candidate) time.Duration {
	delay := DecodePassTime(engine, c.Load)/2 + c.Load.PrefillBacklog + c.RoundTrip
	if excess := c.Load.Requests + 1 - c.Instance.Slots; excess > 0 {
		delay += time.Duration(excess) * slotWait
	}
	return delay
}

// mostFreeMemory returns the index of the candidate with the most free memory, of
// those that may be the target. It becomes the target, which holds the prompt and
// decodes. A candidate with a rate limit always does.
func mostFreeMemory(engine *rtcatalog.Engine, chosen []Candidate) int {
	best := slices.IndexFunc(chosen, Candidate.MayBeTarget)
	for i := range chosen {
		if chosen[i].Limited {
			return i // it must not be a helper
		}
		if chosen[i].HelperOnly {
			continue
		}
		if freeMemory(engine, chosen[i]) > freeMemory(engine, chosen[best]) {
			best = i
		}
	}
	return best
}

// freeMemory returns the free memory at a candidate, less a little for each
// request there, so that decoding requests spread over the engines.
func freeMemory(engine *rtcatalog.Engine, c Candidate) rtid.Tokens {
	const perRequest = 5000
	return engine.Memory - c.Load.Memory - perRequest*rtid.Tokens(c.Load.Requests)
}

// PlaceOnService selects the target of a request without a prompt: the one with
// the fewest in-flight requests, among equals the nearest.
func PlaceOnService(candidates []Candidate) (Placement, bool) {
	candidates, _ = split(candidates)
	if len(candidates) == 0 {
		return Placement{}, false
	}
	best := slices.MinFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Load.Requests, b.Load.Requests), cmp.Compare(a.RoundTrip, b.RoundTrip), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	return Placement{Target: best.Instance, Requests: float64(best.Load.Requests)}, true
}
