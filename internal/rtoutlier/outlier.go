// Package rtoutlier finds the targets of a service that fail requests much more often
// than the others, by what all gateways have seen. It answers the load of targets that
// fail a part of their requests and pass their health checks: each gateway alone sees too
// few of their answers to tell. It reads no clock and uses no sockets.
package rtoutlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// halfLife is the time in which an outcome loses half of its weight. A target without
	// requests is tried again after about one half-life, so that one which has recovered
	// is back within seconds.
	halfLife = 4 * time.Second
	// minFailures and minFailureShare are the decayed failures, and their share of the
	// answers, from which a target is an outlier. One failure proves nothing: any
	// request may fail by itself. A target below the share still earns more with a
	// request than the retry budget of its service would lose without it.
	minFailures     = 1.5
	minFailureShare = 0.2
	// maxOutlierShare is the largest part of the targets of a service that are avoided.
	// If more fail, the cause is not at single targets, and the others could not take
	// their load.
	maxOutlierShare = 1.0 / 3
	// negligible is the weight below which outcomes are forgotten.
	negligible = 0.05
	// reportTTL is how long the report of a peer counts. A live peer reports several
	// times within it.
	reportTTL = 2 * time.Second
	// MaxReports is how many targets one process reports at most.
	MaxReports = 64
	// maxReportedAnswers bounds what a peer can claim: more than one gateway gets from
	// one target within a few half-lives.
	maxReportedAnswers = 1e4
)

// Outcomes are decayed counts of the answers of one target.
type Outcomes struct {
	Answers  float64 // at least Failures
	Failures float64
}

// valid reports whether the counts can be those of a process.
func (o Outcomes) valid() bool {
	return o.Failures >= 0 && o.Answers >= o.Failures && o.Answers <= maxReportedAnswers
}

func (o Outcomes) scaled(factor float64) Outcomes {
	return Outcomes{Answers: factor * o.Answers, Failures: factor * o.Failures}
}

func (o Outcomes) add(other Outcomes) Outcomes {
	return Outcomes{Answers: o.Answers + other.Answers, Failures: o.Failures + other.Failures}
}

// outlier reports whether the target fails much more often than sound ones do.
func (o Outcomes) outlier() bool {
	return o.Failures >= minFailures && o.Failures >= minFailureShare*o.Answers
}

// Report is what one process has seen of a target.
type Report struct {
	Target rtid.TargetIncarnation
	Outcomes
}

// Tracker holds the outcomes at this process and those that peers report. The zero value
// is empty. It is not safe for concurrent use.
type Tracker struct {
	own   map[rtid.TargetIncarnation]record
	peers map[rtid.VM]peerReports
}

// record is outcomes as of a time.
type record struct {
	Outcomes
	updated time.Time
}

// at returns the outcomes decayed to a later time.
func (r record) at(now time.Time) Outcomes {
	return r.scaled(math.Exp2(-max(0, now.Sub(r.updated).Seconds()) / halfLife.Seconds()))
}

type peerReports struct {
	outcomes map[rtid.TargetIncarnation]Outcomes
	received time.Time
}

// Record counts one answer of a target.
func (t *Tracker) Record(target rtid.TargetIncarnation, failed bool, now time.Time) {
	if t.own == nil {
		t.own = make(map[rtid.TargetIncarnation]record)
	}
	outcomes := t.own[target].at(now)
	outcomes.Answers++
	if failed {
		outcomes.Failures++
	}
	t.own[target] = record{Outcomes: outcomes, updated: now}
}

// Reports returns what peers should know: the outcomes at this process of all targets
// that have failed here or at a peer, those with most failures first, at most MaxReports.
func (t *Tracker) Reports(now time.Time) []Report {
	t.evict(now)
	var reports []Report
	for target, own := range t.own {
		if outcomes := own.at(now); outcomes.Failures >= negligible || t.Total(target, now).Failures >= negligible {
			reports = append(reports, Report{Target: target, Outcomes: outcomes})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return reports[:min(len(reports), MaxReports)]
}

// SetPeerReports replaces what a peer has reported. Reports that no process sends are
// passed over.
func (t *Tracker) SetPeerReports(peer rtid.VM, reports []Report, now time.Time) {
	if len(reports) == 0 {
		delete(t.peers, peer)
		return
	}
	if t.peers == nil {
		t.peers = make(map[rtid.VM]peerReports)
	}
	outcomes := make(map[rtid.TargetIncarnation]Outcomes)
	for _, r := range reports[:min(len(reports), MaxReports)] {
		if r.valid() {
			outcomes[r.Target] = r.Outcomes
		}
	}
	t.peers[peer] = peerReports{outcomes: outcomes, received: now}
}

// Outliers returns the targets of a service to avoid. It returns none if too many would
// be, so that a failure of the whole service or of its callers' requests moves no load.
func (t *Tracker) Outliers(targets []rtid.TargetIncarnation, now time.Time) []rtid.TargetIncarnation {
	if t.Empty() {
		return nil
	}
	var outliers []rtid.TargetIncarnation
	for _, target := range targets {
		if t.Total(target, now).outlier() {
			outliers = append(outliers, target)
		}
	}
	if float64(len(outliers)) > maxOutlierShare*float64(len(targets)) {
		return nil
	}
	return outliers
}

// Empty reports whether nothing has been recorded.
func (t *Tracker) Empty() bool { return len(t.own) == 0 && len(t.peers) == 0 }

// Total returns the outcomes of a target at all processes.
func (t *Tracker) Total(target rtid.TargetIncarnation, now time.Time) Outcomes {
	total := t.own[target].at(now)
	for _, peer := range t.peers {
		if age := now.Sub(peer.received); age <= reportTTL {
			total = total.add(record{Outcomes: peer.outcomes[target], updated: peer.received}.at(now))
		}
	}
	return total
}

// evict forgets outcomes that no longer count.
func (t *Tracker) evict(now time.Time) {
	maps.DeleteFunc(t.own, func(_ rtid.TargetIncarnation, r record) bool { return r.at(now).Answers < negligible })
	maps.DeleteFunc(t.peers, func(_ rtid.VM, p peerReports) bool { return now.Sub(p.received) > reportTTL })
}
