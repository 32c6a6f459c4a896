package rtdocument

import (
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Sort sorts all lists by name.
func (d *Document) Sort() {
	slices.SortStableFunc(d.Organisations, func(a, b Organisation) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortStableFunc(d.Services, func(a, b Service) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortStableFunc(d.Zones, func(a, b Zone) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for i := range d.Organisations {
		slices.Sort(d.Organisations[i].Services)
	}
}

// clone returns a deep copy without nil lists and capacities, so that its
// encoding has no null.
func (d *Document) clone() *Document {
	c := *d
	c.Organisations = append([]Organisation{}, d.Organisations...)
	c.Services = append([]Service{}, d.Services...)
	c.Zones = append([]Zone{}, d.Zones...)
	for i := range c.Organisations {
		o := &c.Organisations[i]
		o.Services = append([]rtid.Service{}, o.Services...)
		o.Shares = maps.Clone(o.Shares)
	}
	for i := range c.Zones {
		z := &c.Zones[i]
		if z.Capacity = maps.Clone(z.Capacity); z.Capacity == nil {
			z.Capacity = map[rtid.Service]float64{}
		}
	}
	return &c
}
