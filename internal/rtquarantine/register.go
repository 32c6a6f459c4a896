// Package rtquarantine decides which parts of prompts, and which requests as a whole, are
// kept away from targets because targets crash on them. It reads no clock and uses no
// sockets: times are parameters.
package rtquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// quarantineCrashes is the number of crashes of different targets that put a
	// part into quarantine. The platform counts from the fifth crash, so that one
	// or two more may happen while processes exchange the evidence. It is also the
	// number of crashes that put a whole request into quarantine, of which the
	// platform counts from the third.
	quarantineCrashes = 3
	// quarantineRepeats is the number of crashes at different times that put a part
	// into quarantine whatever targets they are of, because a service may have too
	// few targets for quarantineCrashes. It is the crash from which the platform
	// counts.
	quarantineRepeats = 5
	// simultaneousCrashes is the time within which crashes count once, because the
	// loss of an availability zone takes many targets with it. It covers the
	// detection of a loss and the delay of a digest.
	simultaneousCrashes = 250 * time.Millisecond
	// sameCrash is the time within which reports of a crash of one target are about
	// the same crash. A target takes longer to come back.
	sameCrash = time.Second
	// soundWindow is how long a success counts for Unproven. Targets are updated
	// and parts come out of use, so that it must end.
	soundWindow = 30 * time.Second
	// quarantineFactor is the duration of a quarantine as a multiple of the time
	// from its first to its last crash. Each failed probe then triples that time,
	// and the number of probes grows with its logarithm.
	quarantineFactor = 2
	// minQuarantine and maxQuarantine limit the duration of a quarantine. The first
	// covers the return of the crashed targets, the second lets a repaired
	// deployment serve the part again within half an hour.
	minQuarantine = time.Minute
	maxQuarantine = 30 * time.Minute
	// probeTimeout is the time after which a probe without a result, for example
	// because its caller left, may be repeated. It is longer than the usual time
	// limits of requests.
	probeTimeout = 30 * time.Second
	// suspicionTime is how long evidence that is too little for a quarantine is
	// kept after the last crash.
	suspicionTime = time.Minute
	// refutationTime is how long refuted crashes are kept. It is many exchanges.
	// Later reports of these crashes are refuted by the next success.
	refutationTime = 20 * time.Second
	// exchangeMargin is the time before evidence is forgotten at which it is no
	// longer sent to peers. Otherwise processes that forget it at slightly different
	// times would keep teaching it to each other.
	exchangeMargin = 10 * time.Second
	// maxSuspects is the number of parts whose evidence is kept, and maxSoundParts
	// the number of sound parts in each of two generations. They bound the memory
	// to about 2 MB and hold soundWindow at 100 fresh parts a second.
	maxSuspects   = 1024
	maxSoundParts = 4096
)

// Register holds the evidence of crashes against parts of prompts and the parts
// that are known to be sound. The zero value is empty. It is not safe for
// concurrent use.
//
// Callers pass all parts of a prompt except the last, which belongs to one
// request, and the part that stands for the whole request. Memory is bounded.
// Suspects that stand beside the fewest crashes are dropped first, of these the ones
// whose last crash is the oldest, so that fresh parts never displace a part in
// quarantine. Of the sound parts the oldest are dropped first.
type Register struct {
	suspects map[rtid.Part]*suspect // at most maxSuspects
	wholes   int                    // of these that stand for whole requests
	sound    soundParts
	rotation int // number of calls of Observations
}

// RecordSound records that the answer for a prompt with these parts went past
// its first event. It refutes all earlier crashes as evidence against the parts
// and returns those whose quarantine has ended by that.
func (r *Register) RecordSound(parts []rtid.Part, now time.Time) []rtid.Part {
	var lifted []rtid.Part
	for _, part := range parts {
		s := r.suspects[part]
		if part.IsWholeRequest() && s == nil {
			continue // most requests never come again
		}
		r.sound.record(part, now)
		if s == nil || len(s.live) == 0 {
			continue
		}
		if s.quarantined(now) {
			lifted = append(lifted, part)
		}
		s.refuteUntil(now, now)
		s.update()
	}
	return lifted
}

// SuspectsRequests reports whether there is evidence against any whole request.
// Otherwise the other methods need no parts that stand for whole requests.
func (r *Register) SuspectsRequests() bool { return r.wholes > 0 }

// Unproven returns the parts that may be the cause of a crash: those without a
// success within soundWindow, and those that stand beside two or more crashes
// since their last success. A request that was at a target when it crashed must
// not be repeated if it has any of these. Whole requests need no success, because
// most of them come once.
func (r *Register) Unproven(parts []rtid.Part, now time.Time) []rtid.Part {
	var unproven []rtid.Part
	for _, part := range parts {
		s := r.suspects[part]
		suspected := s != nil && s.level > 1 && now.Before(s.liveEnd)
		if suspected || !part.IsWholeRequest() && now.Sub(r.sound.last(part)) > soundWindow {
			unproven = append(unproven, part)
		}
	}
	return unproven
}

// RecordCrash records one crash of a target and the parts of one request there, which
// was sent at a time and whose answer had not gone past its first event. It returns the
// parts that are newly in quarantine.
//
// The crash speaks against the whole request. It also speaks against the parts without a
// success within soundWindow. If all have one, it speaks against the part whose success
// is the oldest, because it may have become deadly since then. A success after the crash
// refutes it, here or at any peer.
func (r *Register) RecordCrash(target rtid.Target, parts []rtid.Part, sent, now time.Time) []rtid.Part {
	var quarantined []rtid.Part
	for _, part := range r.likeliest(parts, now) {
		s := r.suspect(part, now)
		before := r.keptAway(s, now)
		recorded := crash{target: target, at: now}
		if s.whole {
			recorded.sent = sent
		}
		s.add(recorded)
		s.update()
		if !before && r.keptAway(s, now) {
			quarantined = append(quarantined, part)
		}
	}
	r.evict(now)
	return quarantined
}

// likeliest returns the parts of a request that a crash speaks against.
func (r *Register) likeliest(parts []rtid.Part, now time.Time) []rtid.Part {
	var whole, unproven, oldest []rtid.Part
	for _, part := range parts {
		if part.IsWholeRequest() {
			whole = append(whole, part)
			continue
		}
		last := r.sound.last(part)
		if now.Sub(last) > soundWindow {
			unproven = append(unproven, part)
		}
		if len(oldest) == 0 || last.Before(r.sound.last(oldest[0])) {
			oldest = []rtid.Part{part}
		}
	}
	if len(unproven) > 0 {
		return append(whole, unproven...)
	}
	return append(whole, oldest...)
}

// suspect returns the evidence about a part that is not too old and creates it if there is none.
func (r *Register) suspect(part rtid.Part, now time.Time) *suspect {
	s := r.suspects[part]
	if s == nil {
		if r.suspects == nil {
			r.suspects = make(map[rtid.Part]*suspect)
		}
		s = &suspect{whole: part.IsWholeRequest()}
		r.suspects[clonePart(part)] = s
		if s.whole {
			r.wholes++
		}
	}
	s.forget(now)
	return s
}

// evict forgets what is too old and enforces maxSuspects.
func (r *Register) evict(now time.Time) {
	for part, s := range r.suspects {
		if s.forget(now); len(s.live) == 0 && len(s.settled) == 0 {
			r.remove(part)
		}
	}
	if len(r.suspects) <= maxSuspects {
		return
	}
	for _, part := range r.byRelevance()[maxSuspects:] {
		r.remove(part)
	}
}

// remove forgets the evidence about a part.
func (r *Register) remove(part rtid.Part) {
	if r.suspects[part].whole {
		r.wholes--
	}
	delete(r.suspects, part)
}

// byRelevance returns the suspects in the order of their evidence: more crashes
// first, then later ones.
func (r *Register) byRelevance() []rtid.Part {
	return slices.SortedFunc(maps.Keys(r.suspects), func(a, b rtid.Part) int {
		x, y := r.suspects[a], r.suspects[b]
		return cmp.Or(cmp.Compare(y.level, x.level), y.latest().Compare(x.latest()), cmp.Compare(a, b))
	})
}

// clonePart copies a part so that the table does not keep the whole header from
// which the part was cut.
func clonePart(part rtid.Part) rtid.Part { return rtid.Part(strings.Clone(string(part))) }
