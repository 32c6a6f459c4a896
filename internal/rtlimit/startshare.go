package rtlimit

import (
	"math"
	"time"
)

const (
	// DiscoveryTime is how long after its start a process may not know its rank among
	// the processes that share a limit.
	DiscoveryTime = 500 * time.Millisecond
	// settleTime is how long after DiscoveryTime a process uses half of a limit that
	// has fewer requests than there are processes. Its predecessor, and those of all
	// others, may have used the other half within the same second.
	settleTime = time.Second
	// maxStartOverrun is the probability with which the processes that start together
	// may send more than their part to one target. With 220 targets and a restart of
	// all processes each hour it is reached once in about six months.
	maxStartOverrun = 1e-6
)

// Phase is how much a process knows of its place among those that share a limit.
type Phase int

// The phases of a process.
const (
	Settled     Phase = iota // it knows its rank, and no predecessor counts any more
	Discovering              // it does not know its rank
	Settling                 // it knows its rank; a predecessor may have used its part
)

// StartShare returns the share of a process in a limit at an age since its start. The
// position is a hash of limit and process as a fraction of the hash range, and ranks
// must be in the order of positions. A process that is not alone has heard of one that
// is not Discovering.
func StartShare(rank, processes int, age time.Duration, position float64, alone bool) Share {
	share := Share{Rank: rank, Processes: processes, position: position, alone: alone}
	switch {
	case age < DiscoveryTime:
		share.Phase, share.PhaseLeft = Discovering, DiscoveryTime-age
		share.Rank = processes - 1
	case age < DiscoveryTime+settleTime:
		share.Phase, share.PhaseLeft = Settling, DiscoveryTime+settleTime-age
	}
	return share
}

// ColdPart returns the part of a limit of whole requests in a second that a process
// uses. All processes together must not exceed bound, which is above the limit.
// A process does not know its rank at first: with more processes than requests it uses
// a place drawn by hash, unless others that know their ranks may be using all of them.
// The targets for which a place is drawn and those for which the rank is low enough are
// the same ones but for chance, because both follow from the hash.
func (s Share) ColdPart(limit int, bound float64) int {
	if s.Processes <= limit {
		return s.Part(limit)
	}
	switch s.Phase {
	case Discovering:
		mostFraction := float64(limit) / 2 / float64(s.Processes)
		if s.alone && s.position < mostFraction && s.position < startFraction(limit, bound, s.Processes) {
			return 1
		}
		return 0
	case Settling:
		return s.Part(limit / 2)
	default:
		return s.Part(limit)
	}
}

// ColdWait returns how long it takes until a process that has no part of a limit now
// may have one, without a change of the processes that share it. It reports false if
// it will have none.
func (s Share) ColdWait(limit int) (time.Duration, bool) {
	switch s.Phase {
	case Discovering:
		return s.PhaseLeft, limit > 0
	case Settling:
		return s.PhaseLeft, s.Part(limit) > 0
	default:
		return 0, false
	}
}

// startFraction returns the part of the hash range in which a process that does not
// know its rank may send one request. The processes together send half of the limit on
// average, or less if that could exceed half of the bound: they may start twice within
// a second.
func startFraction(limit int, bound float64, processes int) float64 {
	// Chernoff's bound for the number of processes drawn, which has a binomial
	// distribution, to be at least most+1.
	overrun := func(mean, count float64) float64 { return math.Exp(count - mean - count*math.Log(count/mean)) }
	over := math.Floor(bound/2) + 1
	low, high := 0.0, min(float64(limit)/2, over)
	const steps = 30 // of a bisection; the result is exact to a billionth of the range
	for range steps {
		if middle := (low + high) / 2; middle > 0 && overrun(middle, over) > maxStartOverrun {
			high = middle
		} else {
			low = middle
		}
	}
	return low / float64(max(1, processes))
}
