package rtdocument

import (
	"fmt"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Diff returns the changes from one document to the next as text, ordered by
// name, and warnings about changes that operators rarely intend. A different
// revision alone is not a change.
func Diff(from, to *Document) ([]string, rtfinding.List) {
	d := differ{}
	from, to = from.clone(), to.clone()
	from.Sort()
	to.Sort()
	diffNamed(&d, "service", indexByName(from.Services, serviceName), indexByName(to.Services, serviceName), d.service)
	diffNamed(&d, "organisation", indexByName(from.Organisations, organisationName), indexByName(to.Organisations, organisationName), d.organisation)
	diffNamed(&d, "availability zone", indexByName(from.Zones, zoneName), indexByName(to.Zones, zoneName), d.zone)
	return d.changes, warnings(from, to)
}

func warnings(from, to *Document) rtfinding.List {
	var result rtfinding.List
	if to.Base != from.Revision {
		result.Warn(rtfinding.Location{Field: "base"}, "revision %d was made from revision %d, not from %d", to.Revision, to.Base, from.Revision)
	}
	before, after := zonesInService(from), zonesInService(to)
	if len(before) > 0 && len(after) == 0 {
		result.Warn(rtfinding.Location{Field: "zones"}, "takes the last availability zone that is in out: %s", strings.Join(before, ", "))
	}
	return result
}

func zonesInService(document *Document) []string {
	var names []string
	for i := range document.Zones {
		if document.Zones[i].State == ZoneInService {
			names = append(names, string(document.Zones[i].Name))
		}
	}
	return names
}

func serviceName(s *Service) string           { return string(s.Name) }
func organisationName(o *Organisation) string { return string(o.Name) }
func zoneName(z *Zone) string                 { return string(z.Name) }

// namedItems is a sorted list with an index by name.
type namedItems[T any] struct {
	items []T
	index map[string]*T
	name  func(*T) string
}

func indexByName[T any](items []T, name func(*T) string) namedItems[T] {
	index := make(map[string]*T, len(items))
	for i := range items {
		index[name(&items[i])] = &items[i]
	}
	return namedItems[T]{items: items, index: index, name: name}
}

type differ struct {
	changes []string
}

func (d *differ) add(format string, args ...any) {
	d.changes = append(d.changes, fmt.Sprintf(format, args...))
}

// diffNamed reports removed items, then added and changed ones. It compares an
// added item with the zero value, so that its content is reported too.
func diffNamed[T any](d *differ, what string, from, to namedItems[T], change func(from, to *T)) {
	for i := range from.items {
		if name := from.name(&from.items[i]); to.index[name] == nil {
			d.add("%s %s removed", what, name)
		}
	}
	for i := range to.items {
		item := &to.items[i]
		name := to.name(item)
		before := from.index[name]
		if before == nil {
			d.add("%s %s added", what, name)
			before = new(T)
		}
		change(before, item)
	}
}

func (d *differ) service(from, to *Service) {
	if from.Kind != to.Kind {
		d.add("service %s: kind %s", to.Name, describeChange(string(from.Kind), string(to.Kind)))
	}
	if from.Model != to.Model {
		d.add("service %s: model %s", to.Name, describeChange(string(from.Model), string(to.Model)))
	}
}

func (d *differ) organisation(from, to *Organisation) {
	for _, service := range from.Services {
		if !to.Allows(service) {
			d.add("organisation %s: may no longer reach service %s", to.Name, service)
		}
	}
	for _, service := range to.Services {
		before, after := from.ShareOf(service), to.ShareOf(service)
		switch {
		case !from.Allows(service):
			d.add("organisation %s: may reach service %s with share %v", to.Name, service, after)
		case before != after:
			d.add("organisation %s: share of service %s from %v to %v", to.Name, service, before, after)
		}
	}
}

func (d *differ) zone(from, to *Zone) {
	if from.State != to.State {
		d.add("availability zone %s: state %s", to.Name, describeChange(string(from.State), string(to.State)))
	}
	services := make(map[rtid.Service]float64, len(from.Capacity)+len(to.Capacity))
	for service := range from.Capacity {
		services[service] = 0
	}
	for service := range to.Capacity {
		services[service] = 0
	}
	for _, service := range sortedKeys(services) {
		before, plannedBefore := from.Capacity[service]
		after, plannedAfter := to.Capacity[service]
		if before != after || plannedBefore != plannedAfter {
			d.add("availability zone %s: capacity for service %s from %v to %v requests/s", to.Name, service, before, after)
		}
	}
}

func describeChange(from, to string) string {
	if from == "" {
		return to
	}
	if to == "" {
		to = "none"
	}
	return fmt.Sprintf("from %s to %s", from, to)
}
