package rtsheet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// shareTolerance allows for the rounding of decimal shares. The checks of the
// document use the same value.
const shareTolerance = 1e-9

// maxCapacities limits the work on malicious sheets: no document holds more
// capacities, because each takes over four bytes.
const maxCapacities = int(rtdocument.MaxSize) / 4

// checkReferences adds findings for rows that refer to a service or an
// availability zone without a row of its own, and for kinds without any row.
func (s *sheet) checkReferences() {
	if s.findings.Err() == nil {
		s.checkKinds()
	}
	for _, r := range slices.Concat(s.organisations, s.capacities) {
		if s.lines[rowKey(kindService, r.service)] == 0 {
			s.addFinding(r.row.cells[columnService], "service %q has no row of kind service", r.service)
		}
	}
	for _, r := range s.capacities {
		if s.lines[rowKey(kindZone, r.name)] == 0 {
			s.addFinding(r.row.cells[columnZone], "availability zone %q has no row of kind zone", r.name)
		}
	}
}

// checkKinds rejects a sheet without services, organisations or availability
// zones, such as a truncated or emptied export: its document would stop all
// traffic.
func (s *sheet) checkKinds() {
	requiredKinds := []struct {
		kind string
		rows []parsedRow
	}{{kindService, s.services}, {kindOrganisation, s.organisations}, {kindZone, s.zones}}
	for _, required := range requiredKinds {
		if len(required.rows) == 0 {
			s.findings.Add(rtfinding.Location{File: s.name}, "sheet has no row of kind %s", required.kind)
		}
	}
}

// checkCapacities adds findings for availability zones without a capacity for a
// declared service. A capacity of 0 has to be written out.
func (s *sheet) checkCapacities() {
	if len(s.zones)*len(s.services) > maxCapacities {
		s.findings.Add(rtfinding.Location{File: s.name}, "%d availability zones with %d services do not fit into a document of %d bytes",
			len(s.zones), len(s.services), rtdocument.MaxSize)
		return
	}
	for _, zone := range s.zones {
		for _, service := range s.services {
			if s.lines[rowKey(kindCapacity, zone.name, service.name)] == 0 {
				s.addFinding(zone.row.cells[columnName], "availability zone %s has no row of kind capacity for service %s", zone.name, service.name)
			}
		}
	}
}

// checkShares adds findings for services whose shares add up to more than 1.
func (s *sheet) checkShares() {
	sums := make(map[string]float64)
	lines := make(map[string][]string)
	for _, r := range s.organisations {
		sums[r.service] += r.number
		lines[r.service] = append(lines[r.service], fmt.Sprint(r.row.line))
	}
	for _, r := range s.services {
		if sums[r.name] > 1+shareTolerance {
			s.addFinding(r.row.cells[columnName], "shares of service %s add up to %.6g, at most 1 is possible; lines %s",
				r.name, sums[r.name], strings.Join(lines[r.name], ", "))
		}
	}
}

// buildDocument returns the document for all parsed rows.
func (s *sheet) buildDocument() rtdocument.Document {
	document := rtdocument.Document{Revision: s.revision}
	for _, r := range s.services {
		document.Services = append(document.Services, buildService(r))
	}
	document.Organisations = buildOrganisations(s.organisations)
	document.Zones = s.buildZones()
	document.Sort()
	return document
}

func buildService(r parsedRow) rtdocument.Service {
	result := rtdocument.Service{Name: rtid.Service(r.name), Kind: rtdocument.KindOrder}
	if model, draft := strings.CutPrefix(r.text, draftPrefix); draft {
		result.Kind, result.Model = rtdocument.KindDraft, rtid.Model(model)
	}
	return result
}

// buildOrganisations merges the rows of each organisation. Share is the smallest
// of its shares and Shares holds those that differ, so that a program that
// supports only Share never allows more than planned.
func buildOrganisations(rows []parsedRow) []rtdocument.Organisation {
	var result []rtdocument.Organisation
	index := make(map[string]int)
	for _, r := range rows {
		i, known := index[r.name]
		if !known {
			i = len(result)
			index[r.name] = i
			result = append(result, rtdocument.Organisation{Name: rtid.Organisation(r.name), Share: r.number, Shares: make(map[rtid.Service]float64)})
		}
		organisation := &result[i]
		organisation.Services = append(organisation.Services, rtid.Service(r.service))
		organisation.Share = min(organisation.Share, r.number)
		organisation.Shares[rtid.Service(r.service)] = r.number
	}
	for i := range result {
		removeEqualShares(result[i].Shares, result[i].Share)
	}
	return result
}

func removeEqualShares(shares map[rtid.Service]float64, share float64) {
	for service, value := range shares {
		if value == share {
			delete(shares, service)
		}
	}
}

func (s *sheet) buildZones() []rtdocument.Zone {
	var result []rtdocument.Zone
	capacities := make(map[string]map[rtid.Service]float64)
	for _, r := range s.zones {
		capacities[r.name] = make(map[rtid.Service]float64)
		result = append(result, rtdocument.Zone{Name: rtid.Zone(r.name), State: rtdocument.ZoneState(r.text), Capacity: capacities[r.name]})
	}
	for _, r := range s.capacities {
		if capacity, known := capacities[r.name]; known {
			capacity[rtid.Service(r.service)] = r.number
		}
	}
	return result
}
