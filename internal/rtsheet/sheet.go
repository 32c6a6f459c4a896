// Package rtsheet compiles the planners' sheet, a CSV file, to the document
// that operators publish.
package rtsheet

import (
	"io"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Parse returns the document that a sheet describes, with all findings. Name
// is the file name in the findings. The document may only be used if the
// findings have no error. Its revision is 0 if the sheet gives none.
func Parse(name string, r io.Reader) (rtdocument.Document, rtfinding.List) {
	s := newSheet(name)
	for _, row := range readRows(name, r, &s.findings) {
		s.addRow(row)
	}
	s.checkReferences()
	s.checkCapacities()
	s.checkShares()
	document := s.document()
	s.checkDocument(document)
	return document, s.findings
}

// checkDocument applies the checks that processes make before they accept a
// document, so that a sheet without findings compiles to one they accept.
func (s *sheet) checkDocument(document rtdocument.Document) {
	if document.Revision == 0 {
		document.Revision = 1
	}
	place := rtfinding.Location{File: s.name}
	data, err := rtdocument.Encode(&document)
	if err != nil {
		s.findings.Add(place, "%v", err)
		return
	}
	if size := rtid.Bytes(len(data)); size > rtdocument.MaxSize {
		s.findings.Add(place, "compiled document has %d bytes, at most %d are possible", size, rtdocument.MaxSize)
	}
	if s.findings.Err() != nil {
		return // findings on the document would repeat those on the rows
	}
	_, decoded := rtdocument.Decode(data)
	for _, finding := range decoded.All() {
		place.Field = finding.Location.Field
		if finding.Warning {
			s.findings.Warn(place, "%s", finding.Text)
			continue
		}
		s.findings.Add(place, "compiled document: %s", finding.Text)
	}
}

// SetRevision sets base and revision of a compiled document. After is the
// document in force, nil for the first one. Revision is the operators' choice;
// 0 keeps the sheet's own, or else takes the one after the base.
func SetRevision(document *rtdocument.Document, revision rtid.Revision, after *rtdocument.Document) {
	document.Base = 0
	if after != nil {
		document.Base = after.Revision
	}
	if revision != 0 {
		document.Revision = revision
	}
	if document.Revision == 0 {
		document.Revision = document.Base + 1
	}
}
