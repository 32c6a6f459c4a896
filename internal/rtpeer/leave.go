package rtpeer

import "github.com/rhubarbtally/rhubarbtally/internal/rtid"

// maxReportedLeaves is how many leaving targets a digest holds at most: about 4 KiB.
const maxReportedLeaves = 64

// localLeaves returns the leaving targets for a digest.
func (g *Group) localLeaves() []rtid.TargetIncarnation {
	if g.options.Leaves == nil {
		return nil
	}
	leaves := g.options.Leaves.LeavesToReport()
	return leaves[:min(len(leaves), maxReportedLeaves)]
}

// mergeLeaves passes on the leaving targets in the digest of a peer. A late or
// repeated digest has no further effect, because a leave is never taken back.
func (g *Group) mergeLeaves(reported []rtid.TargetIncarnation) {
	if g.options.Leaves == nil || len(reported) == 0 {
		return
	}
	g.options.Leaves.MergeLeaves(reported[:min(len(reported), maxReportedLeaves)])
}
