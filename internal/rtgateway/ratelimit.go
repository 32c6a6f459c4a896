package rtgateway

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

// recordRateLimit logs the rate limit that a target names when it changes.
func (g *Gateway) recordRateLimit(target *rtcatalog.Instance, info ResponseInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if info.RateLimitErr != nil {
		g.log.Info("Rate limit of a target cannot be used.", "target", target.ID, "error", info.RateLimitErr.Error())
		return
	}
	before, known := g.rateLimits[target.ID]
	if !known {
		before = rtlimit.Unlimited
	}
	if info.RateLimit == before {
		return
	}
	g.rateLimits[target.ID] = info.RateLimit
	g.log.Info("Rate limit of a target changed.", "target", target.ID, "from", before.String(), "to", info.RateLimit.String())
	g.metrics.Scope.Counter("rate_limit_changes").Inc(1)
}
