package rtdocument

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Decode decodes and sorts a document and returns it with all findings of
// decoding and of Check. The document may be used only if the findings contain
// no error. Locations are JSON paths with line and column.
func Decode(data []byte) (Document, rtfinding.List) {
	var findings rtfinding.List
	if size := rtid.Bytes(len(data)); size > MaxSize {
		findings.Add(rtfinding.Location{}, "document has %d bytes, at most %d are possible", size, MaxSize)
		return Document{}, findings
	}
	root, err := parseTree(data)
	if err != nil {
		addSyntaxError(&findings, data, err)
		return Document{}, findings
	}
	reader := newTreeReader(data)
	document := reader.document(&root)
	findings.Append(reader.findings.list)
	if reader.findings.full() {
		return Document{}, findings // the rest of the document was not read
	}
	check := Check(&document)
	for _, finding := range check.All() {
		reader.addCheckFinding(&findings, finding)
	}
	document.Sort()
	return document, findings
}

func addSyntaxError(findings *rtfinding.List, data []byte, err error) {
	location := rtfinding.Location{}
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		location.Line, location.Column = newLines(data).position(syntax.offset)
	}
	findings.Add(location, "not valid JSON: %v", err)
}

// lines holds the offsets of the starts of lines.
type lines []int64

func newLines(data []byte) lines {
	starts := lines{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, int64(i)+1)
		}
	}
	return starts
}

// position returns the line and the column of an offset. Both count from 1, the
// column in bytes.
func (l lines) position(offset int64) (line, column int) {
	line = sort.Search(len(l), func(i int) bool { return l[i] > offset })
	return line, int(offset-l[line-1]) + 1
}

// treeReader converts JSON values to the types of the document. It records the
// offset of each path, so that findings of Check get a position too.
type treeReader struct {
	lines    lines
	offsets  map[string]int64
	invalid  map[string]bool // paths that have a finding
	findings limitedList
}

func newTreeReader(data []byte) *treeReader {
	return &treeReader{lines: newLines(data), offsets: make(map[string]int64), invalid: make(map[string]bool)}
}

func (r *treeReader) location(path string, offset int64) rtfinding.Location {
	line, column := r.lines.position(offset)
	return rtfinding.Location{Line: line, Column: column, Field: path}
}

func (r *treeReader) add(path string, offset int64, format string, args ...any) {
	r.invalid[path] = true
	r.findings.add(r.location(path, offset), format, args...)
}

// addCheckFinding adds a finding of Check with its position, unless the value
// could not be decoded and has a finding for that already.
func (r *treeReader) addCheckFinding(findings *rtfinding.List, finding rtfinding.Finding) {
	path := finding.Location.Field
	for parent := path; parent != ""; parent = parentPath(parent) {
		if r.invalid[parent] {
			return
		}
	}
	offset, found := r.offsets[path]
	for parent := path; !found && parent != ""; {
		parent = parentPath(parent)
		offset, found = r.offsets[parent]
	}
	location := r.location(path, offset)
	if finding.Warning {
		findings.Warn(location, "%s", finding.Text)
		return
	}
	findings.Add(location, "%s", finding.Text)
}

// parentPath returns the path without its last key or index.
func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// field is a key of an object with the function that reads its value.
type field struct {
	key      string
	optional bool
	read     func(path string, v *value)
}

// object reads the members of v with the given fields and reports unknown,
// repeated and missing keys.
func (r *treeReader) object(path string, v *value, fields ...field) {
	if !r.expect(path, v, kindObject) {
		return
	}
	seen := make(map[string]bool, len(fields))
	for i := range v.members {
		if r.findings.full() {
			return
		}
		m := &v.members[i]
		key := join(path, m.key)
		switch read := findReader(fields, m.key); {
		case read == nil:
			r.add(key, m.offset, "unknown field")
		case seen[m.key]:
			r.add(key, m.offset, "field is given twice")
		default:
			seen[m.key] = true
			r.offsets[key] = m.value.offset
			read(key, &m.value)
		}
	}
	for _, f := range fields {
		if !f.optional && !seen[f.key] {
			r.add(join(path, f.key), v.offset, "field is missing")
		}
	}
}

func findReader(fields []field, key string) func(string, *value) {
	for i := range fields {
		if fields[i].key == key {
			return fields[i].read
		}
	}
	return nil
}

func (r *treeReader) expect(path string, v *value, want kind) bool {
	r.offsets[path] = v.offset
	if v.kind == want {
		return true
	}
	r.add(path, v.offset, "is %s, want %s", v.kind, want)
	return false
}

// readArray reads each item of an array.
func readArray[T any](r *treeReader, path string, v *value, read func(path string, v *value) T) []T {
	if !r.expect(path, v, kindArray) {
		return nil
	}
	result := make([]T, 0, len(v.items))
	for i := range v.items {
		if r.findings.full() {
			break
		}
		result = append(result, read(fmt.Sprintf("%s[%d]", path, i), &v.items[i]))
	}
	return result
}

// readNumbers reads an object that maps services to numbers.
func (r *treeReader) readNumbers(path string, v *value) map[rtid.Service]float64 {
	if !r.expect(path, v, kindObject) {
		return nil
	}
	result := make(map[rtid.Service]float64, len(v.members))
	for i := range v.members {
		if r.findings.full() {
			break
		}
		m := &v.members[i]
		key := join(path, m.key)
		if _, given := result[rtid.Service(m.key)]; given {
			r.add(key, m.offset, "field is given twice")
			continue
		}
		result[rtid.Service(m.key)] = r.number(key, &m.value)
	}
	return result
}

func readString[T ~string](r *treeReader, path string, v *value) T {
	if !r.expect(path, v, kindString) {
		return ""
	}
	text, _ := v.scalar.(string)
	return T(text)
}

func (r *treeReader) number(path string, v *value) float64 {
	if !r.expect(path, v, kindNumber) {
		return 0
	}
	text, _ := v.scalar.(json.Number)
	number, err := text.Float64()
	if err != nil {
		r.add(path, v.offset, "number %s is out of range", text)
	}
	return number
}

func (r *treeReader) revision(path string, v *value) rtid.Revision {
	if !r.expect(path, v, kindNumber) {
		return 0
	}
	text, _ := v.scalar.(json.Number)
	number, err := strconv.ParseUint(text.String(), 10, 64)
	if err != nil {
		r.add(path, v.offset, "is %s, want a whole number, not negative", text)
	}
	return rtid.Revision(number)
}

func (r *treeReader) document(v *value) Document {
	var d Document
	r.object("", v,
		field{key: "revision", read: func(p string, v *value) { d.Revision = r.revision(p, v) }},
		field{key: "base", read: func(p string, v *value) { d.Base = r.revision(p, v) }},
		field{key: "organisations", read: func(p string, v *value) { d.Organisations = readArray(r, p, v, r.organisation) }},
		field{key: "services", read: func(p string, v *value) { d.Services = readArray(r, p, v, r.service) }},
		field{key: "zones", read: func(p string, v *value) { d.Zones = readArray(r, p, v, r.zone) }},
	)
	return d
}

func (r *treeReader) organisation(path string, v *value) Organisation {
	var o Organisation
	r.object(path, v,
		field{key: "name", read: func(p string, v *value) { o.Name = readString[rtid.Organisation](r, p, v) }},
		field{key: "services", read: func(p string, v *value) { o.Services = readArray(r, p, v, r.serviceName) }},
		field{key: "share", read: func(p string, v *value) { o.Share = r.number(p, v) }},
		field{key: "shares", optional: true, read: func(p string, v *value) { o.Shares = r.readNumbers(p, v) }},
	)
	return o
}

func (r *treeReader) serviceName(path string, v *value) rtid.Service {
	return readString[rtid.Service](r, path, v)
}

func (r *treeReader) service(path string, v *value) Service {
	var s Service
	r.object(path, v,
		field{key: "name", read: func(p string, v *value) { s.Name = readString[rtid.Service](r, p, v) }},
		field{key: "kind", read: func(p string, v *value) { s.Kind = readString[Kind](r, p, v) }},
		field{key: "model", optional: true, read: func(p string, v *value) { s.Model = readString[rtid.Model](r, p, v) }},
	)
	return s
}

func (r *treeReader) zone(path string, v *value) Zone {
	var z Zone
	r.object(path, v,
		field{key: "name", read: func(p string, v *value) { z.Name = readString[rtid.Zone](r, p, v) }},
		field{key: "state", read: func(p string, v *value) { z.State = readString[ZoneState](r, p, v) }},
		field{key: "capacity", read: func(p string, v *value) { z.Capacity = r.readNumbers(p, v) }},
	)
	return z
}

// Encode returns the document as JSON for publication. The order of its lists
// does not affect the bytes.
func Encode(document *Document) ([]byte, error) {
	sorted := document.clone()
	sorted.Sort()
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(sorted); err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return buffer.Bytes(), nil
}
