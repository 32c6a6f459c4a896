package rtentry

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtroute"
)

// Chooser replaces the selection of zone and target for drafts. Benchmarks use
// it to compare placement policies in the same entry. It must be safe for
// concurrent use.
type Chooser interface {
	// Choose selects a target among the reports of eligible targets. It reports
	// false if there is none.
	Choose(reports []rtroute.Report, request *rtroute.Request) (rtid.Target, bool)
	// Ended is called when work sent to a target has been refused or has ended.
	Ended(target rtid.Target, tokens rtid.Tokens)
}

// chooseTarget selects the zone and the target for a request. The caller holds
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

// notifyChooser calls the chooser's Ended, if the entry has a chooser.
func (p placement) notifyChooser() {
	if chooser := p.balancer.entry.chooser; chooser != nil {
		chooser.Ended(p.view.Target, p.tokens)
	}
}
