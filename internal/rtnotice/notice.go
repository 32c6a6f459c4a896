// Package rtnotice records what targets announce about themselves in their
// responses: that they are leaving, and that they want no requests from this
// process for a while. It decides from the announcements and the time alone.
package rtnotice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// maxTargets is how many targets are recorded at most for each kind of notice.
// Above it the oldest record is dropped.
const maxTargets = 4096

// Source is how a process has learned that a target is leaving.
type Source int

// The sources of leaves.
const (
	FromTarget Source = iota // target
	FromPeer                 // peer
)

// Leave is the notice that one start of a target is leaving.
type Leave struct {
	Target rtid.TargetIncarnation
	Heard  time.Time // when a process first heard it from the target
	Source Source
}

// Leaves holds the starts of targets that are leaving. The zero value is empty.
//
// A start that leaves never takes it back, so records are only added, in any order
// and any number of times, until their target is forgotten.
type Leaves struct {
	leaves map[rtid.TargetIncarnation]Leave
}

// Record adds a leave, and reports whether it is new.
func (l *Leaves) Record(leave Leave) bool {
	if known, ok := l.leaves[leave.Target]; ok {
		if leave.Heard.Before(known.Heard) {
			known.Heard = leave.Heard
			l.leaves[leave.Target] = known
		}
		return false
	}
	if l.leaves == nil {
		l.leaves = make(map[rtid.TargetIncarnation]Leave)
	}
	if len(l.leaves) >= maxTargets {
		list := l.List()
		delete(l.leaves, list[len(list)-1].Target)
	}
	l.leaves[leave.Target] = leave
	return true
}

// Leaving reports whether a start of a target is leaving.
func (l *Leaves) Leaving(target rtid.TargetIncarnation) bool {
	_, ok := l.leaves[target]
	return ok
}

// List returns the leaves, the newest first.
func (l *Leaves) List() []Leave {
	return slices.SortedFunc(maps.Values(l.leaves), func(a, b Leave) int {
		return cmp.Or(b.Heard.Compare(a.Heard), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.Born, b.Target.Born))
	})
}

// Len returns the number of leaves.
func (l *Leaves) Len() int { return len(l.leaves) }

// Forget drops the leaves for which gone is true.
func (l *Leaves) Forget(gone func(Leave) bool) {
	maps.DeleteFunc(l.leaves, func(_ rtid.TargetIncarnation, leave Leave) bool { return gone(leave) })
}

// MaxBackoff is the longest time for which a target gets no requests at its own
// wish. A longer wish counts as this one, so that a malformed response does not
// remove a target for good.
const MaxBackoff = time.Hour

// Backoff is the wish of a target to get no requests from this process.
type Backoff struct {
	Target rtid.TargetIncarnation
	Until  time.Time
}

// Backoffs holds until when targets want no requests from this process. The zero
// value is empty.
//
// Each wish holds to its end: a target counts the requests that reach it within any
// of them. So a shorter wish, and one that was overtaken by a later one, never
// brings the end forward.
type Backoffs struct {
	ends map[rtid.TargetIncarnation]time.Time
}

// Record adds the wish of a target, in a response that was received at now, to get
// nothing for a time. It reports whether that moves the end.
func (b *Backoffs) Record(target rtid.TargetIncarnation, wish time.Duration, now time.Time) bool {
	end := now.Add(min(wish, MaxBackoff))
	if wish <= 0 || !end.After(b.ends[target]) {
		return false
	}
	if b.ends == nil {
		b.ends = make(map[rtid.TargetIncarnation]time.Time)
	}
	if _, known := b.ends[target]; !known && len(b.ends) >= maxTargets {
		b.Forget(now)
		if len(b.ends) >= maxTargets {
			delete(b.ends, b.list()[0].Target)
		}
	}
	b.ends[target] = end
	return true
}

// Remaining returns how long a target still wants no requests; 0 for a target that
// takes them.
func (b *Backoffs) Remaining(target rtid.TargetIncarnation, now time.Time) time.Duration {
	return max(0, b.ends[target].Sub(now))
}

// Forget drops the wishes that have ended.
func (b *Backoffs) Forget(now time.Time) {
	maps.DeleteFunc(b.ends, func(_ rtid.TargetIncarnation, end time.Time) bool { return !end.After(now) })
}

// List returns the wishes that have not ended, the first to end first.
func (b *Backoffs) List(now time.Time) []Backoff {
	return slices.DeleteFunc(b.list(), func(backoff Backoff) bool { return !backoff.Until.After(now) })
}

// list returns all wishes in the order of List.
func (b *Backoffs) list() []Backoff {
	var list []Backoff
	for target, end := range b.ends {
		list = append(list, Backoff{Target: target, Until: end})
	}
	slices.SortFunc(list, func(a, b Backoff) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.Born, b.Target.Born))
	})
	return list
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Source -linecomment
