package rtpeer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

const (
	// cellSize is the number of processes that a cell should have. At this size,
	// a digest of each process reaches all others of the cell within a second.
	cellSize = 30
	// otherCellRounds is how many digests are sent to the own cell for each one
	// to other cells, as long as these have at most cellSize processes. With more it
	// grows in proportion, up to maxOtherCellRounds: the longest time that leaves two
	// digests within otherCellAliveTimeout. Digests to other cells have no loads and no
	// cooldowns, but evidence, because a part of a prompt may crash the targets of all
	// cells.
	otherCellRounds    = 8
	maxOtherCellRounds = 20
	// otherCellAliveTimeout is aliveTimeout for processes of other cells.
	otherCellAliveTimeout = 30 * time.Second
)

// Cell returns the cell of this process.
func (g *Group) Cell() rtplacement.Cell {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cell
}

// assignCells divides the known processes into cells of equal size, in the order
// of a hash that all processes share. While processes know different sets of
// peers, they disagree only about those at the borders between cells.
func (g *Group) assignCells(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := &peer{vm: g.options.VM}
	order := []*peer{self}
	for _, p := range g.peers {
		p.otherCell = false
		if p.vm != "" && now.Sub(p.lastDigest) < memberTimeout {
			order = append(order, p)
		}
	}
	cells := max(1, (len(order)+cellSize/2)/cellSize)
	slices.SortFunc(order, func(a, b *peer) int { return cmp.Compare(cellHash(a.vm), cellHash(b.vm)) })
	before := g.cell
	g.cell = rtplacement.Cell{Index: rtplacement.CellOf(slices.Index(order, self), len(order), cells), Count: cells}
	for i, p := range order {
		p.otherCell = rtplacement.CellOf(i, len(order), cells) != g.cell.Index
	}
	if g.cell != before && max(cells, before.Count) > 1 {
		g.log.Info("Cell changed.", "cell", g.cell.Index, "cells", cells, "processes", len(order))
	}
}

// roundsToOtherCells returns how many digests are sent to the own cell for each one to
// a number of processes of other cells.
func roundsToOtherCells(processes int) int {
	return min(maxOtherCellRounds, otherCellRounds*max(1, processes/cellSize))
}

// cellHash returns the hash that orders processes for cells.
func cellHash(vm rtid.VM) uint64 { return xxhash.Sum64String("cell " + string(vm)) }

// aliveTimeout returns how long the peer counts as alive after its last digest.
func (p *peer) aliveTimeout() time.Duration {
	if p.otherCell {
		return otherCellAliveTimeout
	}
	return aliveTimeout
}
