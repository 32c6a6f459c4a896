package rtload

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtagent"
	"github.com/rhubarbtally/rhubarbtally/internal/rtbaseline"
	"github.com/rhubarbtally/rhubarbtally/internal/rtentry"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
)

// Policy is a set of decisions to measure. The zero value has the decisions of
// the product. Admission control and warm-up limits are the same for all.
type Policy struct {
	Name         string
	NewChooser   func() rtentry.Chooser // shared by all entries; nil for the product's
	Queue        func(rtqueue.Limits) rtagent.Queue
	NoPriorities bool // no priorities at the engine
}

// Product has the decisions of the product.
var Product = Policy{Name: "ours"}

// Baselines serve in order of arrival at each engine, without priorities, and
// differ in the choice of target.
var Baselines = []Policy{
	{"fcfs one pool", func() rtentry.Chooser { return &rtbaseline.SharedPool{} }, newBaselineQueue, true},
	{"round robin", func() rtentry.Chooser { return &rtbaseline.RoundRobin{} }, newBaselineQueue, true},
	{"least loaded", func() rtentry.Chooser { return rtbaseline.LeastLoaded{} }, newBaselineQueue, true},
	{"static split", func() rtentry.Chooser { return &rtbaseline.StaticSplit{} }, newBaselineQueue, true},
}

func newBaselineQueue(limits rtqueue.Limits) rtagent.Queue {
	return rtbaseline.NewQueue(limits)
}

// chooser returns a fresh chooser, or nil for the product's.
func (p *Policy) chooser() rtentry.Chooser {
	if p.NewChooser == nil {
		return nil
	}
	return p.NewChooser()
}
