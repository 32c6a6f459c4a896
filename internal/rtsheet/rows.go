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

// maxSheetSize limits memory use. The sheet of a document of the maximum size is
// about three times as large as the document.
const maxSheetSize rtid.Bytes = 16 << 20

const byteOrderMark = "\xef\xbb\xbf"

// column is the name of a column of the sheet.
type column string

const (
	columnKind    column = "kind"
	columnName    column = "name"
	columnZone    column = "zone"
	columnService column = "service"
	columnValue   column = "value"
)

var columns = []column{columnKind, columnName, columnZone, columnService, columnValue}

// cell is a value of a row, without surrounding white space.
type cell struct {
	text     string
	location rtfinding.Location
}

// row is a row of the sheet with one cell for each known column.
type row struct {
	line  int
	cells map[column]cell
}

// readRows returns the rows below the header, without blank ones.
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
	header   []column // columns in file order; "" for a column without a name
	findings *rtfinding.List
}

// nextRecord returns the next non-blank record and its line, or nil at the end of
// the file. Records that are not valid CSV are reported and skipped.
func (r *rowReader) nextRecord() ([]string, int) {
	for {
		record, err := r.csv.Read()
		if errors.Is(err, io.EOF) {
			return nil, 0
		}
		if err != nil {
			r.addCSVError(err)
			continue
		}
		if !isBlank(record) {
			line, _ := r.csv.FieldPos(0)
			return record, line
		}
	}
}

func (r *rowReader) addCSVError(err error) {
	location := rtfinding.Location{File: r.name}
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		location.Line = parseError.StartLine
		err = parseError.Err
	}
	r.findings.Add(location, "row is not valid CSV: %v", err)
}

func isBlank(record []string) bool {
	for _, text := range record {
		if strings.TrimSpace(text) != "" {
			return false
		}
	}
	return true
}

// readHeader reads the header and reports whether it has all columns.
func (r *rowReader) readHeader() bool {
	record, line := r.nextRecord()
	if record == nil {
		r.findings.Add(rtfinding.Location{File: r.name}, "sheet has no header")
		return false
	}
	seen := make(map[column]bool)
	for i, text := range record {
		name := column(strings.ToLower(strings.TrimSpace(text)))
		location := rtfinding.Location{File: r.name, Line: line, Column: i + 1, Field: string(name)}
		switch {
		case name == "":
		case !slices.Contains(columns, name):
			r.findings.Add(location, "unknown column")
		case seen[name]:
			r.findings.Add(location, "column is given twice")
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
		record, line := r.nextRecord()
		if record == nil {
			return rows
		}
		rows = append(rows, r.newRow(record, line))
	}
}

func (r *rowReader) newRow(record []string, line int) row {
	result := row{line: line, cells: make(map[column]cell, len(columns))}
	for i, name := range r.header {
		if _, given := result.cells[name]; given || !slices.Contains(columns, name) {
			continue
		}
		c := cell{location: rtfinding.Location{File: r.name, Line: line, Column: i + 1, Field: string(name)}}
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
