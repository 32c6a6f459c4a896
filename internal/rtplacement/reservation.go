package rtplacement

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Reservation is memory to reserve at a target for a part of a prompt.
type Reservation struct {
	Target *rtcatalog.Instance
	Tokens rtid.Tokens
}

const (
	// targetMemoryShare is the part of the memory of the decoding target that a
	// prompt and its answer may use. The rest is for other requests.
	targetMemoryShare = 0.85
	// helperMemoryShare is the part of the free memory of a helper that is
	// requested: the known load may be some hundred milliseconds old.
	helperMemoryShare = 0.9
	// minReservation is the least memory in tokens that is worth a command to an
	// engine.
	minReservation = 20000
)

// PlanReservations returns the memory to reserve at other engines for a prompt
// that is larger than the memory of its target, as few reservations as possible.
// Prompts may be several times as large as the memory of an engine. An engine that
// holds memory prefills a part, too, so the helpers of the placement come first. It
// reports false if the other candidates, at most maxHelpers of them, have too little
// free memory.
func PlanReservations(engine *rtcatalog.Engine, work Work, placement Placement, candidates []Candidate) ([]Reservation, bool) {
	missing := work.Prompt + work.Output - rtid.Tokens(targetMemoryShare*float64(engine.Memory))
	if engine.Memory <= 0 || missing <= 0 {
		return nil, true
	}
	missing = max(missing, minReservation)
	others := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Instance.ID == placement.Target.ID })
	// outside returns 0 for the helpers of the placement and 1 for others.
	outside := func(c Candidate) int {
		if slices.ContainsFunc(placement.Helpers, func(h *rtcatalog.Instance) bool { return h.ID == c.Instance.ID }) {
			return 0
		}
		return 1
	}
	// Many processes plan by the same loads, so those that are about equal are taken in
	// an order of this request's own.
	slices.SortFunc(others, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(outside(a), outside(b)), cmp.Compare(a.Load.Memory/minReservation, b.Load.Memory/minReservation), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	var reservations []Reservation
	for _, c := range others {
		if missing <= 0 || len(reservations) == maxHelpers {
			break
		}
		tokens := min(missing, rtid.Tokens(helperMemoryShare*float64(engine.Memory-c.Load.Memory)))
		if tokens < min(minReservation, missing) {
			continue
		}
		reservations = append(reservations, Reservation{Target: c.Instance, Tokens: tokens})
		missing -= tokens
	}
	return reservations, missing <= 0
}
