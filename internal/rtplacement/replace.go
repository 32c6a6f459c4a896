package rtplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// withoutRefusing returns the candidates of a pool that take parts of prompts of others,
// for a prompt that is split. It returns all of them if fewer than two or no target would
// be left: a helper that may refuse is better than a prompt that cannot be split.
func withoutRefusing(candidates []Candidate) []Candidate {
	taking := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Refuses })
	if len(taking) < 2 || !slices.ContainsFunc(taking, Candidate.MayBeTarget) {
		return candidates
	}
	return taking
}

// ReplacementHelper returns the best candidate that may help in place of another one,
// with free memory for at least some tokens, nil for none. It is chosen by the costs of
// a placement among the candidates of the pool of the request that do not take part yet.
func (s *Scheduler) ReplacementHelper(engine *rtcatalog.Engine, work Work, taken []rtid.Target, memory rtid.Tokens,
	candidates []Candidate) *rtcatalog.Instance {
	sorted := sortedByHash(candidates)
	border := min(s.pools.Size(), len(sorted))
	pool := longPool(sorted, border)
	if work.Interactive() {
		pool = notBlocked(sorted[:border])
	}
	usable := slices.DeleteFunc(slices.Clone(pool), func(c Candidate) bool {
		return c.Limited || c.Refuses || slices.Contains(taken, c.Instance.ID) ||
			memory > 0 && rtid.Tokens(helperMemoryShare*float64(engine.Memory-c.Load.Memory)) < memory
	})
	if len(usable) == 0 {
		return nil
	}
	cost := func(c Candidate) time.Duration {
		return prefillDelay(engine, c) + time.Duration(c.Load.Requests)*requestPenalty
	}
	best := slices.MinFunc(usable, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	return best.Instance
}

// WithHelpers returns the placement with other helpers. With fewer of them, each part is
// longer.
func (p Placement) WithHelpers(engine *rtcatalog.Engine, work Work, helpers []*rtcatalog.Instance) Placement {
	if len(helpers) != len(p.Helpers) {
		part := PrefillTime(engine, work.Prompt, 1+len(helpers))
		p.PredictedFirstEvent += part - p.PartPrefill
		p.PartPrefill = part
	}
	p.Helpers = helpers
	return p
}

// ReplaceHelpers records that a request in flight has other helpers than before. Its
// other hosts and its start stay.
func (t *LoadTracker) ReplaceHelpers(request *InFlightRequest, placement Placement) {
	for _, helper := range request.helpers {
		if request.reserved[helper] == 0 {
			t.remove(helper, request)
		}
	}
	request.helpers = nil
	request.partPrefill, request.predictedFirstEvent = placement.PartPrefill, placement.PredictedFirstEvent
	for _, helper := range placement.Helpers {
		request.helpers = append(request.helpers, helper.ID)
		t.add(helper.ID, request)
	}
}
