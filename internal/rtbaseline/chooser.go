package rtbaseline

import (
	"cmp"
	"slices"
	"sync"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtroute"
)

// requestOverhead is the load of a request in addition to its prompt: its answer
// occupies a slot for about as long as the prefill of this many tokens takes.
const requestOverhead rtid.Tokens = 4096

// SharedPool chooses the target with the least outstanding work, like a single
// queue for all targets. All entries share one SharedPool, so that it has the
// current work of all of them, which real entries cannot have.
type SharedPool struct {
	mu          sync.Mutex
	outstanding map[rtid.Target]rtid.Tokens
}

// Choose returns the target with the least outstanding work.
func (s *SharedPool) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := minLoad(reports, request, func(r *rtroute.Report) rtid.Tokens { return s.outstanding[r.Target] })
	if !ok {
		return "", false
	}
	if s.outstanding == nil {
		s.outstanding = make(map[rtid.Target]rtid.Tokens)
	}
	s.outstanding[target] += request.Tokens + requestOverhead
	return target, true
}

// Ended subtracts the work of a request that was refused or has ended.
func (s *SharedPool) Ended(target rtid.Target, tokens rtid.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding[target] -= tokens + requestOverhead
}

// RoundRobin chooses the targets in turn.
type RoundRobin struct {
	mu   sync.Mutex
	next int
}

// Choose returns the next target in order of name.
func (r *RoundRobin) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := sortedByName(reports)
	for range sorted {
		report := &sorted[r.next%len(sorted)]
		r.next++
		if !slices.Contains(request.Exclude, report.Target) {
			return report.Target, true
		}
	}
	return "", false
}

// Ended does nothing, because this policy does not count requests in flight.
func (r *RoundRobin) Ended(rtid.Target, rtid.Tokens) {}

// LeastLoaded chooses the target whose last report has the least load. It does
// not add requests sent since that report.
type LeastLoaded struct{}

// Choose returns the target with the least reported load.
func (LeastLoaded) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	return minLoad(reports, request, reportedLoad)
}

// Ended does nothing, because this policy does not count requests in flight.
func (LeastLoaded) Ended(rtid.Target, rtid.Tokens) {}

// longFraction is the fraction of the targets that StaticSplit uses for prompts
// that are not short.
const longFraction = 2.0 / 3

// StaticSplit reserves a fixed pool of targets for short prompts and uses the
// others for all other prompts. Within a pool it chooses the targets in turn.
type StaticSplit struct {
	shortPool, longPool RoundRobin
}

// Choose returns the next target of the pool for the class of the request.
func (s *StaticSplit) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	sorted := sortedByName(reports)
	pool := make([]rtroute.Report, 0, len(sorted))
	for i := range sorted {
		// Spread the pools over the order of names, so that each zone has
		// targets of both.
		forLong := int(float64(i+1)*longFraction) > int(float64(i)*longFraction)
		if forLong == (request.Class != rtid.ClassShort) {
			pool = append(pool, sorted[i])
		}
	}
	if request.Class == rtid.ClassShort {
		return s.shortPool.Choose(pool, request)
	}
	return s.longPool.Choose(pool, request)
}

// Ended does nothing, because this policy does not count requests in flight.
func (*StaticSplit) Ended(rtid.Target, rtid.Tokens) {}

// reportedLoad returns the load of a target by its last report, in prompt
// tokens.
func reportedLoad(r *rtroute.Report) rtid.Tokens {
	return r.QueuedTokens + r.PrefillTokens + rtid.Tokens(r.Running)*requestOverhead
}

// minLoad returns the target with the least load among those that are not
// excluded from the request; of equally loaded ones, the first by name.
func minLoad(reports []rtroute.Report, request *rtroute.Request, load func(*rtroute.Report) rtid.Tokens) (rtid.Target, bool) {
	var best *rtroute.Report
	for i := range reports {
		report := &reports[i]
		if slices.Contains(request.Exclude, report.Target) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(load(report), load(best)), cmp.Compare(report.Target, best.Target)) < 0 {
			best = report
		}
	}
	if best == nil {
		return "", false
	}
	return best.Target, true
}

func sortedByName(reports []rtroute.Report) []rtroute.Report {
	return slices.SortedFunc(slices.Values(reports), func(a, b rtroute.Report) int {
		return cmp.Compare(a.Target, b.Target)
	})
}
