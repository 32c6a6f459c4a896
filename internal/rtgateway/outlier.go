package rtgateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtoutlier"
)

// outlierLogInterval is the shortest time between two log lines about one outlier.
const outlierLogInterval = 5 * time.Second

// recordOutcome counts the answer of a target for the detection of outliers. An attempt
// without an answer is none: its target is in cooldown. A target's 504 means that the
// time of the request was over, which is not its fault alone.
func (g *Gateway) recordOutcome(target *rtcatalog.Instance, r result) {
	failed := r.outcome == rtdelivery.Failed
	if !failed && r.outcome != rtdelivery.Done {
		return
	}
	if failed && r.failedResponse != nil && r.failedResponse.status == http.StatusGatewayTimeout {
		return
	}
	if !g.features(g.views.View()).Outliers.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outliers.Record(target.Incarnation(), failed, time.Now())
}

// outlyingTargets returns the targets of a service that fail much more often than the
// others, and logs and counts them. The caller holds mu.
func (g *Gateway) outlyingTargets(view *rtcatalog.View, service *rtcatalog.Service, now time.Time) []rtid.TargetIncarnation {
	if g.outliers.Empty() || !g.features(view).Outliers.Enabled {
		return nil
	}
	var targets []rtid.TargetIncarnation
	for _, instance := range view.Instances(service.Name) {
		targets = append(targets, instance.Incarnation())
	}
	outliers := g.outliers.Outliers(targets, now)
	for _, target := range outliers {
		if g.outlierLogs.allow(target.ID, outlierLogInterval, now) {
			total := g.outliers.Total(target, now)
			g.metrics.Scope.Counter("outliers").Inc(1)
			g.log.Info("Target avoided because it fails more often than others.", "target", target.ID, "born", target.Born,
				"failures", total.Failures, "answers", total.Answers)
		}
	}
	return outliers
}

// isOutlier reports whether an instance is among the targets to avoid.
func isOutlier(outliers []rtid.TargetIncarnation, instance *rtcatalog.Instance) bool {
	return len(outliers) > 0 && slices.Contains(outliers, instance.Incarnation())
}

// TargetOutcomes returns what peers should know of targets that have failed.
func (g *Gateway) TargetOutcomes() []rtoutlier.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.outlierLogs.forget(now)
	return g.outliers.Reports(now)
}

// SetPeerOutcomes replaces what a peer reports of targets that have failed.
func (g *Gateway) SetPeerOutcomes(peer rtid.VM, reports []rtoutlier.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outliers.SetPeerReports(peer, reports, time.Now())
}
