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
	// cellSize is the number of processes that a cell is meant for: a digest of
	// each reaches all others of it within a second.
	cellSize = 30
	// farRounds is how many digests to the own cell go out for one to the others,
	// which names no loads.
	farRounds = 8
	// farAliveTime is aliveTime for processes of other cells.
	farAliveTime = 30 * time.Second
)

// Cell returns the cell of this process.
func (g *Group) Cell() rtplacement.Cell {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cell
}

// arrange divides the processes that are known into cells of even size, in an
// order that all share. Those that know of others for a moment agree about all
// but the borders.
func (g *Group) arrange(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := &peer{vm: g.options.VM}
	order := []*peer{own}
	for _, p := range g.peers {
		p.far = false
		if p.vm != "" && now.Sub(p.heard) < shareTime {
			order = append(order, p)
		}
	}
	cells := max(1, (len(order)+cellSize/2)/cellSize)
	slices.SortFunc(order, func(a, b *peer) int { return cmp.Compare(cellRank(a.vm), cellRank(b.vm)) })
	before := g.cell
	g.cell = rtplacement.Cell{Index: rtplacement.CellOf(slices.Index(order, own), len(order), cells), Count: cells}
	for i, p := range order {
		p.far = rtplacement.CellOf(i, len(order), cells) != g.cell.Index
	}
	if g.cell != before && max(cells, before.Count) > 1 {
		g.log.Info("Cell changed.", "cell", g.cell.Index, "cells", cells, "processes", len(order))
	}
}

// cellRank orders processes.
func cellRank(vm rtid.VM) uint64 { return xxhash.Sum64String("cell " + string(vm)) }

// life returns how long a peer counts as alive after a digest.
func (p *peer) life() time.Duration {
	if p.far {
		return farAliveTime
	}
	return aliveTime
}
