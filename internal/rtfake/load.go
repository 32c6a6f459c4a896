package rtfake

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// loadHistory remembers the load of a target, so that its report can lag.
type loadHistory struct {
	records []datedLoad // oldest first
}

type datedLoad struct {
	load rttarget.LoadReport
	time time.Time
}

// record adds the load at now. Records of one instant replace one another.
func (h *loadHistory) record(load rttarget.LoadReport, now time.Time, lag time.Duration) {
	h.prune(now.Add(-lag))
	if last := len(h.records) - 1; last >= 0 && h.records[last].time.Equal(now) {
		h.records[last].load = load
		return
	}
	h.records = append(h.records, datedLoad{load: load, time: now})
}

// at returns the load as it was at the instant, or the oldest one known.
func (h *loadHistory) at(instant time.Time) rttarget.LoadReport {
	h.prune(instant)
	if len(h.records) == 0 {
		return rttarget.LoadReport{}
	}
	return h.records[0].load
}

// prune keeps the last record not after the instant and those after it.
func (h *loadHistory) prune(instant time.Time) {
	for len(h.records) > 1 && !h.records[1].time.After(instant) {
		h.records = h.records[1:]
	}
}
