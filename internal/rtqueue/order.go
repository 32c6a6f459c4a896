package rtqueue

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// room is what may start at one moment.
type room struct {
	slots  int
	free   rtid.Tokens
	short  bool // short requests may start
	longer bool // other requests may start
	long   bool // long prompts may start, if longer is set
}

// choose returns the request to start, or nil if none may.
func (q *Queue) choose(now time.Time, slots int, free rtid.Tokens) *entry {
	left := room{slots: slots, free: free, short: true, longer: true, long: true}
	for _, waiting := range q.agedHeads(now) {
		if left.admits(waiting.Class) && q.slotFor(waiting, slots) && q.longFits(waiting) && waiting.Memory <= free {
			return waiting
		}
		q.keepFor(waiting, &left)
	}
	return q.chooseYoung(left)
}

// agedHeads returns the oldest request of each flow if it has waited for
// AgeLimit, oldest first.
func (q *Queue) agedHeads(now time.Time) []*entry {
	var aged []*entry
	for _, waiting := range q.flows {
		if head := waiting.head(); now.Sub(head.Arrived) >= AgeLimit {
			aged = append(aged, head)
		}
	}
	slices.SortFunc(aged, func(e, other *entry) int {
		if older(e, other) {
			return -1
		}
		return 1
	})
	return aged
}

// keepFor takes out of the room what an aged request waits for.
func (q *Queue) keepFor(aged *entry, left *room) {
	if !q.longFits(aged) {
		left.long = false
		return
	}
	if !q.slotFor(aged, left.slots) {
		left.longer = false
		return
	}
	if aged.Memory <= left.free {
		return
	}
	left.longer = false
	// As long as other running requests hold the memory, short ones do not
	// delay the aged one. They end soon when they alone are in its way.
	if aged.Memory <= left.free+q.shortKV {
		left.short = false
	}
}

// admits reports whether requests of a class may start.
func (r *room) admits(class rtid.Class) bool {
	switch class {
	case rtid.ClassShort:
		return r.short
	case rtid.ClassLong:
		return r.longer && r.long
	default:
		return r.longer
	}
}

// chooseYoung returns the request to start among those that have not aged, or
// whose class has room again.
func (q *Queue) chooseYoung(left room) *entry {
	due := q.classDue()
	var best *entry
	var bestFinish float64
	for key, waiting := range q.flows {
		head := waiting.head()
		if !left.admits(key.class) || !q.fits(head, left.slots, left.free) {
			continue
		}
		finish := max(q.virtual, q.finish[key.organisation])
		if best == nil || before(head, best, &due, finish, bestFinish) {
			best, bestFinish = head, finish
		}
	}
	return best
}

// before orders candidates: class by its oldest request and head start, then
// organisation by fair share, then arrival and id, so that the order does not
// depend on the order of a map.
func before(e, other *entry, due *[len(headStart)]time.Time, finish, otherFinish float64) bool {
	mine, others := due[e.Class], due[other.Class]
	switch {
	case !mine.Equal(others):
		return mine.Before(others)
	case e.Class != other.Class:
		return e.Class < other.Class
	case finish != otherFinish:
		return finish < otherFinish
	default:
		return older(e, other)
	}
}

func older(e, other *entry) bool {
	if !e.Arrived.Equal(other.Arrived) {
		return e.Arrived.Before(other.Arrived)
	}
	return e.ID < other.ID
}

// classDue returns when the oldest request of each class counts as arrived.
func (q *Queue) classDue() [len(headStart)]time.Time {
	var due [len(headStart)]time.Time
	for key, waiting := range q.flows {
		arrived := waiting.head().Arrived.Add(headStart[key.class])
		if due[key.class].IsZero() || arrived.Before(due[key.class]) {
			due[key.class] = arrived
		}
	}
	return due
}

// fits reports whether a request that has not aged may start.
func (q *Queue) fits(e *entry, slots int, free rtid.Tokens) bool {
	if e.Memory > free || !q.longFits(e) || !q.slotFor(e, slots) {
		return false
	}
	if e.Class == rtid.ClassShort || q.longer() == 0 {
		return true
	}
	return e.Memory <= free-rtid.Tokens(q.share.slots(slots))*rtid.ShortLimit
}

// slotFor reports whether a request may have a slot: a short one any, another
// one all but those kept for short requests, and at least one.
func (q *Queue) slotFor(e *entry, slots int) bool {
	return e.Class == rtid.ClassShort || q.longer() == 0 || q.longer() < slots-q.share.slots(slots)
}

// longer returns the number of running requests that are not short.
func (q *Queue) longer() int {
	return q.running.count - q.classes[rtid.ClassShort]
}

// longFits reports whether the limit on prefill of long prompts lets a
// request start.
func (q *Queue) longFits(e *entry) bool {
	return e.Class != rtid.ClassLong || q.long == 0 || q.long+e.Tokens <= q.limits.MaxLongPrefill
}
