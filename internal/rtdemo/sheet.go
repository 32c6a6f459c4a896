package rtdemo

import (
	"fmt"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsheet"
)

// sheetTemplate is a planners' sheet with three availability zones; %s is the
// state of the first.
const sheetTemplate = `kind,name,zone,service,value
service,drafts,,,draft:court-1
service,filings,,,order
organisation,high-court,,drafts,0.6
organisation,high-court,,filings,0.6
organisation,parish,,drafts,0.4
zone,wdh-a,,,%s
zone,wdh-b,,,in
zone,wdh-c,,,in
capacity,,wdh-a,drafts,40
capacity,,wdh-b,drafts,40
capacity,,wdh-c,drafts,40
capacity,,wdh-a,filings,5
capacity,,wdh-b,filings,5
capacity,,wdh-c,filings,5
`

// compileSheet returns the document of the sheet with the first availability
// zone in the given state. It follows previous, the document in force, or nil if
// there is none.
func compileSheet(state rtdocument.ZoneState, previous *rtdocument.Document) (rtdocument.Document, error) {
	text := fmt.Sprintf(sheetTemplate, state)
	document, findings := rtsheet.Parse("demo.csv", strings.NewReader(text))
	if err := findings.Err(); err != nil {
		return document, fmt.Errorf("compile demo sheet: %w", err)
	}
	rtsheet.SetRevision(&document, 0, previous)
	return document, nil
}
