package rtpeer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// groupOf returns the group of one of several processes. It has received digests
// from all others.
func groupOf(own, processes int, now time.Time) *Group {
	vm := func(i int) rtid.VM { return rtid.VM(fmt.Sprint("edge-", i)) }
	group := New(Options{VM: vm(own), Address: "own", Log: logr.Discard()})
	for i := range processes {
		if i != own {
			group.peers[rtid.Address(fmt.Sprint(i))] = &peer{vm: vm(i), lastDigest: now}
		}
	}
	group.assignCells(now)
	return group
}

// Guards against processes that disagree about who belongs to a cell, and
// against cells whose size, and with it the number of digests, grows with the
// deployment.
func TestArrange(t *testing.T) {
	now := time.Now()
	for _, test := range []struct{ processes, cells int }{{1, 1}, {4, 1}, {29, 1}, {44, 1}, {60, 2}, {100, 3}, {300, 10}} {
		cells := make([]rtplacement.Cell, test.processes)
		for i := range cells {
			cells[i] = groupOf(i, test.processes, now).Cell()
		}
		for i := range cells {
			if cells[i].Count != test.cells {
				t.Fatalf("%d processes: %d cells, want %d", test.processes, cells[i].Count, test.cells)
			}
			sameCell := 0
			for address, p := range groupOf(i, test.processes, now).peers {
				var j int
				if _, err := fmt.Sscan(string(address), &j); err != nil {
					t.Fatal(err)
				}
				if p.otherCell == (cells[j].Index == cells[i].Index) {
					t.Fatalf("%d processes: process %d places process %d in another cell: %v, their cells are %d and %d",
						test.processes, i, j, p.otherCell, cells[i].Index, cells[j].Index)
				}
				if !p.otherCell {
					sameCell++
				}
			}
			if sameCell > cellSize*3/2 {
				t.Errorf("%d processes: process %d has %d peers in its cell", test.processes, i, sameCell)
			}
		}
	}
}
