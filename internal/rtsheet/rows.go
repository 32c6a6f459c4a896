package rtsheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// maxSheetSize bounds memory. A sheet of the largest document has about three
// times the size of the document.
const maxSheetSize rtid.Bytes = 16 << 20

const byteOrderMark = "\xef\xbb\xbf"

// column is a column of the sheet.
type column string

const (
	columnKind    column = "kind"
	columnName    column = "name"
	columnZone    column = "zone"
	columnService column = "service"
	columnValue   column = "value"
)

var columns = []column{columnKind, columnName, columnZone, columnService, columnValue}

// cell is a value of a row, without surrounding blanks.
type cell struct {
	text  string
	place rtfinding.Location
}

// row is a row of the sheet with one cell a column.
type row struct {
	line  int
	cells map[column]cell
}

// readRows returns the rows below the header that are not blank.
func readRows(name string, r io.Reader, findings *rtfinding.List) []row {
	data, err := io.ReadAll(io.LimitReader(r, int64(maxSheetSize)+1))
	if err != nil {
		findings.Add(rtfinding.Location{File: name}, "cannot be read: %v", err)
		return nil
	}
	if rtid.Bytes(len(data)) > maxSheetSize {
		findings.Add(rtfinding.Location{File: name}, "sheet has over %d bytes", maxSheetSize)
		return nil
	}
	reader := rowReader{name: name, findings: findings}
	reader.csv = csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte(byteOrderMark))))
	reader.csv.FieldsPerRecord = -1 // blank trailing columns are accepted
	if !reader.readHeader() {
		return nil
	}
	return reader.readBody()
}

type rowReader struct {
	name     string
	csv      *csv.Reader
	header   []column // columns in the order of the file; blank for a column without name
	findings *rtfinding.List
}

// next returns the next record that is not blank with its line, or nil at the
// end. Records that are not valid CSV are reported and passed over.
func (r *rowReader) next() ([]string, int) {
	for {
		record, err := r.csv.Read()
		if errors.Is(err, io.EOF) {
			return nil, 0
		}
		if err != nil {
			r.addError(err)
			continue
		}
		if !blank(record) {
			line, _ := r.csv.FieldPos(0)
			return record, line
		}
	}
}

func (r *rowReader) addError(err error) {
	place := rtfinding.Location{File: r.name}
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		place.Line = parse.StartLine
		err = parse.Err
	}
	r.findings.Add(place, "row is not valid CSV: %v", err)
}

func blank(record []string) bool {
	for _, text := range record {
		if strings.TrimSpace(text) != "" {
			return false
		}
	}
	return true
}

// readHeader reports whether all columns were found.
func (r *rowReader) readHeader() bool {
	record, line := r.next()
	if record == nil {
		r.findings.Add(rtfinding.Location{File: r.name}, "sheet has no header")
		return false
	}
	seen := make(map[column]bool)
	for i, text := range record {
		name := column(strings.ToLower(strings.TrimSpace(text)))
		place := rtfinding.Location{File: r.name, Line: line, Column: i + 1, Field: string(name)}
		switch {
		case name == "":
		case !slices.Contains(columns, name):
			r.findings.Add(place, "unknown column")
		case seen[name]:
			r.findings.Add(place, "column is given twice")
		}
		seen[name] = true
		r.header = append(r.header, name)
	}
	complete := true
	for _, name := range columns {
		if !seen[name] {
			r.findings.Add(rtfinding.Location{File: r.name, Line: line, Field: string(name)}, "column is missing")
			complete = false
		}
	}
	return complete
}

func (r *rowReader) readBody() []row {
	var rows []row
	for {
		record, line := r.next()
		if record == nil {
			return rows
		}
		rows = append(rows, r.row(record, line))
	}
}

func (r *rowReader) row(record []string, line int) row {
	result := row{line: line, cells: make(map[column]cell, len(columns))}
	for i, name := range r.header {
		if _, given := result.cells[name]; given || !slices.Contains(columns, name) {
			continue
		}
		c := cell{place: rtfinding.Location{File: r.name, Line: line, Column: i + 1, Field: string(name)}}
		if i < len(record) {
			c.text = strings.TrimSpace(record[i])
		}
		result.cells[name] = c
	}
	for i, text := range record {
		if strings.TrimSpace(text) != "" && (i >= len(r.header) || r.header[i] == "") {
			r.findings.Add(rtfinding.Location{File: r.name, Line: line, Column: i + 1}, "value %q is outside the columns of the header", text)
		}
	}
	return result
}
