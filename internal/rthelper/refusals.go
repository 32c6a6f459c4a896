// Package rthelper records which engines have refused to help with prompts of others,
// and decides for how long they get no parts of prompts. It decides from refusals,
// answers and the time alone, and is not safe for concurrent use.
package rthelper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// firstPause is how long an engine gets no parts of prompts after a refusal. Most
	// that refuse are draining, which the published state shows within that time.
	firstPause = 3 * time.Second
	// MaxPause is the longest pause, after further refusals or as reported by a peer. It
	// is longer than the store may be unavailable (8 s), and shorter than what an engine
	// without parts costs its service.
	MaxPause = 24 * time.Second
	// recentHelp is how long an engine that has helped with a prompt of this process is
	// used as a helper whatever peers report.
	recentHelp = 300 * time.Millisecond
	// maxTargets is how many engines are recorded at most. Above it the record that ends
	// first is dropped.
	maxTargets = 4096
)

// Refusal says that an engine gets no parts of prompts for a time.
type Refusal struct {
	Target    rtid.TargetIncarnation
	Remaining time.Duration
}

// record is what is known of one start of an engine.
type record struct {
	pause      time.Duration // after the last refusal; 0 if this process has heard none
	heard      time.Time     // when this process last heard a refusal
	until      time.Time     // end of the pause that follows
	reported   time.Time     // end of the pause that peers have reported
	lastHelped time.Time     // when a prompt of this process was answered with its help
}

// Refusals holds the engines that have refused to help. The zero value is empty.
type Refusals struct {
	records map[rtid.TargetIncarnation]*record
}

// Record adds a refusal, heard at now, of a request that was sent at sent. It returns the
// time for which the engine gets no parts. Requests that had been sent before an earlier
// refusal was heard do not prolong its pause: many may be on their way at once.
func (r *Refusals) Record(target rtid.TargetIncarnation, sent, now time.Time) time.Duration {
	known := r.recordOf(target, now)
	switch {
	case known.pause == 0:
		known.pause = firstPause
	case sent.After(known.heard):
		known.pause = min(2*known.pause, MaxPause)
	default:
		return max(0, known.until.Sub(now))
	}
	known.heard, known.until = now, now.Add(known.pause)
	return known.pause
}

// RecordHelp records that a prompt which was sent at sent has been answered with the
// help of an engine. A refusal that was heard after that stays.
func (r *Refusals) RecordHelp(target rtid.TargetIncarnation, sent, now time.Time) {
	known := r.recordOf(target, now)
	known.lastHelped, known.reported = now, time.Time{}
	if !known.heard.After(sent) {
		known.pause, known.heard, known.until = 0, time.Time{}, time.Time{}
	}
}

// Merge adds a refusal that a peer has heard. It reports whether the engine gets no parts
// for longer than was known.
func (r *Refusals) Merge(refusal Refusal, now time.Time) bool {
	known := r.recordOf(refusal.Target, now)
	until := now.Add(min(refusal.Remaining, MaxPause))
	if refusal.Remaining <= 0 || now.Sub(known.lastHelped) < recentHelp || !until.After(known.reported) {
		return false
	}
	news := !now.Before(known.until) && !now.Before(known.reported)
	known.reported = until
	return news
}

// Refused reports whether an engine gets no parts of prompts.
func (r *Refusals) Refused(target rtid.TargetIncarnation, now time.Time) bool {
	known := r.records[target]
	return known != nil && (now.Before(known.until) || now.Before(known.reported))
}

// Heard returns the refusals that this process has heard itself and that hold, the newest
// first. What peers have reported is not among them: processes that pass it on to one
// another would prolong it by the delay of each digest.
func (r *Refusals) Heard(now time.Time) []Refusal {
	var targets []rtid.TargetIncarnation
	for target, known := range r.records {
		if now.Before(known.until) {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(a, b rtid.TargetIncarnation) int {
		return cmp.Or(r.records[b].heard.Compare(r.records[a].heard), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
	refusals := make([]Refusal, 0, len(targets))
	for _, target := range targets {
		refusals = append(refusals, Refusal{Target: target, Remaining: r.records[target].until.Sub(now)})
	}
	return refusals
}

// Forget drops what no longer matters: records without a refusal that holds or, for as
// long again, prolongs the pause after the next one.
func (r *Refusals) Forget(now time.Time) {
	maps.DeleteFunc(r.records, func(_ rtid.TargetIncarnation, known *record) bool {
		return !now.Before(known.until.Add(known.pause)) && !now.Before(known.reported) && now.Sub(known.lastHelped) >= recentHelp
	})
}

// recordOf returns the record of an engine and adds one if there is none.
func (r *Refusals) recordOf(target rtid.TargetIncarnation, now time.Time) *record {
	if known := r.records[target]; known != nil {
		return known
	}
	if r.records == nil {
		r.records = make(map[rtid.TargetIncarnation]*record)
	}
	if len(r.records) >= maxTargets {
		r.Forget(now)
	}
	if len(r.records) >= maxTargets {
		end := func(k *record) time.Time {
			if k.reported.After(k.until) {
				return k.reported
			}
			return k.until
		}
		var first rtid.TargetIncarnation
		for candidate, known := range r.records {
			if old := r.records[first]; old == nil || end(known).Before(end(old)) {
				first = candidate
			}
		}
		delete(r.records, first)
	}
	known := &record{}
	r.records[target] = known
	return known
}
