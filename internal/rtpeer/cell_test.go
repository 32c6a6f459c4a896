package rtpeer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// grouped returns the group of one of several processes that have heard of all
// others.
func grouped(own, processes int, now time.Time) *Group {
	vm := func(i int) rtid.VM { return rtid.VM(fmt.Sprint("edge-", i)) }
	group := New(Options{VM: vm(own), Address: "own", Log: logr.Discard()})
	for i := range processes {
		if i != own {
			group.peers[rtid.Address(fmt.Sprint(i))] = &peer{vm: vm(i), heard: now}
		}
	}
	group.arrange(now)
	return group
}

// Guards against processes of one cell that do not know each other, and against
// digests whose number grows with the deployment.
func TestArrange(t *testing.T) {
	now := time.Now()
	for _, test := range []struct{ processes, cells int }{{1, 1}, {4, 1}, {29, 1}, {44, 1}, {60, 2}, {100, 3}, {300, 10}} {
		cells := make([]rtplacement.Cell, test.processes)
		for i := range cells {
			cells[i] = grouped(i, test.processes, now).Cell()
		}
		for i := range cells {
			if cells[i].Count != test.cells {
				t.Fatalf("%d processes: %d cells, want %d", test.processes, cells[i].Count, test.cells)
			}
			near := 0
			for address, p := range grouped(i, test.processes, now).peers {
				var j int
				if _, err := fmt.Sscan(string(address), &j); err != nil {
					t.Fatal(err)
				}
				if p.far == (cells[j].Index == cells[i].Index) {
					t.Fatalf("%d processes: %d takes %d for far: %v, their cells are %d and %d",
						test.processes, i, j, p.far, cells[i].Index, cells[j].Index)
				}
				if !p.far {
					near++
				}
			}
			if near > cellSize*3/2 {
				t.Errorf("%d processes: %d has %d near ones", test.processes, i, near)
			}
		}
	}
}
