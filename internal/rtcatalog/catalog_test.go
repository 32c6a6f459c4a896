package rtcatalog

import (
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against requests to a target that has ended because its entry was written
// again after that of the next one at its address.
func TestNewestInstanceAtAnAddress(t *testing.T) {
	tests := []struct {
		name   string
		first  Instance
		second Instance
		want   rtid.Target
	}{
		{"later start", Instance{Born: 20, CreatedRevision: rtid.StoreRevision{Number: 5}}, Instance{Born: 10, CreatedRevision: rtid.StoreRevision{Number: 9}}, "first"},
		{"entry created later", Instance{CreatedRevision: rtid.StoreRevision{Number: 5}}, Instance{CreatedRevision: rtid.StoreRevision{Number: 9}}, "second"},
		{"one start unknown", Instance{Born: 20, CreatedRevision: rtid.StoreRevision{Number: 5}}, Instance{CreatedRevision: rtid.StoreRevision{Number: 9}}, "second"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.first.ID, test.second.ID = "first", "second"
			view := NewView(rtid.StoreRevision{Number: 1}, nil, nil, []*Instance{&test.first, &test.second})
			if got := view.Instances(""); len(got) != 1 || got[0].ID != test.want {
				t.Errorf("instances %+v, want only %s", got, test.want)
			}
		})
	}
}
