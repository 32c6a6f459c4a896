package rtquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// maxCrashes is how many crashes of each kind are kept for a part. It covers
	// the targets of an availability zone, because a process that has dropped a
	// crash would count a later report of it again.
	maxCrashes = 24
	// maxReportedCrashes is how many of these a digest has: those that put the part
	// into quarantine, the last and one more.
	maxReportedCrashes = quarantineRepeats + 2
)

// crash is a crash of a target. Reports of it arrive late by their delay, so that
// the earliest is the most exact.
type crash struct {
	target  rtid.Target
	at      time.Time
	sent    time.Time // when the target got the whole request; zero if unknown, or of a part
	refuted bool      // followed by a success
}

// same reports whether two reports are about one crash.
func (c crash) same(other crash) bool {
	return c.target == other.target && c.at.Sub(other.at).Abs() < sameCrash
}

// simultaneous reports whether two crashes count once.
func (c crash) simultaneous(other crash) bool {
	return c.at.Sub(other.at).Abs() <= simultaneousCrashes
}

// follows reports whether a crash counts apart from an earlier one of the same whole
// request: the loss of an availability zone ends targets that have got it before.
func (c crash) follows(earlier crash) bool {
	return c.at.Sub(earlier.at) > simultaneousCrashes || !c.sent.IsZero() && !c.sent.Before(earlier.at)
}

// suspect is the evidence about a part.
type suspect struct {
	whole     bool      // it stands for a whole request
	live      []crash   // evidence: not followed by a known success, oldest first
	settled   []crash   // refuted or simultaneous with a refuted crash, oldest first
	refutedAt time.Time // when the last crash was refuted; zero for none
	probed    time.Time // last probe of this process; zero for none
	changed   bool      // live or settled changed since the last update

	// Derived from live by update.
	level   int           // number of live crashes of different targets at different times, quarantineCrashes if there is enough evidence
	length  time.Duration // of the quarantine; zero for none
	until   time.Time     // end of the quarantine, after which it takes a probe; zero for none
	liveEnd time.Time     // when live is forgotten
}

// quarantined reports whether the part is in quarantine or awaits a probe.
func (s *suspect) quarantined(now time.Time) bool {
	return s.level >= quarantineCrashes && now.Before(s.liveEnd)
}

// probing reports whether the result of a probe of this process is awaited.
func (s *suspect) probing(now time.Time) bool {
	return !s.probed.IsZero() && now.Sub(s.probed) < probeTimeout
}

// latest returns the time of the last change of the evidence.
func (s *suspect) latest() time.Time {
	latest := s.refutedAt
	if n := len(s.live); n > 0 && s.live[n-1].at.After(latest) {
		latest = s.live[n-1].at
	}
	return latest
}

// add adds a crash or, if it is known, keeps its earlier time.
func (s *suspect) add(c crash) {
	for _, known := range [][]crash{s.live, s.settled} {
		if i := slices.IndexFunc(known, c.same); i >= 0 {
			if c.at.Before(known[i].at) {
				known[i].at, s.changed = c.at, true
			}
			if c.sent.After(known[i].sent) {
				known[i].sent, s.changed = c.sent, true
			}
			if c.refuted && !known[i].refuted {
				known[i].refuted, s.changed = true, true
			}
			return
		}
	}
	s.live, s.changed = append(s.live, c), true
}

// refute adds a crash as a refuted one. The refutation happened at a time.
func (s *suspect) refute(c crash, at time.Time) {
	refutes := func(other crash) bool { return c.same(other) || c.simultaneous(other) }
	// Known refutations that return with the delay of an exchange must not prolong
	// the time for which they are sent.
	if (len(s.settled) == 0 || slices.ContainsFunc(s.live, refutes)) && at.After(s.refutedAt) {
		s.refutedAt = at
	}
	c.refuted = true
	s.add(c)
}

// refuteUntil refutes all live crashes up to a success. The refutation happens
// at a time.
func (s *suspect) refuteUntil(success, at time.Time) {
	for _, c := range slices.Clone(s.live) {
		if !c.at.After(success) {
			s.refute(c, at)
		}
	}
}

// update separates the live crashes from the settled ones, enforces maxCrashes and
// computes what follows from the live ones. It must follow each change.
func (s *suspect) update() {
	if !s.changed {
		return
	}
	s.changed = false
	crashes := sorted(slices.Concat(s.live, s.settled))
	s.live, s.settled = nil, nil
	for _, c := range crashes {
		refutes := func(other crash) bool { return other.refuted && other.simultaneous(c) }
		if slices.ContainsFunc(crashes, refutes) {
			s.settled = append(s.settled, c)
		} else {
			s.live = append(s.live, c)
		}
	}
	chain := s.evidence(s.live)
	s.live, s.settled = trimLive(s.live, chain), trimSettled(s.settled)
	s.level, s.length, s.until, s.liveEnd = min(len(chain), quarantineCrashes), 0, time.Time{}, time.Time{}
	if len(s.live) == 0 {
		return
	}
	first, last := s.live[0].at, s.live[len(s.live)-1].at
	s.liveEnd = last.Add(suspicionTime)
	if s.level >= quarantineCrashes {
		s.length = min(max(quarantineFactor*last.Sub(first), minQuarantine), maxQuarantine)
		s.until = last.Add(s.length)
		s.liveEnd = s.until.Add(s.length)
	}
}

// forget drops what is too old.
func (s *suspect) forget(now time.Time) {
	if len(s.live) > 0 && !now.Before(s.liveEnd) {
		s.live, s.changed = nil, true
		s.update()
	}
	if now.Sub(s.refutedAt) >= refutationTime {
		s.settled, s.refutedAt = nil, time.Time{}
	}
}

// sorted sorts crashes by time.
func sorted(crashes []crash) []crash {
	slices.SortFunc(crashes, func(a, b crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target))
	})
	return crashes
}

// evidence returns those of the crashes that put the suspect into quarantine, or those
// that count so far: then they are fewer than quarantineCrashes.
func (s *suspect) evidence(crashes []crash) []crash {
	if s.whole {
		return wholeEvidence(crashes)
	}
	chain := longestChain(crashes, nil)
	if len(chain) >= quarantineCrashes {
		return chain
	}
	apart := func(c, earlier crash) bool { return c.at.Sub(earlier.at) > simultaneousCrashes }
	if repeats := separateCrashes(crashes, quarantineRepeats, apart); len(repeats) >= quarantineRepeats {
		return repeats
	}
	return chain
}

// wholeEvidence is the evidence against a whole request. Crashes of one target count, too,
// because its service may have few. Crashes of several copies at the same time count each
// once one has followed them: no loss of an availability zone explains both.
func wholeEvidence(crashes []crash) []crash {
	separate := separateCrashes(crashes, quarantineCrashes, crash.follows)
	for _, c := range crashes {
		if n := len(separate); n < 2 || n == quarantineCrashes {
			break
		}
		if !slices.Contains(separate, c) {
			separate = append(separate, c)
		}
	}
	return sorted(separate)
}

// separateCrashes returns the first of the sorted crashes, up to a limit, of which each
// counts apart from the one before it.
func separateCrashes(crashes []crash, limit int, follows func(c, earlier crash) bool) []crash {
	var separate []crash
	for _, c := range crashes {
		if n := len(separate); n == limit || n > 0 && !follows(c, separate[n-1]) {
			continue
		}
		separate = append(separate, c)
	}
	return separate
}

// longestChain extends a chain of crashes by those of other targets that are not
// simultaneous, up to quarantineCrashes. Of the longest ones it returns the first.
func longestChain(crashes, chain []crash) []crash {
	longest := chain
	for i, c := range crashes {
		if len(longest) >= quarantineCrashes {
			break
		}
		if n := len(chain); n > 0 && c.at.Sub(chain[n-1].at) <= simultaneousCrashes {
			continue
		}
		if slices.ContainsFunc(chain, func(other crash) bool { return other.target == c.target }) {
			continue
		}
		if extended := longestChain(crashes[i+1:], append(slices.Clip(chain), c)); len(extended) > len(longest) {
			longest = extended
		}
	}
	return longest
}

// trimLive returns at most maxCrashes of the sorted crashes, with the chain, the first
// and the last. Of crashes at the same time it keeps the earliest. A crash that
// was dropped and returns from a peer seems later by the delay of the exchange: if
// it preferred later crashes, processes would keep dropping and sending the same
// ones, and these would move away from their true time.
func trimLive(crashes, chain []crash) []crash {
	for len(crashes) > maxCrashes {
		i := len(crashes) - 1
		for i > 0 && (slices.Contains(chain, crashes[i]) || !crashes[i].simultaneous(crashes[i-1])) {
			i--
		}
		if i == 0 {
			// None are simultaneous: the last one decides about the end of the quarantine.
			i = len(crashes) - 2
			for slices.Contains(chain, crashes[i]) {
				i--
			}
		}
		crashes = slices.Delete(crashes, i, i+1)
	}
	return crashes
}

// trimSettled returns at most maxCrashes of the sorted crashes. It drops those that
// are not refuted themselves first, then the oldest, because peers know these
// already, and of crashes at the same time the latest.
func trimSettled(crashes []crash) []crash {
	if len(crashes) > maxCrashes {
		crashes = slices.DeleteFunc(crashes, func(c crash) bool { return !c.refuted })
	}
	for len(crashes) > maxCrashes {
		i := 0
		for i+1 < len(crashes) && crashes[i+1].simultaneous(crashes[0]) {
			i++
		}
		crashes = slices.Delete(crashes, i, i+1)
	}
	return crashes
}

// selectReported returns at most maxReportedCrashes of the sorted crashes: the
// chain, the first and the last, and others that take turns.
func selectReported(crashes, chain []crash, rotation int) []crash {
	if len(crashes) <= maxReportedCrashes {
		return crashes
	}
	selected := append(slices.Clone(chain), crashes[0], crashes[len(crashes)-1])
	others := slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool { return slices.Contains(selected, c) })
	selected = slices.Compact(sorted(selected))
	places := min(maxReportedCrashes-len(selected), len(others))
	for i := range places {
		selected = append(selected, others[(rotation*places+i)%len(others)])
	}
	return selected
}
