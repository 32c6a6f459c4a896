package rtplacement

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Cell is a part of a deployment. The processes of a cell share engines that
// belong to no other cell, and exchange their loads. In a deployment of hundreds of
// processes without cells, each would place requests on thousands of engines by
// reports that are many seconds old. The zero value is the whole deployment.
type Cell struct {
	Index int
	Count int // number of cells; 0 and 1 for the whole deployment
}

// CellOf returns the cell of the process or engine at a rank, from 0, in an
// order that all processes share.
func CellOf(rank, total, cells int) int { return rank * cells / max(1, total) }

// Engines returns the instances that belong to the cell.
func (c Cell) Engines(instances []*rtcatalog.Instance, hash func(rtid.Target) uint32) []*rtcatalog.Instance {
	if c.Count <= 1 {
		return instances
	}
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b *rtcatalog.Instance) int {
		return cmp.Or(cmp.Compare(hash(a.ID), hash(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	var inCell []*rtcatalog.Instance
	for i, instance := range sorted {
		if CellOf(i, len(sorted), c.Count) == c.Index {
			inCell = append(inCell, instance)
		}
	}
	return inCell
}
