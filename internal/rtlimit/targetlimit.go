package rtlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// TargetWindow is the window in which the platform counts the requests that
	// reach a target with a rate limit. It allows 1.5 times the limit and five
	// requests more.
	TargetWindow = 4 * time.Second
	// senderAllowance is the number of requests in a window, beyond the limit
	// itself, that the senders of a target share, apart from one for each request
	// per second. With it, the bursts of all senders leave a fifth of the window
	// for a sender that others do not know.
	senderAllowance = 4
	// MinRate is the lowest limit that is followed. A target that got no request
	// could not lift its limit.
	MinRate Rate = 0.1
	// longRequestShare is the part of the interval between two places for which a
	// place is kept for long requests.
	longRequestShare = 0.25
	// maxTargetLimits is how many targets are recorded at most.
	maxTargetLimits = 1024
	// liftedRetention is how long it is known that a target has no limit any more,
	// so that an older report of a peer does not restore it.
	liftedRetention = 10 * time.Second
)

// Never is the wait of a process that is not a sender of a target.
const Never = time.Duration(math.MaxInt64)

// Share is the place of a process among those that may send to a target.
type Share struct {
	Rank      int // from 0, in an order that all processes share
	Processes int // at least 1
	// Phase is how much the process knows of its place, and PhaseLeft is the time until
	// the next phase; 0 if there is none. Only parts of cold rates depend on it.
	Phase     Phase
	PhaseLeft time.Duration

	position float64 // hash of limit and process, in [0, 1)
	alone    bool    // no process is known that knows its rank
}

// Part returns the part of a limit of whole requests for the process. The parts of
// all processes add up to the limit.
func (s Share) Part(limit int) int {
	part := limit / max(1, s.Processes)
	if s.Rank < limit%max(1, s.Processes) {
		part++
	}
	return part
}

// senders returns how many processes send to a target at a limit. Equal parts of
// a low limit for many processes would add up to more than the limit, because
// each process sends whole requests.
func (r Rate) senders(processes int) int {
	return max(1, min(processes, senderAllowance+int(min(r, 1e6))))
}

// Sender reports whether the process with a share sends to a target at a limit.
func (r Rate) Sender(share Share) bool { return share.Rank < r.senders(share.Processes) }

// Statement is what a target has said about its rate limit.
type Statement struct {
	Target rtid.TargetIncarnation
	Rate   Rate // for all processes together; Unlimited for no limit
	// The target made the statement after Sent and before Heard: between the
	// send of a request and the receipt of the response.
	Sent  time.Time
	Heard time.Time
}

// Source is how a process has learned of a rate limit.
type Source int

// The sources of rate limits.
const (
	FromTarget Source = iota // target
	FromPeer                 // peer
)

// supersedes reports whether s replaces an earlier statement of the same target.
// Responses may overtake each other, so a higher limit must be known to be the
// later one; of two that may have been made in either order the lower one holds.
func (s Statement) supersedes(earlier Statement) bool {
	switch {
	case s.Sent.After(earlier.Heard):
		return true
	case s.Heard.Before(earlier.Sent):
		return false
	default:
		return s.Rate <= earlier.Rate
	}
}

// TargetLimits holds the rate limits that targets name, and the part of them that
// this process has used. The zero value is empty.
type TargetLimits struct {
	limits map[rtid.TargetIncarnation]*targetLimit
}

// targetLimit is the last statement of a target, with a token bucket for the part
// of this process.
type targetLimit struct {
	Statement
	source  Source
	own     Statement // last one that the target made to this process; zero for none
	tokens  float64
	updated time.Time
	freeAt  time.Time // when the bucket got its last whole token
}

// Record records a statement. It returns the limit before, and whether it has
// changed.
func (l *TargetLimits) Record(s Statement, source Source, now time.Time) (Rate, bool) {
	current := l.limits[s.Target]
	if current == nil {
		if s.Rate == Unlimited {
			return Unlimited, false
		}
		l.evict(now)
		if l.limits == nil {
			l.limits = make(map[rtid.TargetIncarnation]*targetLimit)
		}
		// The bucket is empty: requests that were sent without a limit still count
		// against it.
		current = &targetLimit{Statement: s, source: source, updated: now}
		if source == FromTarget {
			current.own = s
		}
		l.limits[s.Target] = current
		return Unlimited, true
	}
	if !s.supersedes(current.Statement) {
		return current.Rate, false
	}
	if source == FromTarget {
		current.own = s
	}
	before := current.Rate
	if before == s.Rate {
		// A report of a peer may be older in one respect.
		s.Sent, s.Heard = latest(s.Sent, current.Sent), latest(s.Heard, current.Heard)
	} else {
		current.source = source
	}
	if before == Unlimited && s.Rate != Unlimited {
		current.tokens, current.updated, current.freeAt = 0, now, time.Time{}
	}
	current.Statement = s
	return before, before != s.Rate
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evict makes room for one more target: it drops statements that targets have no
// limit any more when they are old, and if there are too many targets the one that
// was heard longest ago.
func (l *TargetLimits) evict(now time.Time) {
	maps.DeleteFunc(l.limits, func(_ rtid.TargetIncarnation, limit *targetLimit) bool {
		return limit.Rate == Unlimited && now.Sub(limit.Heard) > liftedRetention
	})
	if len(l.limits) < maxTargetLimits {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(l.limits)), func(a, b *targetLimit) int { return a.Heard.Compare(b.Heard) })
	delete(l.limits, oldest.Target)
}

// Forget drops the targets for which gone is true.
func (l *TargetLimits) Forget(gone func(Statement) bool) {
	maps.DeleteFunc(l.limits, func(_ rtid.TargetIncarnation, limit *targetLimit) bool { return gone(limit.Statement) })
}

// Limited reports whether a target has a limit.
func (l *TargetLimits) Limited(target rtid.TargetIncarnation) bool {
	limit := l.limits[target]
	return limit != nil && limit.Rate != Unlimited
}

// Wait returns how long this process must not send to a target: 0 if it may send
// now, and Never if it is not one of its senders. The sends are those of this
// process to the target within TargetWindow, including those made before the limit
// was known. Short requests leave each place to long ones for a while.
func (l *TargetLimits) Wait(target rtid.TargetIncarnation, share Share, short bool, sends *Window, now time.Time) time.Duration {
	limit := l.limits[target]
	if limit == nil || limit.Rate == Unlimited {
		return 0
	}
	if !limit.Rate.Sender(share) {
		return Never
	}
	rate, burst := limit.ownPart(share.Processes)
	limit.refill(rate, burst, now)
	wait := time.Duration(0)
	const almostOne = 1 - 1e-9 // rounding must not delay a whole token
	if limit.tokens < almostOne {
		wait = seconds((1 - limit.tokens) / rate)
	}
	if short {
		wait = max(wait, limit.freeAt.Add(seconds(longRequestShare/rate)).Sub(now))
	}
	return max(wait, sends.waitForRoom(now, max(1, int(rate*TargetWindow.Seconds()+burst))))
}

// Take records a send to a target.
func (l *TargetLimits) Take(target rtid.TargetIncarnation, share Share, now time.Time) {
	limit := l.limits[target]
	if limit == nil || limit.Rate == Unlimited {
		return
	}
	rate, burst := limit.ownPart(share.Processes)
	limit.refill(rate, burst, now)
	limit.tokens = max(0, limit.tokens-1)
	limit.freeAt = now
	if limit.tokens < 1 {
		limit.freeAt = now.Add(seconds((1 - limit.tokens) / rate))
	}
}

// ownPart returns the part of a limit for one of its senders: the rate at which it
// may send, and how many requests it may send at once. All senders together send at
// most the limit and 4 + the limit requests in a window.
func (l *targetLimit) ownPart(processes int) (rate, burst float64) {
	senders := float64(l.Rate.senders(processes))
	limit := float64(max(l.Rate, MinRate))
	return limit / senders, max(1, (senderAllowance+limit)/senders)
}

// refill adds the tokens of the time since the last call.
func (l *targetLimit) refill(rate, burst float64, now time.Time) {
	if elapsed := now.Sub(l.updated).Seconds(); elapsed > 0 {
		l.tokens += elapsed * rate
		l.updated = now
	}
	l.tokens = min(l.tokens, burst)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TargetLimit is a limit with its origin, for operators.
type TargetLimit struct {
	Statement
	Source Source
}

// Limits returns the limits in force, in the order of the targets.
func (l *TargetLimits) Limits() []TargetLimit {
	var limits []TargetLimit
	for _, limit := range l.limits {
		if limit.Rate != Unlimited {
			limits = append(limits, TargetLimit{Statement: limit.Statement, Source: limit.source})
		}
	}
	slices.SortFunc(limits, func(a, b TargetLimit) int {
		return cmp.Or(cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.Born, b.Target.Born))
	})
	return limits
}

// Statements returns what peers should know, the newest first: the limits in force
// that targets have named to this process, and for a while those that they have
// lifted. What peers have reported is left out: its age would grow less exact with
// each process that passes it on.
func (l *TargetLimits) Statements(now time.Time) []Statement {
	var statements []Statement
	for _, limit := range l.limits {
		known := !limit.own.Heard.IsZero() && limit.own.Rate == limit.Rate
		if known && (limit.Rate != Unlimited || now.Sub(limit.own.Heard) <= liftedRetention) {
			statements = append(statements, limit.own)
		}
	}
	slices.SortFunc(statements, func(a, b Statement) int {
		return cmp.Or(b.Heard.Compare(a.Heard), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return statements
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Source -linecomment
