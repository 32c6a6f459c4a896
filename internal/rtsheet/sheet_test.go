package rtsheet

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const valid = `kind,name,zone,service,value
service,summaries,,,draft:court-1
service,filings,,,order
organisation,high-court,,summaries,0.4
organisation,high-court,,filings,1
zone,wdh-a,,,in
capacity,,wdh-a,summaries,120
capacity,,wdh-a,filings,0
`

// Guards against spreadsheet exports that are rejected or compiled differently
// although they differ only in quotes, line ends, blanks or the order of rows.
func TestParse(t *testing.T) {
	want := rtdocument.Document{
		Organisations: []rtdocument.Organisation{{Name: "high-court", Services: []rtid.Service{"filings", "summaries"}, Share: 0.4,
			Shares: map[rtid.Service]float64{"filings": 1}}},
		Services: []rtdocument.Service{{Name: "filings", Kind: rtdocument.KindOrder}, {Name: "summaries", Kind: rtdocument.KindDraft, Model: "court-1"}},
		Zones:    []rtdocument.Zone{{Name: "wdh-a", State: rtdocument.ZoneInService, Capacity: map[rtid.Service]float64{"summaries": 120, "filings": 0}}},
	}
	lines := strings.Split(strings.TrimSpace(valid), "\n")
	quoted := strings.ReplaceAll(`"`+strings.Join(lines, "\"\n\"")+`"`, ",", `","`)
	tests := []struct{ name, text string }{
		{"plain", valid},
		{"byte-order mark", byteOrderMark + valid},
		{"byte-order mark and quotes", byteOrderMark + quoted},
		{"CRLF", strings.ReplaceAll(valid, "\n", "\r\n")},
		{"blank rows and columns", strings.ReplaceAll(valid, "\n", ",, \n") + ",,,,,,\n\n , \n"},
		{"no line end at the end", strings.TrimSpace(valid)},
		{"blanks around values", strings.ReplaceAll(valid, ",", " , ")},
		{"another order of rows", lines[0] + "\n" + lines[7] + "\n" + lines[4] + "\n" + strings.Join(lines[5:7], "\n") + "\n" + strings.Join(lines[1:4], "\n")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			document, findings := Parse("s.csv", strings.NewReader(test.text))
			if err := findings.Err(); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(document, want) {
				t.Errorf("got %+v\nwant %+v", document, want)
			}
		})
	}
}

// Guards against faults in a sheet that are not reported, that suppress other
// findings, or that are reported without their cell.
func TestFindings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string // substrings of the findings, in order; no others are allowed
	}{
		{"empty", "", []string{"s.csv: sheet has no header"}},
		{"header", strings.Replace(valid, "zone,service", "region,kind", 1), []string{
			"s.csv:1: zone: column is missing", "s.csv:1: service: column is missing", "s.csv:1:3: region: unknown column", "s.csv:1:4: kind: column is given twice"}},
		{"only a header", "kind,name,zone,service,value\n", []string{"no row of kind service", "no row of kind organisation", "no row of kind zone"}},
		{"not CSV", valid + "zone,\"a\"b,,,in\n" + "zone,a,,,on\n", []string{"s.csv:9: row is not valid CSV",
			"s.csv:10:2: name: availability zone a has no row of kind capacity for service summaries", "for service filings", "s.csv:10:5: value: state \"on\""}},
		{"kind", valid + "zones,a,,,in\n", []string{`s.csv:9:1: kind: kind "zones"`}},
		{"columns", valid + "service,letters,x,y,order,z\ncapacity,,wdh-a,letters,1\n", []string{`s.csv:9:3: zone: "x" is not blank`, `s.csv:9:4: service: "y" is not blank`, `s.csv:9:6: value "z" is outside`}},
		{"names", valid + "zone,a b,,,in\norganisation,,,filings,0.1\n", []string{`s.csv:9:2: name: name "a b"`, `s.csv:10:2: name: name ""`}},
		{"repeated rows", valid + "organisation,high-court,,filings,0.1\nservice,filings,,,order\nzone,wdh-a,,,out\ncapacity,,wdh-a,filings,3\n", []string{
			"s.csv:9:2: name: repeats line 5: organisation high-court filings", "s.csv:10:2: name: repeats line 3: service filings",
			"s.csv:11:2: name: repeats line 6: zone wdh-a", "s.csv:12:3: zone: repeats line 8: capacity wdh-a filings"}},
		{"unknown service", valid + "organisation,high-court,,letters,0.1\ncapacity,,wdh-a,letters,1\n", []string{`s.csv:9:4: service: service "letters" has no row`, `s.csv:10:4: service: service "letters" has no row`}},
		{"values", valid + "service,a,,,draft:\nservice,b,,,call\ncapacity,,wdh-a,a,1\ncapacity,,wdh-a,b,1\nzone,c,,,\ncapacity,,c,a,1\ncapacity,,c,b,1\ncapacity,,c,filings,1\ncapacity,,c,summaries,1\n",
			[]string{`s.csv:9:5: value: model ""`, `s.csv:10:5: value: value "call"`, `s.csv:13:5: value: state ""`}},
		{"shares", strings.NewReplacer("0.4", "0", "filings,1", "filings,1.01").Replace(valid), []string{"s.csv:4:5: value: share 0 is", "s.csv:5:5: value: share 1.01 is"}},
		{"share of another form", strings.Replace(valid, "0.4", `"0,4"`, 1), []string{`s.csv:4:5: value: share "0,4" is not a decimal number`}},
		{"sum of shares", valid + "organisation,b,,summaries,0.7\norganisation,c,,summaries,0.2\n", []string{"s.csv:2:2: name: shares of service summaries add up to 1.3, at most 1 is possible; lines 4, 9, 10"}},
		{"negative capacity", strings.Replace(valid, "120", "-1", 1), []string{"s.csv:7:5: value: capacity -1 is negative"}},
		{"impossible capacity", strings.Replace(valid, "120", "1e7", 1), []string{"s.csv:7:5: value: capacity 1e7 is impossible"}},
		{"capacity that is no number", strings.Replace(valid, "120", "Inf", 1), []string{`s.csv:7:5: value: capacity "Inf"`}},
		{"zone without a row", valid + "capacity,,wdh-b,filings,1\n", []string{`s.csv:9:3: zone: availability zone "wdh-b" has no row`}},
		{"zone without capacity", valid + "zone,wdh-b,,,out\ncapacity,,wdh-b,filings,1\n", []string{"s.csv:9:2: name: availability zone wdh-b has no row of kind capacity for service summaries"}},
		{"revision", valid + "revision,,,,0\n", []string{"s.csv:9:5: value: revision \"0\""}},
		{"revision twice", valid + "revision,,,,7\nrevision,,,,8\n", []string{"s.csv:10:5: value: repeats line 9: revision"}},
		{"over 1 MiB compiled", strings.Replace(valid, "filings,1\n", "filings,0.5\n", 1) + rows(9_000, "organisation,a-long-name-of-an-organisation-%d,,filings,1e-9\n"), []string{"s.csv: compiled document has"}},
		{"over 1 MiB compiled and a wrong value", valid + rows(9_000, "organisation,a-long-name-of-an-organisation-%d,,filings,1e-9\n"), []string{"s.csv: compiled document has", "s.csv:3:2: name: shares of service filings add up"}},
		{"hostile size", "kind,name,zone,service,value\n" + rows(2000, "service,s%d,,,order\n") + "organisation,a,,s1,1\n" + rows(2000, "zone,z%d,,,in\n"), []string{"2000 availability zones with 2000 services do not fit"}},
		{"over 16 MiB", strings.Repeat(" ", int(maxSheetSize)+1), []string{"s.csv: sheet has over"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, findings := Parse("s.csv", strings.NewReader(test.text))
			all := findings.All()
			if len(all) != len(test.want) {
				t.Fatalf("got %d findings, want %d:\n%v", len(all), len(test.want), findings.Err())
			}
			for i, want := range test.want {
				if !strings.Contains(all[i].String(), want) {
					t.Errorf("finding %d: got %s, want %s", i, all[i], want)
				}
			}
		})
	}
}

func rows(n int, format string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// Guards against a base or a revision that does not follow the document in force.
func TestSetRevision(t *testing.T) {
	inForce := &rtdocument.Document{Revision: 6, Base: 5}
	tests := []struct {
		name            string
		sheet, revision rtid.Revision
		inForce         *rtdocument.Document
		want, base      rtid.Revision
	}{
		{"first", 0, 0, nil, 1, 0},
		{"after", 0, 0, inForce, 7, 6},
		{"sheet", 9, 0, inForce, 9, 6},
		{"flag", 9, 12, inForce, 12, 6},
	}
	for _, test := range tests {
		document := rtdocument.Document{Revision: test.sheet}
		SetRevision(&document, test.revision, test.inForce)
		if document.Revision != test.want || document.Base != test.base {
			t.Errorf("%s: got revision %d, base %d, want %d, %d", test.name, document.Revision, document.Base, test.want, test.base)
		}
	}
}

// Guards against input that crashes the compiler, and against sheets without
// findings whose compiled document is rejected by processes or decodes to other
// values.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, findings := Parse("s.csv", bytes.NewReader(data))
		if findings.Err() != nil {
			for _, finding := range findings.All() {
				if finding.Location.File != "s.csv" {
					t.Errorf("finding without the file name s.csv: %s", finding)
				}
			}
			return
		}
		SetRevision(&document, 0, nil)
		encoded, err := rtdocument.Encode(&document)
		if err != nil {
			t.Fatal(err)
		}
		decoded, refused := rtdocument.Decode(encoded)
		if err := refused.Err(); err != nil {
			t.Fatal(err)
		}
		again, err := rtdocument.Encode(&decoded)
		if err != nil || !bytes.Equal(encoded, again) {
			t.Errorf("decoding and encoding changes the document: error %v, encoded\n%s\nencoded again\n%s", err, encoded, again)
		}
	})
}
