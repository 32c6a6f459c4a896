package rtsheet

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// maxCapacity in requests per second is over five times the peak of the whole
// fleet at the size to design for. A larger number is a slip of the keyboard.
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

// columnsOf names the columns that a row of each kind fills. All others must
// be blank.
var columnsOf = map[string][]column{
	kindService:      {columnName, columnValue},
	kindOrganisation: {columnName, columnService, columnValue},
	kindZone:         {columnName, columnValue},
	kindCapacity:     {columnZone, columnService, columnValue},
	kindRevision:     {columnValue},
}

// fact is what a row says.
type fact struct {
	row     row
	name    string  // of the service, organisation or availability zone
	service string  // of organisation and capacity rows
	text    string  // value of service and zone rows
	number  float64 // value of organisation and capacity rows; 0 if it has a finding
}

// sheet collects the facts of all rows. Facts with a finding are kept as well,
// so that other rows which name them get no second finding.
type sheet struct {
	name          string
	findings      rtfinding.List
	revision      rtid.Revision
	services      []fact
	organisations []fact // one an organisation and service
	zones         []fact
	capacities    []fact         // one an availability zone and service
	lines         map[string]int // line of each row by rowKey
}

func newSheet(name string) *sheet {
	return &sheet{name: name, lines: make(map[string]int)}
}

func (s *sheet) add(c cell, format string, args ...any) {
	s.findings.Add(c.place, format, args...)
}

func (s *sheet) addRow(r row) {
	kind := strings.ToLower(r.cells[columnKind].text)
	filled, known := columnsOf[kind]
	if !known {
		s.add(r.cells[columnKind], "kind %q is not service, organisation, zone, capacity or revision", kind)
		return
	}
	if !s.checkColumns(r, kind, filled) || s.repeated(r, kind, filled) {
		return
	}
	value := r.cells[columnValue]
	f := fact{row: r, name: r.cells[filled[0]].text, service: r.cells[columnService].text, text: value.text}
	switch kind {
	case kindService:
		s.checkServiceValue(value)
		s.services = append(s.services, f)
	case kindOrganisation:
		f.number = s.share(value)
		s.organisations = append(s.organisations, f)
	case kindZone:
		s.checkState(value)
		s.zones = append(s.zones, f)
	case kindCapacity:
		f.number = s.capacity(value)
		s.capacities = append(s.capacities, f)
	case kindRevision:
		s.setRevision(value)
	}
}

// checkColumns reports whether the cells that identify the row are usable.
func (s *sheet) checkColumns(r row, kind string, filled []column) bool {
	usable := true
	for _, name := range columns[1:] {
		c := r.cells[name]
		switch used := slices.Contains(filled, name); {
		case !used && c.text != "":
			s.add(c, "%q is not blank; rows of kind %s do not use this column", c.text, kind)
		case used && name != columnValue && !rtid.ValidName(c.text):
			s.add(c, "name %q: %s", c.text, nameRule)
			usable = false
		}
	}
	return usable
}

// rowKey identifies what a row is about. Names have no commas.
func rowKey(kind string, names ...string) string {
	return kind + "," + strings.Join(names, ",")
}

// repeated reports a row about the same as an earlier one.
func (s *sheet) repeated(r row, kind string, filled []column) bool {
	var names []string
	for _, name := range filled[:len(filled)-1] {
		names = append(names, r.cells[name].text)
	}
	key := rowKey(kind, names...)
	line, repeated := s.lines[key]
	if !repeated {
		s.lines[key] = r.line
		return false
	}
	s.add(r.cells[filled[0]], "repeats line %d: %s", line, strings.Join(append([]string{kind}, names...), " "))
	return true
}

func (s *sheet) checkServiceValue(c cell) {
	model, draft := strings.CutPrefix(c.text, draftPrefix)
	switch {
	case draft && !rtdocument.ValidModel(rtid.Model(model)):
		s.add(c, "model %q: want 1 to 64 letters, digits, dots, hyphens and underscores, not beginning with a dot", model)
	case !draft && c.text != string(rtdocument.KindOrder):
		s.add(c, "value %q is not draft:MODEL or order", c.text)
	}
}

func (s *sheet) checkState(c cell) {
	state := rtdocument.ZoneState(c.text)
	if state != rtdocument.ZoneInService && state != rtdocument.ZoneOutOfService {
		s.add(c, "state %q is not in or out", c.text)
	}
}

func (s *sheet) share(c cell) float64 {
	share, ok := s.number(c, "share")
	if ok && (share <= 0 || share > 1) {
		s.add(c, "share %s is not over 0 and at most 1", c.text)
		return 0
	}
	return share
}

func (s *sheet) capacity(c cell) float64 {
	capacity, ok := s.number(c, "capacity")
	switch {
	case !ok:
		return 0
	case capacity < 0:
		s.add(c, "capacity %s is negative", c.text)
		return 0
	case capacity > maxCapacity:
		s.add(c, "capacity %s is impossible, at most %.0f requests/s are accepted", c.text, maxCapacity)
		return 0
	}
	return capacity
}

// number accepts decimal numbers only: ParseFloat also takes hexadecimal
// numbers, infinity and NaN.
func (s *sheet) number(c cell, what string) (float64, bool) {
	number, err := strconv.ParseFloat(c.text, 64)
	if err != nil || strings.Trim(c.text, "0123456789.+-eE") != "" {
		s.add(c, "%s %q is not a decimal number such as 0.4", what, c.text)
		return 0, false
	}
	return number, true
}

func (s *sheet) setRevision(c cell) {
	revision, err := strconv.ParseUint(c.text, 10, 64)
	if err != nil || revision == 0 {
		s.add(c, "revision %q is not a whole number of at least 1", c.text)
		return
	}
	s.revision = rtid.Revision(revision)
}
