package rtbaseline

import (
	"cmp"
	"slices"
	"sync"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtroute"
)

// requestTokens is what a request counts beside its prompt: its answer holds
// a slot for about as long as this much prefill takes.
const requestTokens rtid.Tokens = 4096

// SharedPool gives each request to the target with the least work, as one
// shared queue of all targets does. All entries share one SharedPool, so that
// it knows all work without delay. No real entry can know that much.
type SharedPool struct {
	mu   sync.Mutex
	work map[rtid.Target]rtid.Tokens
}

// Choose returns the target with the least outstanding work.
func (s *SharedPool) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := least(reports, request, func(r *rtroute.Report) rtid.Tokens { return s.work[r.Target] })
	if !ok {
		return "", false
	}
	if s.work == nil {
		s.work = make(map[rtid.Target]rtid.Tokens)
	}
	s.work[target] += request.Tokens + requestTokens
	return target, true
}

// Ended takes the work away.
func (s *SharedPool) Ended(target rtid.Target, tokens rtid.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work[target] -= tokens + requestTokens
}

// RoundRobin takes the targets in turn.
type RoundRobin struct {
	mu   sync.Mutex
	next int
}

// Choose returns the next target in order of name.
func (r *RoundRobin) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := byName(reports)
	for range sorted {
		report := &sorted[r.next%len(sorted)]
		r.next++
		if !slices.Contains(request.Exclude, report.Target) {
			return report.Target, true
		}
	}
	return "", false
}

// Ended does nothing.
func (r *RoundRobin) Ended(rtid.Target, rtid.Tokens) {}

// LeastLoaded takes the target with the least load by its last report, without
// correction for what was sent since.
type LeastLoaded struct{}

// Choose returns the target with the least reported load.
func (LeastLoaded) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	return least(reports, request, reported)
}

// Ended does nothing.
func (LeastLoaded) Ended(rtid.Target, rtid.Tokens) {}

// longPart is the part of the targets that StaticSplit gives to prompts that
// are not short.
const longPart = 2.0 / 3

// StaticSplit keeps a fixed part of the targets for short prompts and gives
// the others to the rest, in turn within each part.
type StaticSplit struct {
	short, long RoundRobin
}

// Choose returns the next target of the request's part.
func (s *StaticSplit) Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool) {
	sorted := byName(reports)
	part := make([]rtroute.Report, 0, len(sorted))
	for i := range sorted {
		// Spread over the order of names, so that each zone has both parts.
		forLong := int(float64(i+1)*longPart) > int(float64(i)*longPart)
		if forLong == (request.Class != rtid.ClassShort) {
			part = append(part, sorted[i])
		}
	}
	if request.Class == rtid.ClassShort {
		return s.short.Choose(part, request)
	}
	return s.long.Choose(part, request)
}

// Ended does nothing.
func (*StaticSplit) Ended(rtid.Target, rtid.Tokens) {}

func reported(r *rtroute.Report) rtid.Tokens {
	return r.Queued + r.Prefill + rtid.Tokens(r.Running)*requestTokens
}

// least returns the target with the least load that has not refused the
// request, the first by name among equal ones.
func least(reports []rtroute.Report, request *rtroute.Request, load func(*rtroute.Report) rtid.Tokens) (rtid.Target, bool) {
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

func byName(reports []rtroute.Report) []rtroute.Report {
	return slices.SortedFunc(slices.Values(reports), func(a, b rtroute.Report) int {
		return cmp.Compare(a.Target, b.Target)
	})
}
