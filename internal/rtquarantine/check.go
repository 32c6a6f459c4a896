package rtquarantine

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Decision is what to do with a request because of its parts.
type Decision int

// The decisions about a request.
const (
	Admit  Decision = iota
	Reject          // a part is in quarantine
	Probe           // this one request shows whether the part still crashes targets
)

// Verdict is the decision about a request.
type Verdict struct {
	Decision Decision
	Part     rtid.Part // the part in quarantine; empty if admitted
	Until    time.Time // end of its quarantine; zero if admitted
}

// Check decides about a request with these parts. It admits a part whose
// quarantine is over only as a probe: one request of the process that is
// designated for that part. The caller of a probe reports its result by
// RecordSound or RecordCrash; without a result, the next probe follows after
// probeTimeout. designated reports whether this process is the one of all that
// may probe a part; nil means that it probes none.
func (r *Register) Check(parts []rtid.Part, now time.Time, designated func(rtid.Part) bool) Verdict {
	var verdict Verdict
	if len(r.suspects) == 0 {
		return verdict
	}
	for _, part := range parts {
		s := r.suspects[part]
		if s == nil || !r.keptAway(s, now) {
			continue
		}
		if now.Before(s.until) || s.probing(now) || designated == nil || !designated(part) {
			return Verdict{Decision: Reject, Part: part, Until: s.until}
		}
		if verdict.Decision == Admit {
			verdict = Verdict{Decision: Probe, Part: part, Until: s.until}
		}
	}
	if verdict.Decision != Probe {
		return verdict
	}
	for _, part := range parts {
		if s := r.suspects[part]; s != nil && r.keptAway(s, now) {
			s.probed = now
		}
	}
	return verdict
}

// keptAway reports whether a suspect is in quarantine, or awaits a probe, and no others
// explain its crashes.
func (r *Register) keptAway(s *suspect, now time.Time) bool {
	return s.quarantined(now) && !r.explained(s, now)
}

// explained reports whether too few crashes speak against a suspect alone, because whole
// requests in quarantine explain the others. They explain those of their parts, which
// sound requests may have, too. They also explain those of requests with fewer crashes: a
// sound one that is sent again beside a deadly one is at several of its crashes.
func (r *Register) explained(s *suspect, now time.Time) bool {
	alone := s.live
	for _, other := range r.suspects {
		if !other.whole || s.whole && len(other.live) <= len(s.live) || !other.quarantined(now) {
			continue
		}
		alone = slices.DeleteFunc(slices.Clone(alone), func(c crash) bool { return slices.ContainsFunc(other.live, c.same) })
	}
	return len(alone) < len(s.live) && len(s.evidence(alone)) < quarantineCrashes
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision
