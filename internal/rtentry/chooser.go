package rtentry

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtroute"
)

// Chooser replaces the choice of zone and target for drafts. Measurements use
// it to compare other policies through the same code. It must be safe for
// concurrent use.
type Chooser interface {
	// Choose returns a target among the reports of eligible targets.
	Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool)
	// Ended tells that work given to a target has been refused or has ended.
	Ended(target rtid.Target, tokens rtid.Tokens)
}

// chooseTarget returns the zone and target for a request. The caller holds
// b.mu.
func (b *balancer) chooseTarget(request *rtroute.Request) (rtid.Target, bool) {
	if b.entry.chooser != nil {
		return b.entry.chooser.Choose(b.reports, request)
	}
	zone, ok := b.pool.ChooseZone(b.entry.settings.Zone, &b.spill, *request, b.random)
	if !ok {
		return "", false
	}
	return b.pool.ChooseTarget(zone, *request, b.random)
}

// release tells the chooser that the work at the target has ended.
func (p placement) release() {
	if chooser := p.balancer.entry.chooser; chooser != nil {
		chooser.Ended(p.view.Target, p.tokens)
	}
}
