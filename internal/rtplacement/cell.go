package rtplacement

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Cell is the part of a deployment that a process belongs to. The processes of
// a cell share engines of their own and tell each other their loads. It answers
// deployments of hundreds of processes, which would otherwise look at thousands
// of engines by reports that are many seconds old. The zero value is the whole
// deployment.
type Cell struct {
	Index int
	Count int // of cells; 0 and 1 for the whole deployment
}

// CellOf returns the cell of the process or engine with a rank, from 0, among
// all of them in an order that all processes share.
func CellOf(rank, all, cells int) int { return rank * cells / max(1, all) }

// Engines returns the instances that belong to the cell.
func (c Cell) Engines(instances []*rtcatalog.Instance, order func(rtid.Target) uint32) []*rtcatalog.Instance {
	if c.Count <= 1 {
		return instances
	}
	all := slices.Clone(instances)
	slices.SortFunc(all, func(a, b *rtcatalog.Instance) int {
		return cmp.Or(cmp.Compare(order(a.ID), order(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	var own []*rtcatalog.Instance
	for i, instance := range all {
		if CellOf(i, len(all), c.Count) == c.Index {
			own = append(own, instance)
		}
	}
	return own
}
