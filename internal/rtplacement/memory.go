package rtplacement

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Hold is memory to set aside at a target for a part of a prompt.
type Reservation struct {
	Target *rtcatalog.Instance
	Tokens rtid.Tokens
}

const (
	// ownShare is the part of an engine's memory that a prompt may take at the
	// target that writes: the rest is for its answer and for other requests.
	ownShare = 0.85
	// holdShare is the part of the free memory of another engine that is asked
	// for: what is believed of it may be some hundred milliseconds old.
	holdShare = 0.9
	// leastHold is a piece of memory that is not worth an order.
	leastHold = 20000
)

// Holds returns the memory to set aside at other engines for a prompt that is
// larger than the target's own memory, the fewest pieces first. It answers
// prompts of up to several times an engine's memory. It reports false if there
// is not enough free memory at all candidates together.
func PlanReservations(engine *rtcatalog.Engine, work Work, target *rtcatalog.Instance, candidates []Candidate) ([]Reservation, bool) {
	missing := work.Prompt + work.Output - rtid.Tokens(ownShare*float64(engine.Memory))
	if engine.Memory <= 0 || missing <= 0 {
		return nil, true
	}
	missing = max(missing, leastHold)
	others := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Instance.ID == target.ID })
	slices.SortStableFunc(others, func(a, b Candidate) int { return cmp.Compare(a.Load.Memory, b.Load.Memory) })
	var holds []Reservation
	for _, c := range others {
		if missing <= 0 || len(holds) == maxHelpers {
			break
		}
		piece := min(missing, rtid.Tokens(holdShare*float64(engine.Memory-c.Load.Memory)))
		if piece < min(leastHold, missing) {
			break
		}
		holds = append(holds, Reservation{Target: c.Instance, Tokens: piece})
		missing -= piece
	}
	return holds, missing <= 0
}
