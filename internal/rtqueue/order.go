package rtqueue

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// capacity is what may start now: free slots and memory, and the classes that
// may use them.
type capacity struct {
	slots       int
	free        rtid.Tokens
	allowShort  bool // requests of the short class
	allowLonger bool // requests of the other classes
	allowLong   bool // requests of the long class, if allowLonger is set as well
}

// selectNext returns the request to start, or nil if none may start.
func (q *Queue) selectNext(now time.Time, slots int, free rtid.Tokens) *entry {
	available := capacity{slots: slots, free: free, allowShort: true, allowLonger: true, allowLong: true}
	for _, aged := range q.agedHeads(now) {
		if available.admits(aged.Class) && q.hasSlot(aged, slots) && q.longPrefillFits(aged) && aged.Memory <= free {
			return aged
		}
		q.reserveFor(aged, &available)
	}
	return q.selectByPriority(available)
}

// agedHeads returns the oldest request of each flow if it has waited for
// AgeLimit, oldest first.
func (q *Queue) agedHeads(now time.Time) []*entry {
	var aged []*entry
	for _, queued := range q.flows {
		if head := queued.head(); now.Sub(head.Arrived) >= AgeLimit {
			aged = append(aged, head)
		}
	}
	slices.SortFunc(aged, func(e, other *entry) int {
		if arrivedBefore(e, other) {
			return -1
		}
		return 1
	})
	return aged
}

// reserveFor removes from the available capacity what an aged request waits for,
// so that younger requests cannot take it.
func (q *Queue) reserveFor(aged *entry, available *capacity) {
	if !q.longPrefillFits(aged) {
		available.allowLong = false
		return
	}
	if !q.hasSlot(aged, available.slots) {
		available.allowLonger = false
		return
	}
	if aged.Memory <= available.free {
		return
	}
	available.allowLonger = false
	// While running requests of other classes use the memory, short ones do not
	// delay the aged request. If only short ones use it, no further ones may
	// start; the running ones end soon.
	if aged.Memory <= available.free+q.runningShortMemory {
		available.allowShort = false
	}
}

// admits reports whether requests of a class may start.
func (c *capacity) admits(class rtid.Class) bool {
	switch class {
	case rtid.ClassShort:
		return c.allowShort
	case rtid.ClassLong:
		return c.allowLonger && c.allowLong
	default:
		return c.allowLonger
	}
}

// selectByPriority returns the request to start, or nil, by class, fair share
// and arrival. Candidates are the oldest requests of all flows, aged or not,
// whose class the available capacity admits.
func (q *Queue) selectByPriority(available capacity) *entry {
	arrivals := q.effectiveArrivals()
	var best *entry
	var bestStart float64
	for key, queued := range q.flows {
		head := queued.head()
		if !available.admits(key.class) || !q.mayStart(head, available.slots, available.free) {
			continue
		}
		virtualStart := max(q.virtualTime, q.virtualFinish[key.organisation])
		if best == nil || precedes(head, best, &arrivals, virtualStart, bestStart) {
			best, bestStart = head, virtualStart
		}
	}
	return best
}

// precedes reports whether e starts before other. It compares the effective
// arrivals of the classes, then the classes, then the virtual start times, at
// which fair queueing would start the requests, then arrival and ID, so that the
// order does not depend on map iteration.
func precedes(e, other *entry, arrivals *[len(arrivalPenalty)]time.Time, virtualStart, otherStart float64) bool {
	arrival, otherArrival := arrivals[e.Class], arrivals[other.Class]
	switch {
	case !arrival.Equal(otherArrival):
		return arrival.Before(otherArrival)
	case e.Class != other.Class:
		return e.Class < other.Class
	case virtualStart != otherStart:
		return virtualStart < otherStart
	default:
		return arrivedBefore(e, other)
	}
}

func arrivedBefore(e, other *entry) bool {
	if !e.Arrived.Equal(other.Arrived) {
		return e.Arrived.Before(other.Arrived)
	}
	return e.ID < other.ID
}

// effectiveArrivals returns the effective arrival of the oldest request of each
// class: its arrival plus the penalty of the class.
func (q *Queue) effectiveArrivals() [len(arrivalPenalty)]time.Time {
	var arrivals [len(arrivalPenalty)]time.Time
	for key, queued := range q.flows {
		arrived := queued.head().Arrived.Add(arrivalPenalty[key.class])
		if arrivals[key.class].IsZero() || arrived.Before(arrivals[key.class]) {
			arrivals[key.class] = arrived
		}
	}
	return arrivals
}

// mayStart reports whether slots, memory and the limit on long prefill let a
// candidate of selectByPriority start. If another longer request runs, a longer
// one must leave ShortLimit tokens of free memory for each reserved slot.
func (q *Queue) mayStart(e *entry, slots int, free rtid.Tokens) bool {
	if e.Memory > free || !q.longPrefillFits(e) || !q.hasSlot(e, slots) {
		return false
	}
	if e.Class == rtid.ClassShort || q.runningLonger() == 0 {
		return true
	}
	return e.Memory <= free-rtid.Tokens(q.shortSlots.reserved(slots))*rtid.ShortLimit
}

// hasSlot reports whether a request may use a slot. Short requests may use any
// slot, longer ones all but the slots reserved for short requests, but always at
// least one.
func (q *Queue) hasSlot(e *entry, slots int) bool {
	return e.Class == rtid.ClassShort || q.runningLonger() == 0 || q.runningLonger() < slots-q.shortSlots.reserved(slots)
}

// runningLonger returns the number of running requests that are not short.
func (q *Queue) runningLonger() int {
	return q.running.count - q.runningByClass[rtid.ClassShort]
}

// longPrefillFits reports whether the limit on prefill of long prompts lets a
// request start.
func (q *Queue) longPrefillFits(e *entry) bool {
	return e.Class != rtid.ClassLong || q.longPrefill == 0 || q.longPrefill+e.Tokens <= q.limits.MaxLongPrefill
}
