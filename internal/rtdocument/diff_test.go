package rtdocument

import (
	"slices"
	"strings"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against changes that are missing from the diff that operators see
// before they publish.
func TestDiff(t *testing.T) {
	decode := func(replacements ...string) *Document {
		document, findings := Decode([]byte(strings.NewReplacer(replacements...).Replace(valid)))
		if err := findings.Err(); err != nil {
			t.Fatal(err)
		}
		return &document
	}
	from := decode()
	to := decode(`"revision": 2, "base": 1`, `"revision": 3, "base": 2`, `"share": 0.4`, `"share": 0.5`,
		`"court-1.5"`, `"court-2"`, `"wdh-b"`, `"wdh-c"`, `"summaries": 120`, `"filings": 3`, `"in"`, `"out"`)
	slices.Reverse(to.Zones)
	changes, warnings := Diff(from, to)
	want := []string{
		"service summaries: model from court-1.5 to court-2",
		"organisation high-court: share of service summaries from 0.4 to 0.5",
		"availability zone wdh-b removed",
		"availability zone wdh-a: state from in to out",
		"availability zone wdh-a: capacity for service filings from 0 to 3 requests/s",
		"availability zone wdh-a: capacity for service summaries from 120 to 0 requests/s",
		"availability zone wdh-c added",
		"availability zone wdh-c: state out",
	}
	if !slices.Equal(changes, want) {
		t.Errorf("changes: got\n%s\nwant\n%s", strings.Join(changes, "\n"), strings.Join(want, "\n"))
	}
	if all := warnings.All(); len(all) != 1 || !strings.Contains(all[0].Text, "last availability zone that is in out: wdh-a") {
		t.Errorf("warnings: got %v", all)
	}
	to = decode(`"revision": 2, "base": 1`, `"revision": 3, "base": 1`)
	to.Organisations[0].Services = []rtid.Service{"filings"}
	to.Organisations = append(to.Organisations, Organisation{Name: "b", Services: []rtid.Service{"filings"}, Share: 0.1})
	changes, warnings = Diff(from, to)
	want = []string{"organisation b added", "organisation b: may reach service filings with share 0.1", "organisation high-court: may no longer reach service summaries"}
	if !slices.Equal(changes, want) {
		t.Errorf("changes: got %q, want %q", changes, want)
	}
	if all := warnings.All(); len(all) != 1 || !strings.Contains(all[0].Text, "made from revision 1, not from 2") {
		t.Errorf("warnings of another base: got %v", all)
	}
}
