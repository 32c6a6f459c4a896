package rtplacement

import "time"

// Decision is what to do with a request at this moment.
type Decision int

// The decisions about a request.
const (
	Send Decision = iota
	Wait
	Refuse
)

// LongPoolLoad is the load on the long-prompt pool.
type LongPoolLoad struct {
	PrefillBacklog time.Duration // mean over the engines of the pool that are not blocked
	Size           int           // engines of the pool that are not blocked
	Engines        int           // usable engines of the service, of both pools
}

const (
	// sloShare is the part of the latency SLO that the predicted first event may
	// use. The rest covers requests that other processes send meanwhile.
	sloShare = 0.85
	// maxLongPass is the longest pass that is sure to meet the gap SLO of long
	// requests: seven tenths of the tightest gap SLO that is usual for them
	// (600 ms). The rest covers what other processes send meanwhile.
	maxLongPass = 420 * time.Millisecond
	// decodeOnlyPass is the duration of a pass without prefill.
	decodeOnlyPass = 50 * time.Millisecond
	// shedRetryDelay is the time after which engines without room are expected to
	// have some: a few passes. blockingRetryDelay is the time after which the
	// pools may have been resized: loads shift between them within seconds.
	shedRetryDelay     = 400 * time.Millisecond
	blockingRetryDelay = 4 * time.Second
	// blockingPart is the longest part that engines may prefill while they decode
	// for the longest prompts, whose gap SLO is one second. Longer parts block
	// other requests beyond their gap SLO.
	blockingPart = 900 * time.Millisecond
	// blockingWaitSLOs is how long a prompt with blocking parts waits for idle
	// engines, in latency SLOs. It is half of the abandon timeout of its caller
	// (four latency SLOs), so that the other half is left for the prefill or for a
	// retry.
	blockingWaitSLOs = 2
	// maxBlockedRequests is the mean number of requests at each engine that a blocking
	// part may hold up. Interactive ones still decode at an engine for a second or two
	// after it has changed its pool.
	maxBlockedRequests = 0.3
	// negligibleBacklog is a backlog that adds little to the duration of a part
	// that is long itself.
	negligibleBacklog = 100 * time.Millisecond
	// idleBacklog is the backlog up to which engines have room for requests that
	// will miss their latency SLO in any case.
	idleBacklog = 50 * time.Millisecond
)

// Admit decides whether a request is sent to its placement, waits or is
// refused. It refuses a request whose first event is predicted after its
// abandon timeout. Otherwise it sends interactive requests, and those without a
// latency SLO, at once. Under more long prompts than the engines can prefill in
// time, sending all at once would make all of them late, because they share the
// engines. So a long request that is predicted to meet its latency SLO is sent
// as soon as the backlog leaves room for it; one that will miss it waits for
// idle engines until its abandon timeout. An answer that has begun is never
// refused, because that would break it off.
func Admit(work Work, placement Placement, pool LongPoolLoad) Decision {
	decision := admitNew(work, placement, pool)
	if decision == Refuse && work.Begun {
		return Send
	}
	return decision
}

// admitNew is Admit for a request whose answer has not begun.
func admitNew(work Work, placement Placement, pool LongPoolLoad) Decision {
	remaining := work.AbandonTimeout - work.Waited
	switch {
	case placement.earliestFirstEvent() > remaining:
		return Refuse
	case work.Interactive() || work.LatencySLO <= 0:
		return Send
	case placement.PartPrefill > blockingPart:
		return admitBlocking(work, placement, pool)
	}
	budget := time.Duration(sloShare * float64(work.LatencySLO))
	// An engine prefills its whole backlog in its next pass. A part that is long
	// itself only fits engines with a small backlog.
	backlogged := pool.PrefillBacklog > max(maxLongPass-decodeOnlyPass-placement.PartPrefill, negligibleBacklog)
	inTime := work.Waited+placement.firstEvent() <= budget
	switch {
	case inTime && !backlogged:
		return Send
	case !inTime && pool.PrefillBacklog <= idleBacklog:
		return Send
	default:
		return Wait
	}
}

// admitBlocking decides about a prompt with parts that block decoding beyond the
// gap SLO of other requests. In a burst of long prompts some of the largest are
// served, too: they wait until the engines are almost idle, so that few requests
// are blocked, instead of blocking all of them or being refused.
func admitBlocking(work Work, placement Placement, pool LongPoolLoad) Decision {
	if minPartPrefill(placement, pool.Engines) > work.LatencySLO {
		// Even idle engines cannot prefill it within its latency SLO.
		return Refuse
	}
	idle := placement.PrefillBacklog <= idleBacklog && placement.Requests <= maxBlockedRequests
	switch {
	case idle && placement.PartPrefill <= work.LatencySLO:
		return Send
	case work.Waited > blockingWaitSLOs*work.LatencySLO:
		return Refuse
	default:
		return Wait
	}
}

// minPartPrefill returns the prefill time of each part if the prompt were split
// over as many engines as the service allows.
func minPartPrefill(placement Placement, engines int) time.Duration {
	maxParts := max(1, min(engines-minInteractiveEngines, 1+maxHelpers))
	return placement.PartPrefill * time.Duration(1+len(placement.Helpers)) / time.Duration(maxParts)
}

// RetryAfter returns the delay after which a refused request is more likely to
// be placed.
func RetryAfter(placement Placement, pool LongPoolLoad) time.Duration {
	if placement.PartPrefill > blockingPart {
		return blockingRetryDelay
	}
	return pool.PrefillBacklog + shedRetryDelay
}

// LongPoolLoadOf returns the load on the long-prompt pool: the engines that
// follow the interactive ones in the order of Hash. Blocked engines count only
// if all are blocked.
func LongPoolLoadOf(candidates []Candidate, interactiveEngines int) LongPoolLoad {
	long := longPool(sortedByHash(candidates), interactiveEngines)
	var total Load
	for i := range long {
		total = total.Add(long[i].Load)
	}
	n := max(1, len(long))
	return LongPoolLoad{PrefillBacklog: total.PrefillBacklog / time.Duration(n), Size: len(long), Engines: len(candidates)}
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision
