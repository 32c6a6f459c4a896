package rtload

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtagent"
	"github.com/rhubarbtally/rhubarbtally/internal/rtbaseline"
	"github.com/rhubarbtally/rhubarbtally/internal/rtentry"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
)

// Policy is a scheduling policy to measure. The zero value is the production
// policy. Admission control and warm-up limits are the same for all policies.
type Policy struct {
	Name         string
	NewChooser   func() rtentry.Chooser // the chooser is shared by all entries; nil: the production policy
	Queue        func(rtqueue.Limits) rtagent.Queue
	NoPriorities bool // agents send engines no priorities
}

// Product is the production policy.
var Product = Policy{Name: "ours"}

// Baselines are the policies to compare with. All serve requests in order of
// arrival at each engine, without priorities; they differ in the choice of the
// target.
var Baselines = []Policy{
	{"fcfs one pool", func() rtentry.Chooser { return &rtbaseline.SharedPool{} }, newBaselineQueue, true},
	{"round robin", func() rtentry.Chooser { return &rtbaseline.RoundRobin{} }, newBaselineQueue, true},
	{"least loaded", func() rtentry.Chooser { return rtbaseline.LeastLoaded{} }, newBaselineQueue, true},
	{"static split", func() rtentry.Chooser { return &rtbaseline.StaticSplit{} }, newBaselineQueue, true},
}

func newBaselineQueue(limits rtqueue.Limits) rtagent.Queue {
	return rtbaseline.NewQueue(limits)
}

// newChooser returns a new chooser, or nil for the production policy.
func (p *Policy) newChooser() rtentry.Chooser {
	if p.NewChooser == nil {
		return nil
	}
	return p.NewChooser()
}
