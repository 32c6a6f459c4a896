// Package rtsheet compiles the planners' sheet, a CSV file, into the
// configuration document that operators publish.
package rtsheet

import (
	"io"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Parse compiles a sheet into a document. Name is the file name in the findings.
// The document may be used only if Err of the findings returns nil. Its revision
// is 0 if the sheet has no row of kind revision.
func Parse(name string, r io.Reader) (rtdocument.Document, rtfinding.List) {
	s := newSheet(name)
	for _, row := range readRows(name, r, &s.findings) {
		s.addRow(row)
	}
	s.checkReferences()
	s.checkCapacities()
	s.checkShares()
	document := s.buildDocument()
	s.checkDocument(document)
	return document, s.findings
}

// checkDocument applies the checks with which processes validate a document, so
// that a sheet without findings compiles into a document that they accept.
func (s *sheet) checkDocument(document rtdocument.Document) {
	if document.Revision == 0 {
		document.Revision = 1
	}
	location := rtfinding.Location{File: s.name}
	data, err := rtdocument.Encode(&document)
	if err != nil {
		s.findings.Add(location, "%v", err)
		return
	}
	if size := rtid.Bytes(len(data)); size > rtdocument.MaxSize {
		s.findings.Add(location, "compiled document has %d bytes, at most %d are possible", size, rtdocument.MaxSize)
	}
	if s.findings.Err() != nil {
		return // findings about the document would repeat those about the rows
	}
	_, findings := rtdocument.Decode(data)
	for _, finding := range findings.All() {
		location.Field = finding.Location.Field
		if finding.Warning {
			s.findings.Warn(location, "%s", finding.Text)
			continue
		}
		s.findings.Add(location, "compiled document: %s", finding.Text)
	}
}

// SetRevision sets the base and the revision of a compiled document. The base is
// the revision of inForce, the document in force, or 0 if inForce is nil. A
// revision other than 0 replaces that of the sheet. If both are 0, the document
// gets the base plus 1.
func SetRevision(document *rtdocument.Document, revision rtid.Revision, inForce *rtdocument.Document) {
	document.Base = 0
	if inForce != nil {
		document.Base = inForce.Revision
	}
	if revision != 0 {
		document.Revision = revision
	}
	if document.Revision == 0 {
		document.Revision = document.Base + 1
	}
}
