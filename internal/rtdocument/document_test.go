package rtdocument

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const valid = `{
"revision": 2, "base": 1,
"organisations": [{"name": "high-court", "services": ["summaries", "filings"], "share": 0.4, "shares": {"filings": 0.6}}],
"services": [{"name": "summaries", "kind": "draft", "model": "court-1.5"}, {"name": "filings", "kind": "order"}],
"zones": [{"name": "wdh-b", "state": "out", "capacity": {}}, {"name": "wdh-a", "state": "in", "capacity": {"summaries": 120}}]
}`

// Guards against encodings that depend on the order of lists, against shares
// lost in decoding, and against empty lists encoded as null.
func TestDecodeEncode(t *testing.T) {
	document, findings := Decode([]byte(valid))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	if o := document.Organisation("high-court"); o.ShareOf("summaries") != 0.4 || o.ShareOf("filings") != 0.6 || o.ShareOf("other") != 0 {
		t.Errorf("shares: got %+v", o)
	}
	if document.Zones[0].Name != "wdh-a" || document.Services[0].Name != "filings" || document.Organisations[0].Services[0] != "filings" || document.ZoneState("wdh-b") != ZoneOutOfService {
		t.Errorf("document is not sorted: %+v", document)
	}
	first, err := Encode(&document)
	if err != nil {
		t.Fatal(err)
	}
	document.Zones[0], document.Zones[1] = document.Zones[1], document.Zones[0]
	second, err := Encode(&document)
	if err != nil || !bytes.Equal(first, second) {
		t.Errorf("encoding depends on the order of zones: %v\n%s\n%s", err, first, second)
	}
	empty, err := Encode(&Document{Zones: []Zone{{}}})
	if err != nil || bytes.Contains(empty, []byte("null")) {
		t.Errorf("encoding of an empty document: got error %v and\n%s\nwant no null", err, empty)
	}
}

// Guards against invalid documents that are accepted, findings that suppress
// others, and findings with a wrong location.
func TestDecodeFindings(t *testing.T) {
	tests := []struct {
		name     string
		old, new string   // replaced in valid
		want     []string // parts of the findings, in order; no others may occur
	}{
		{"unknown fields", `"base": 1`, `"base": 1, "Base": 1, "x": {}`, []string{`2:27: Base: unknown field`, `2:38: x: unknown field`}},
		{"field twice", `"base": 1`, `"base": 1, "base": 0`, []string{`2:27: base: field is given twice`}},
		{"missing fields", `"revision": 2, "base": 1,`, ``, []string{`1:1: revision: field is missing`, `1:1: base: field is missing`}},
		{"wrong types", `"share": 0.4`, `"share": "0.4", "name": 1`, []string{`3:89: organisations[0].share: is a string, want a number`, `3:96: organisations[0].name: field is given twice`}},
		{"null", `"capacity": {}`, `"capacity": null`, []string{`5:57: zones[0].capacity: is null, want an object`}},
		{"number out of range", `120`, `1e999`, []string{`zones[1].capacity.summaries: number 1e999 is out of range`}},
		{"revision of another form", `"revision": 2`, `"revision": 2.5`, []string{`revision: is 2.5, want a whole number`}},
		{"revision", `"revision": 2`, `"revision": 1`, []string{`2:13: revision: revision 1 is not greater than base 1`}},
		{"syntax", `"base": 1,`, `"base": 1,,`, []string{`not valid JSON`}},
		{"cut off", `]` + "\n}", ``, []string{`not valid JSON: unexpected EOF`}},
		{"text after the end", "\n}", "\n}\n7", []string{`7:1: not valid JSON: text after the end`}},
		{"depth", `"base": 1`, `"base": ` + strings.Repeat("[", 100000), []string{`not valid JSON: nested`}},
		{"size", `"base": 1`, `"base": 1` + strings.Repeat(" ", int(MaxSize)), []string{`document has`}},
		{"invalid names", `"high-court"`, `"high court"`, []string{`organisations[0].name: name "high court"`}},
		{"service twice", `"name": "filings"`, `"name": "summaries"`, []string{`3:68: organisations[0].services[1]: service "filings" is not declared`, `4:85: services[1].name: name "summaries" is given twice`}},
		{"zone twice", `"wdh-b"`, `"wdh-a"`, []string{`5:71: zones[1].name: name "wdh-a" is given twice`}},
		{"service reached twice", `["summaries", "filings"]`, `["summaries", "filings", "filings"]`, []string{`organisations[0].services[2]: service "filings" is given twice`}},
		{"share zero", `"share": 0.4`, `"share": 0`, []string{`organisations[0].share: share 0`}},
		{"share over 1", `"filings": 0.6`, `"filings": 1.1`, []string{`organisations[0].shares.filings: share 1.1`, `services[1]: shares of service "filings" add up to 1.1`}},
		{"share of another service", `"filings": 0.6`, `"letters": 0.6`, []string{`organisations[0].shares.letters: service "letters" is not among`}},
		{"sum of shares", `"share": 0.4`, `"share": 0.4}, {"name": "b", "services": ["summaries"], "share": 0.7}, {"name": "c", "services": [], "share": 1`, []string{
			`organisations[2].shares.filings: service "filings" is not among`, `services[0]: shares of service "summaries" add up to 1.1`}},
		{"state", `"state": "in"`, `"state": "on"`, []string{`5:10: zones: warning: no availability zone is in`, `zones[1].state: state "on"`}},
		{"state missing", `"state": "out", `, ``, []string{`5:11: zones[0].state: field is missing`}},
		{"capacity", `120`, `-1, "letters": 2`, []string{`zones[1].capacity.summaries: capacity -1`, `zones[1].capacity.letters: service "letters" is not declared`}},
		{"no model", `, "model": "court-1.5"`, ``, []string{`services[0].model: model ""`}},
		{"model in a path", `court-1.5`, `../x`, []string{`services[0].model: model "../x"`}},
		{"model of an order", `"kind": "order"`, `"kind": "order", "model": "m"`, []string{`services[1].model: service of kind "order" has a model`}},
		{"kind", `"kind": "order"`, `"kind": "call"`, []string{`services[1].kind: kind "call"`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(valid, test.old, test.new, 1)
			if text == valid {
				t.Fatal("nothing was replaced")
			}
			_, findings := Decode([]byte(text))
			all := findings.All()
			if len(all) != len(test.want) {
				t.Fatalf("got %d findings, want %d: %v", len(all), len(test.want), all)
			}
			for i, want := range test.want {
				if !strings.Contains(all[i].String(), want) {
					t.Errorf("finding %d: got %s, want %s", i, all[i], want)
				}
			}
		})
	}
}

// Guards against an invalid document whose findings or values exhaust the
// memory of all VMs that read it.
func TestDecodeBounds(t *testing.T) {
	const head = `{"revision":1,"base":0,"services":[],"zones":[],"organisations":[`
	const stopped = "reading stopped after 1000 findings"
	tests := []struct{ name, unit, start, end, want string }{
		{"values", `1`, head, `]}`, "more than 262144 values"},
		{"wrong types", `1000`, head, `]}`, stopped},
		{"unknown fields", `"a":1`, `{`, `}`, stopped},
		{"services not declared", `"abc"`, head + `{"name":"a","share":1,"services":[`, `]}]}`, stopped},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			count := (int(MaxSize)-len(test.start)-len(test.end))/(len(test.unit)+1) - 1
			_, findings := Decode([]byte(test.start + strings.Repeat(test.unit+",", count) + test.unit + test.end))
			all := findings.All()
			if len(all) == 0 || len(all) > maxFindings+2 || !strings.Contains(all[0].Text+all[1%len(all)].Text, test.want) {
				t.Errorf("got %d findings, the first is %v, want %s", len(all), all[:min(1, len(all))], test.want)
			}
		})
	}
}

// Guards against infinite numbers and NaN, which JSON cannot represent but a
// document that was not decoded may contain.
func TestCheckNumbers(t *testing.T) {
	for _, number := range []float64{math.Inf(1), math.NaN()} {
		d := sample(1)
		d.Organisations[0].Share = number
		d.Zones[0].Capacity["service-0"] = number
		findings := Check(d)
		fields := ""
		for _, finding := range findings.All() {
			fields += finding.Location.Field + " "
		}
		if !strings.Contains(fields, "organisations[0].share ") || !strings.Contains(fields, "zones[0].capacity.service-0 ") {
			t.Errorf("number %v was accepted: %v", number, findings.All())
		}
		if data, err := Encode(d); err == nil {
			t.Errorf("number %v was encoded: %s", number, data)
		}
	}
}

// sample returns a valid document with a number of organisations, and with the
// 9 services and 12 availability zones of the design size.
func sample(organisations int) *Document {
	d := &Document{Revision: 1}
	for i := range 9 {
		d.Services = append(d.Services, Service{Name: rtid.Service(fmt.Sprintf("service-%d", i)), Kind: KindDraft, Model: "m"})
	}
	for i := range organisations {
		o := Organisation{Name: rtid.Organisation(fmt.Sprintf("organisation-%d", i)), Share: 1 / float64(organisations)}
		for _, s := range d.Services {
			o.Services = append(o.Services, s.Name)
		}
		d.Organisations = append(d.Organisations, o)
	}
	for i := range 12 {
		z := Zone{Name: rtid.Zone(fmt.Sprintf("zone-%d", i)), State: ZoneInService, Capacity: map[rtid.Service]float64{}}
		for _, s := range d.Services {
			z.Capacity[s.Name] = 100.5
		}
		d.Zones = append(d.Zones, z)
	}
	return d
}

func BenchmarkDecode(b *testing.B) {
	for _, organisations := range []int{20, 220} {
		data, err := Encode(sample(organisations))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, findings := Decode(data); findings.Err() != nil {
					b.Fatal(findings.Err())
				}
			}
		})
	}
}
