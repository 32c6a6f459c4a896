package rtfake

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// loadHistory keeps the recent loads of a target, so that it can report a load
// that is LoadLag old.
type loadHistory struct {
	records []loadRecord // oldest first
}

type loadRecord struct {
	load rttarget.LoadReport
	time time.Time
}

// record adds the load at now. It replaces a record of the same instant.
func (h *loadHistory) record(load rttarget.LoadReport, now time.Time, lag time.Duration) {
	h.prune(now.Add(-lag))
	if last := len(h.records) - 1; last >= 0 && h.records[last].time.Equal(now) {
		h.records[last].load = load
		return
	}
	h.records = append(h.records, loadRecord{load: load, time: now})
}

// at returns the load at the instant, or the oldest one recorded.
func (h *loadHistory) at(instant time.Time) rttarget.LoadReport {
	h.prune(instant)
	if len(h.records) == 0 {
		return rttarget.LoadReport{}
	}
	return h.records[0].load
}

// prune drops the records before the one that was current at the instant.
func (h *loadHistory) prune(instant time.Time) {
	for len(h.records) > 1 && !h.records[1].time.After(instant) {
		h.records = h.records[1:]
	}
}
