package rtsheet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// shareTolerance covers the rounding of decimal shares, as in the checks of
// the document.
const shareTolerance = 1e-9

// maxCapacities bounds the work on hostile sheets: a document holds fewer
// capacities, as each takes several bytes.
const maxCapacities = int(rtdocument.MaxSize) / 4

// checkReferences reports rows that name a service or an availability zone
// without a row of its own, and kinds of rows that the sheet lacks.
func (s *sheet) checkReferences() {
	if s.findings.Err() == nil {
		s.checkKinds()
	}
	for _, f := range slices.Concat(s.organisations, s.capacities) {
		if s.lines[rowKey(kindService, f.service)] == 0 {
			s.add(f.row.cells[columnService], "service %q has no row of kind service", f.service)
		}
	}
	for _, f := range s.capacities {
		if s.lines[rowKey(kindZone, f.name)] == 0 {
			s.add(f.row.cells[columnZone], "availability zone %q has no row of kind zone", f.name)
		}
	}
}

// checkKinds refuses a sheet that was cut off or emptied: its document would
// take all work away.
func (s *sheet) checkKinds() {
	kinds := []struct {
		kind  string
		facts []fact
	}{{kindService, s.services}, {kindOrganisation, s.organisations}, {kindZone, s.zones}}
	for _, k := range kinds {
		if len(k.facts) == 0 {
			s.findings.Add(rtfinding.Location{File: s.name}, "sheet has no row of kind %s", k.kind)
		}
	}
}

// checkCapacities reports availability zones without a capacity for a
// declared service. No capacity is written as 0.
func (s *sheet) checkCapacities() {
	if len(s.zones)*len(s.services) > maxCapacities {
		s.findings.Add(rtfinding.Location{File: s.name}, "%d availability zones with %d services do not fit into a document of %d bytes",
			len(s.zones), len(s.services), rtdocument.MaxSize)
		return
	}
	for _, zone := range s.zones {
		for _, service := range s.services {
			if s.lines[rowKey(kindCapacity, zone.name, service.name)] == 0 {
				s.add(zone.row.cells[columnName], "availability zone %s has no row of kind capacity for service %s", zone.name, service.name)
			}
		}
	}
}

// checkShares reports services that are planned for more than the whole.
func (s *sheet) checkShares() {
	sums := make(map[string]float64)
	lines := make(map[string][]string)
	for _, f := range s.organisations {
		sums[f.service] += f.number
		lines[f.service] = append(lines[f.service], fmt.Sprint(f.row.line))
	}
	for _, f := range s.services {
		if sums[f.name] > 1+shareTolerance {
			s.add(f.row.cells[columnName], "shares of service %s add up to %.6g, at most 1 is possible; lines %s",
				f.name, sums[f.name], strings.Join(lines[f.name], ", "))
		}
	}
}

// document returns the document of all facts.
func (s *sheet) document() rtdocument.Document {
	document := rtdocument.Document{Revision: s.revision}
	for _, f := range s.services {
		document.Services = append(document.Services, service(f))
	}
	document.Organisations = organisations(s.organisations)
	document.Zones = s.documentZones()
	document.Sort()
	return document
}

func service(f fact) rtdocument.Service {
	result := rtdocument.Service{Name: rtid.Service(f.name), Kind: rtdocument.KindOrder}
	if model, draft := strings.CutPrefix(f.text, draftPrefix); draft {
		result.Kind, result.Model = rtdocument.KindDraft, rtid.Model(model)
	}
	return result
}

// organisations returns one organisation for all its rows. Share gets the
// smallest share and Shares those that differ, so that a reader that knows
// only Share allows no more than planned.
func organisations(facts []fact) []rtdocument.Organisation {
	var result []rtdocument.Organisation
	index := make(map[string]int)
	for _, f := range facts {
		i, known := index[f.name]
		if !known {
			i = len(result)
			index[f.name] = i
			result = append(result, rtdocument.Organisation{Name: rtid.Organisation(f.name), Share: f.number, Shares: make(map[rtid.Service]float64)})
		}
		o := &result[i]
		o.Services = append(o.Services, rtid.Service(f.service))
		o.Share = min(o.Share, f.number)
		o.Shares[rtid.Service(f.service)] = f.number
	}
	for i := range result {
		removeEqual(result[i].Shares, result[i].Share)
	}
	return result
}

func removeEqual(shares map[rtid.Service]float64, share float64) {
	for service, value := range shares {
		if value == share {
			delete(shares, service)
		}
	}
}

func (s *sheet) documentZones() []rtdocument.Zone {
	var result []rtdocument.Zone
	capacities := make(map[string]map[rtid.Service]float64)
	for _, f := range s.zones {
		capacities[f.name] = make(map[rtid.Service]float64)
		result = append(result, rtdocument.Zone{Name: rtid.Zone(f.name), State: rtdocument.ZoneState(f.text), Capacity: capacities[f.name]})
	}
	for _, f := range s.capacities {
		if capacity, known := capacities[f.name]; known {
			capacity[rtid.Service(f.service)] = f.number
		}
	}
	return result
}
