package rtquarantine

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Suspect is the evidence about a part as shown to operators.
type Suspect struct {
	Part        rtid.Part
	Crashes     int           // kept crashes that are not refuted
	First, Last time.Time     // of these crashes; zero for none
	Targets     []rtid.Target // of these crashes, sorted
	Quarantined bool
	Until       time.Time // end of the quarantine, after which it takes a probe; zero for none
	Refuted     int       // kept crashes that a success has refuted, or one at the same time
}

// Dump returns the evidence about all tracked parts, most relevant first.
func (r *Register) Dump(now time.Time) []Suspect {
	r.evict(now)
	var suspects []Suspect
	for _, part := range r.byRelevance() {
		s := r.suspects[part]
		suspect := Suspect{Part: part, Crashes: len(s.live), Quarantined: r.keptAway(s, now), Until: s.until, Refuted: len(s.settled)}
		for _, c := range s.live {
			suspect.Targets = append(suspect.Targets, c.target)
		}
		slices.Sort(suspect.Targets)
		suspect.Targets = slices.Compact(suspect.Targets)
		if n := len(s.live); n > 0 {
			suspect.First, suspect.Last = s.live[0].at, s.live[n-1].at
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}
