// Package rtfinding collects findings about input with their place, so that
// all of them are reported together.
package rtfinding

import (
	"fmt"
	"sort"
	"strings"
)

// Place is where in an input a finding is. Zero fields are not printed.
type Location struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`   // first line is 1
	Column int    `json:"column,omitempty"` // first column is 1
	Field  string `json:"field,omitempty"`  // key, column name or JSON path
}

// String returns file:line:column: field.
func (p Location) String() string {
	parts := make([]string, 0, 4)
	if p.File != "" {
		parts = append(parts, p.File)
	}
	if p.Line > 0 {
		parts = append(parts, fmt.Sprint(p.Line))
	}
	if p.Column > 0 {
		parts = append(parts, fmt.Sprint(p.Column))
	}
	text := strings.Join(parts, ":")
	switch {
	case p.Field == "":
		return text
	case text == "":
		return p.Field
	default:
		return text + ": " + p.Field
	}
}

// Finding is one fault of an input.
type Finding struct {
	Location Location `json:"place"`
	Text     string   `json:"text"`
	Warning  bool     `json:"warning,omitempty"` // a warning does not refuse the input
}

// String returns place: text.
func (f Finding) String() string {
	text := f.Text
	if f.Warning {
		text = "warning: " + text
	}
	if place := f.Location.String(); place != "" {
		return place + ": " + text
	}
	return text
}

// List holds findings in the order of their places once sorted.
// The zero value is ready to use.
type List struct {
	findings []Finding
}

// Add appends a finding that refuses the input.
func (l *List) Add(place Location, format string, args ...any) {
	l.findings = append(l.findings, Finding{Location: place, Text: fmt.Sprintf(format, args...)})
}

// Warn appends a finding that does not refuse the input.
func (l *List) Warn(place Location, format string, args ...any) {
	l.findings = append(l.findings, Finding{Location: place, Text: fmt.Sprintf(format, args...), Warning: true})
}

// Append appends all findings of other.
func (l *List) Append(other List) {
	l.findings = append(l.findings, other.findings...)
}

// All returns the findings sorted by file, line and column; findings of one
// place keep their order.
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

// Err returns nil if no finding refuses the input, else an error that lists
// all findings, one a line.
func (l *List) Err() error {
	for _, finding := range l.findings {
		if !finding.Warning {
			return &Error{Findings: l.All()}
		}
	}
	return nil
}

// Error is an input refused with its findings.
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
