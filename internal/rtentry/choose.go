package rtentry

import (
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
)

// choose returns the agent to offer a draft to.
func (e *Entry) choose(d *draft, tried []rtid.Target) (rtnode.View, bool) {
	return leastLoaded(e.eligible(d.document, d.service), tried)
}

// chooseHome returns the agent that becomes the home of a new order.
func (e *Entry) chooseHome(document *rtdocument.Document, service rtid.Service) (rtnode.View, bool) {
	return leastLoaded(e.eligible(document, service), nil)
}

// eligible returns the agents of a service that may get new work.
func (e *Entry) eligible(document *rtdocument.Document, service rtid.Service) []rtnode.View {
	views := e.node.Targets(service)
	return slices.DeleteFunc(views, func(view rtnode.View) bool {
		return !view.Alive || view.Leaving || !view.Status.GetReady() ||
			document.ZoneState(view.Zone) != rtdocument.StateIn
	})
}

// leastLoaded returns the agent with the least reported work.
func leastLoaded(views []rtnode.View, tried []rtid.Target) (rtnode.View, bool) {
	best := -1
	for i, view := range views {
		if slices.Contains(tried, view.Target) {
			continue
		}
		if best < 0 || work(view) < work(views[best]) {
			best = i
		}
	}
	if best < 0 {
		return rtnode.View{}, false
	}
	return views[best], true
}

// work returns the reported work of an agent.
func work(view rtnode.View) int64 {
	load := view.Status.GetLoad()
	return load.GetQueued() + load.GetPrefill() + int64(load.GetRunning())
}
