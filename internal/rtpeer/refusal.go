package rtpeer

import (
	"maps"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rthelper"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// maxReportedRefusals is how many refusals to help a digest holds at most, the newest
// first: about 3 KiB.
const maxReportedRefusals = 64

// RefusalExchange is the part of a gateway whose knowledge of engines that refuse to help
// peers exchange.
type RefusalExchange interface {
	// HelperRefusals returns what this process has heard itself, the newest first.
	HelperRefusals() []rthelper.Refusal
	// MergeHelperRefusals adds what a peer has heard. What is known has no effect.
	MergeHelperRefusals(refusals []rthelper.Refusal)
}

// reportedRefusal is the entry of a digest for an engine that refuses to help. It has
// no JSON: processes that read only that do not know it.
type reportedRefusal struct {
	rtid.TargetIncarnation
	remaining int64 // ms
}

// localRefusals returns the refusals for a digest.
func (g *Group) localRefusals() []reportedRefusal {
	if g.options.Refusals == nil {
		return nil
	}
	heard := g.options.Refusals.HelperRefusals()
	var reported []reportedRefusal
	for _, refusal := range heard[:min(len(heard), maxReportedRefusals)] {
		reported = append(reported, reportedRefusal{refusal.Target, refusal.Remaining.Milliseconds()})
	}
	return reported
}

// mergeRefusals passes on the refusals in the digest of a peer that took longer than
// usual by delay. Entries that no process sends are dropped.
func (g *Group) mergeRefusals(reported []reportedRefusal, sender rtid.VM, delay time.Duration) {
	if g.options.Refusals == nil || len(reported) == 0 {
		return
	}
	var refusals []rthelper.Refusal
	malformed := len(reported) > maxReportedRefusals
	for _, r := range reported[:min(len(reported), maxReportedRefusals)] {
		if r.ID == "" || len(r.ID) > maxVMName || r.remaining < 0 || r.remaining > rthelper.MaxPause.Milliseconds() {
			malformed = true
			continue
		}
		refusals = append(refusals, rthelper.Refusal{Target: r.TargetIncarnation, Remaining: time.Duration(r.remaining)*time.Millisecond - delay})
	}
	if malformed && g.refusalFindingDue(sender, time.Now()) {
		g.log.Info("Refusals to help reported by a peer are malformed, dropping these.", "peer", sender, "count", len(reported))
	}
	g.options.Refusals.MergeHelperRefusals(refusals)
}

// refusalFindingDue reports whether a line about malformed refusals of a sender may be
// logged now. It is called by the receiver of digests only.
func (g *Group) refusalFindingDue(sender rtid.VM, now time.Time) bool {
	maps.DeleteFunc(g.refusalFindings, func(_ rtid.VM, last time.Time) bool { return now.Sub(last) >= dropLogInterval })
	if _, logged := g.refusalFindings[sender]; logged || len(g.refusalFindings) >= maxDropSenders {
		return false
	}
	g.refusalFindings[sender] = now
	return true
}

func wireRefusals(reported []reportedRefusal) []*rtwire.HelperRefusal {
	var w []*rtwire.HelperRefusal
	for _, r := range reported {
		w = append(w, &rtwire.HelperRefusal{Target: wireStart(r.TargetIncarnation), Remaining: r.remaining})
	}
	return w
}

func refusalsFrom(w []*rtwire.HelperRefusal) []reportedRefusal {
	var reported []reportedRefusal
	for _, r := range w {
		reported = append(reported, reportedRefusal{startFrom(r.GetTarget()), r.GetRemaining()})
	}
	return reported
}
