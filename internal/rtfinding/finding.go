// Package rtfinding collects errors and warnings about an input file with their
// locations, so that all of them are reported together.
package rtfinding

import (
	"fmt"
	"sort"
	"strings"
)

// Location is the position of a finding in an input. Zero fields are not printed.
type Location struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`   // starts at 1
	Column int    `json:"column,omitempty"` // starts at 1
	Field  string `json:"field,omitempty"`  // key, name of a column or JSON path
}

// String returns the location in the form file:line:column: field.
func (l Location) String() string {
	parts := make([]string, 0, 4)
	if l.File != "" {
		parts = append(parts, l.File)
	}
	if l.Line > 0 {
		parts = append(parts, fmt.Sprint(l.Line))
	}
	if l.Column > 0 {
		parts = append(parts, fmt.Sprint(l.Column))
	}
	text := strings.Join(parts, ":")
	switch {
	case l.Field == "":
		return text
	case text == "":
		return l.Field
	default:
		return text + ": " + l.Field
	}
}

// Finding is one error or warning about an input.
type Finding struct {
	Location Location `json:"place"`
	Text     string   `json:"text"`
	Warning  bool     `json:"warning,omitempty"` // the input is valid in spite of this finding
}

// String returns the finding in the form location: text.
func (f Finding) String() string {
	text := f.Text
	if f.Warning {
		text = "warning: " + text
	}
	if location := f.Location.String(); location != "" {
		return location + ": " + text
	}
	return text
}

// List collects findings. The zero value is ready to use.
type List struct {
	findings []Finding
}

// Add appends an error, which makes the input invalid.
func (l *List) Add(location Location, format string, args ...any) {
	l.findings = append(l.findings, Finding{Location: location, Text: fmt.Sprintf(format, args...)})
}

// Warn appends a warning, which leaves the input valid.
func (l *List) Warn(location Location, format string, args ...any) {
	l.findings = append(l.findings, Finding{Location: location, Text: fmt.Sprintf(format, args...), Warning: true})
}

// Append appends all findings of other.
func (l *List) Append(other List) {
	l.findings = append(l.findings, other.findings...)
}

// All returns the findings sorted by file, line and column. Findings at the same
// location keep their order.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.findings...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i].Location, sorted[j].Location
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return sorted
}

// Err returns nil if the list has no errors, and otherwise an *Error with all
// findings, warnings included.
func (l *List) Err() error {
	for _, finding := range l.findings {
		if !finding.Warning {
			return &Error{Findings: l.All()}
		}
	}
	return nil
}

// Error is the error for an invalid input. Its text has one line per finding.
type Error struct {
	Findings []Finding
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, finding := range e.Findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}
