package rtplacement

import (
	"fmt"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against an engine that belongs to no cell, and against one that two
// cells use without exchanging their loads. Both come about if the ranks of the
// cells have gaps or overlap.
func TestCellEngines(t *testing.T) {
	for _, cells := range []int{0, 1, 2, 7} {
		var instances []*rtcatalog.Instance
		for i := range 100 {
			instances = append(instances, &rtcatalog.Instance{ID: rtid.Target(fmt.Sprint("e", i))})
		}
		hash := func(id rtid.Target) uint32 { return uint32(len(id)*7919+int(id[len(id)-1])*104729) % 1009 }
		users := make(map[rtid.Target]int)
		for index := range max(1, cells) {
			inCell := Cell{Index: index, Count: cells}.Engines(instances, hash)
			if share := len(instances) / max(1, cells); len(inCell) < share || len(inCell) > share+1 {
				t.Errorf("cell %d of %d has %d engines, want an even share", index, cells, len(inCell))
			}
			for _, instance := range inCell {
				users[instance.ID]++
			}
		}
		for _, instance := range instances {
			if users[instance.ID] != 1 {
				t.Errorf("%d cells: %s is used by %d cells, want 1", cells, instance.ID, users[instance.ID])
			}
		}
	}
}
