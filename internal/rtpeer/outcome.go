package rtpeer

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtoutlier"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// OutcomeExchange is the part of a gateway whose knowledge of failing targets peers
// exchange.
type OutcomeExchange interface {
	// TargetOutcomes returns what this process has seen of targets that have failed,
	// those with most failures first.
	TargetOutcomes() []rtoutlier.Report
	// SetPeerOutcomes replaces what a peer has seen.
	SetPeerOutcomes(peer rtid.VM, reports []rtoutlier.Report)
}

// localOutcomes returns the outcomes for a digest.
func (g *Group) localOutcomes() []rtoutlier.Report {
	if g.options.Outcomes == nil {
		return nil
	}
	return g.options.Outcomes.TargetOutcomes()
}

// setOutcomes passes on the outcomes in the digest of a peer.
func (g *Group) setOutcomes(peer rtid.VM, reports []rtoutlier.Report) {
	if g.options.Outcomes != nil {
		g.options.Outcomes.SetPeerOutcomes(peer, reports)
	}
}

// wireOutcomes returns outcomes in the binary encoding.
func wireOutcomes(reports []rtoutlier.Report) []*rtwire.TargetOutcomes {
	var encoded []*rtwire.TargetOutcomes
	for _, r := range reports {
		encoded = append(encoded, &rtwire.TargetOutcomes{Target: wireStart(r.Target), Answers: r.Answers, Failures: r.Failures})
	}
	return encoded
}

// outcomesFrom returns outcomes that were received in the binary encoding.
func outcomesFrom(encoded []*rtwire.TargetOutcomes) []rtoutlier.Report {
	var reports []rtoutlier.Report
	for _, o := range encoded[:min(len(encoded), rtoutlier.MaxReports)] {
		reports = append(reports, rtoutlier.Report{
			Target: startFrom(o.GetTarget()), Outcomes: rtoutlier.Outcomes{Answers: o.GetAnswers(), Failures: o.GetFailures()},
		})
	}
	return reports
}
