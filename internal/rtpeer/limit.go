package rtpeer

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

const (
	// maxReportedLimits is how many limits a digest holds at most, the newest first:
	// about 4 KiB.
	maxReportedLimits = 50
	// maxLimitDelay is how much longer than usual a digest may take that says that a
	// target has no limit any more. Until then, the ages in it are taken for larger
	// by as much, so that a limit that was named meanwhile holds.
	maxLimitDelay = 100 * time.Millisecond
)

// reportedLimit is the encoding in a digest of what a target has said about its
// rate limit. The ages are rounded so that the target spoke between them.
type reportedLimit struct {
	rtid.TargetIncarnation
	Rate  float64 `json:"rate,omitempty"`  // requests per second; 0 for no limit
	Sent  int64   `json:"sent"`            // age of the request, in ms
	Heard int64   `json:"heard,omitempty"` // age of the response, in ms
}

// localLimits returns the limits for a digest.
func (g *Group) localLimits() []reportedLimit {
	if g.options.Limits == nil {
		return nil
	}
	now := time.Now()
	var reported []reportedLimit
	for _, s := range g.options.Limits.RateLimits() {
		if len(reported) == maxReportedLimits {
			break
		}
		limit := reportedLimit{
			TargetIncarnation: s.Target,
			Sent:              now.Sub(s.Sent).Milliseconds() + 1,
			Heard:             now.Sub(s.Heard).Milliseconds(),
		}
		if s.Rate != rtlimit.Unlimited {
			limit.Rate = float64(s.Rate)
		}
		reported = append(reported, limit)
	}
	return reported
}

// mergeLimits passes on the limits in the digest of a peer that took longer than
// usual by delay. Entries that no process sends are dropped.
func (g *Group) mergeLimits(reported []reportedLimit, delay time.Duration) {
	if g.options.Limits == nil || len(reported) == 0 {
		return
	}
	now := time.Now()
	var statements []rtlimit.Statement
	for _, limit := range reported[:min(len(reported), maxReportedLimits)] {
		if limit.ID == "" || limit.Rate < 0 || limit.Heard < 0 || limit.Sent < limit.Heard {
			g.log.Info("Rate limit reported by a peer is malformed, dropping it.", "target", limit.ID)
			continue
		}
		s := rtlimit.Statement{
			Target: limit.TargetIncarnation,
			Rate:   rtlimit.Rate(limit.Rate),
			Sent:   now.Add(-time.Duration(limit.Sent)*time.Millisecond - maxLimitDelay),
			Heard:  now.Add(-time.Duration(limit.Heard) * time.Millisecond),
		}
		if limit.Rate == 0 {
			if delay > maxLimitDelay {
				continue
			}
			s.Rate = rtlimit.Unlimited
		}
		statements = append(statements, s)
	}
	g.options.Limits.MergeRateLimits(statements)
}
