package rtsheet

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// maxCapacity, in requests per second, is over five times the peak of the largest
// fleet that the system is designed for. A larger number is a typing error.
const maxCapacity = 1e6

const draftPrefix = "draft:"

const nameRule = "want 1 to 64 letters, digits, hyphens and underscores"

// The kinds of rows.
const (
	kindService      = "service"
	kindOrganisation = "organisation"
	kindZone         = "zone"
	kindCapacity     = "capacity"
	kindRevision     = "revision"
)

// columnsByKind lists the columns that a row of each kind fills. All others must
// be blank.
var columnsByKind = map[string][]column{
	kindService:      {columnName, columnValue},
	kindOrganisation: {columnName, columnService, columnValue},
	kindZone:         {columnName, columnValue},
	kindCapacity:     {columnZone, columnService, columnValue},
	kindRevision:     {columnValue},
}

// parsedRow is a row with its parsed values.
type parsedRow struct {
	row     row
	name    string  // of the service, organisation or availability zone
	service string  // of organisation and capacity rows
	text    string  // value of service and zone rows
	number  float64 // value of organisation and capacity rows; 0 if it has a finding
}

// sheet holds the parsed rows by kind. Rows with findings are kept as well, so
// that rows which refer to their names cause no further findings.
type sheet struct {
	name          string
	findings      rtfinding.List
	revision      rtid.Revision
	services      []parsedRow
	organisations []parsedRow // one for each organisation and service
	zones         []parsedRow
	capacities    []parsedRow    // one for each availability zone and service
	lines         map[string]int // line of each row by rowKey
}

func newSheet(name string) *sheet {
	return &sheet{name: name, lines: make(map[string]int)}
}

func (s *sheet) addFinding(c cell, format string, args ...any) {
	s.findings.Add(c.location, format, args...)
}

func (s *sheet) addRow(r row) {
	kind := strings.ToLower(r.cells[columnKind].text)
	filled, known := columnsByKind[kind]
	if !known {
		s.addFinding(r.cells[columnKind], "kind %q is not service, organisation, zone, capacity or revision", kind)
		return
	}
	if !s.checkColumns(r, kind, filled) || s.checkRepeated(r, kind, filled) {
		return
	}
	value := r.cells[columnValue]
	parsed := parsedRow{row: r, name: r.cells[filled[0]].text, service: r.cells[columnService].text, text: value.text}
	switch kind {
	case kindService:
		s.checkServiceValue(value)
		s.services = append(s.services, parsed)
	case kindOrganisation:
		parsed.number = s.parseShare(value)
		s.organisations = append(s.organisations, parsed)
	case kindZone:
		s.checkState(value)
		s.zones = append(s.zones, parsed)
	case kindCapacity:
		parsed.number = s.parseCapacity(value)
		s.capacities = append(s.capacities, parsed)
	case kindRevision:
		s.setRevision(value)
	}
}

// checkColumns checks which columns are filled and the names in them. It reports
// whether the cells that identify the row are valid.
func (s *sheet) checkColumns(r row, kind string, filled []column) bool {
	usable := true
	for _, name := range columns[1:] {
		c := r.cells[name]
		switch used := slices.Contains(filled, name); {
		case !used && c.text != "":
			s.addFinding(c, "%q is not blank; rows of kind %s do not use this column", c.text, kind)
		case used && name != columnValue && !rtid.ValidName(c.text):
			s.addFinding(c, "name %q: %s", c.text, nameRule)
			usable = false
		}
	}
	return usable
}

// rowKey returns the key that identifies a row among those of all kinds. Names
// contain no commas, so keys are unambiguous.
func rowKey(kind string, names ...string) string {
	return kind + "," + strings.Join(names, ",")
}

// checkRepeated reports whether an earlier row has the same key, and adds a
// finding if so.
func (s *sheet) checkRepeated(r row, kind string, filled []column) bool {
	var names []string
	for _, name := range filled[:len(filled)-1] {
		names = append(names, r.cells[name].text)
	}
	key := rowKey(kind, names...)
	line, exists := s.lines[key]
	if !exists {
		s.lines[key] = r.line
		return false
	}
	s.addFinding(r.cells[filled[0]], "repeats line %d: %s", line, strings.Join(append([]string{kind}, names...), " "))
	return true
}

func (s *sheet) checkServiceValue(c cell) {
	model, draft := strings.CutPrefix(c.text, draftPrefix)
	switch {
	case draft && !rtdocument.ValidModel(rtid.Model(model)):
		s.addFinding(c, "model %q: want 1 to 64 letters, digits, dots, hyphens and underscores, not beginning with a dot", model)
	case !draft && c.text != string(rtdocument.KindOrder):
		s.addFinding(c, "value %q is not draft:MODEL or order", c.text)
	}
}

func (s *sheet) checkState(c cell) {
	state := rtdocument.ZoneState(c.text)
	if state != rtdocument.ZoneInService && state != rtdocument.ZoneOutOfService {
		s.addFinding(c, "state %q is not in or out", c.text)
	}
}

func (s *sheet) parseShare(c cell) float64 {
	share, ok := s.parseNumber(c, "share")
	if ok && (share <= 0 || share > 1) {
		s.addFinding(c, "share %s is not over 0 and at most 1", c.text)
		return 0
	}
	return share
}

func (s *sheet) parseCapacity(c cell) float64 {
	capacity, ok := s.parseNumber(c, "capacity")
	switch {
	case !ok:
		return 0
	case capacity < 0:
		s.addFinding(c, "capacity %s is negative", c.text)
		return 0
	case capacity > maxCapacity:
		s.addFinding(c, "capacity %s is impossible, at most %.0f requests/s are accepted", c.text, maxCapacity)
		return 0
	}
	return capacity
}

// parseNumber accepts decimal numbers only: ParseFloat alone would also accept
// hexadecimal numbers, infinity and NaN.
func (s *sheet) parseNumber(c cell, quantity string) (float64, bool) {
	number, err := strconv.ParseFloat(c.text, 64)
	if err != nil || strings.Trim(c.text, "0123456789.+-eE") != "" {
		s.addFinding(c, "%s %q is not a decimal number such as 0.4", quantity, c.text)
		return 0, false
	}
	return number, true
}

func (s *sheet) setRevision(c cell) {
	revision, err := strconv.ParseUint(c.text, 10, 64)
	if err != nil || revision == 0 {
		s.addFinding(c, "revision %q is not a whole number of at least 1", c.text)
		return
	}
	s.revision = rtid.Revision(revision)
}
