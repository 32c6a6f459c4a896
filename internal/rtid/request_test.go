package rtid

import "testing"

// Guards against an ID that parses to another home than it was made from, and
// against forged or malformed IDs that are accepted.
func TestParseRequest(t *testing.T) {
	home := Home{Kind: KindOrder, Target: "filing-1", Incarnation: 1764800000000, Epoch: 3, OrganisationHash: HashOrganisation("kavango")}
	parsed, err := ParseRequest(NewRequest(home))
	if err != nil || parsed != home {
		t.Fatalf("got %+v, %v, want %+v", parsed, err, home)
	}
	if !parsed.Owns("kavango") || parsed.Owns("nepgap") {
		t.Error("Owns is wrong for the organisation of the id or for another one")
	}
	tests := []struct {
		name    string
		request Request
	}{
		{"empty", ""},
		{"kind", "x.a.1.1.00000001.00000000000000000000000000000000"},
		{"target", "o.a/b.1.1.00000001.00000000000000000000000000000000"},
		{"incarnation", "o.a.-1.1.00000001.00000000000000000000000000000000"},
		{"epoch", "o.a.1.100000000.00000001.00000000000000000000000000000000"},
		{"organisation", "o.a.1.1.g.00000000000000000000000000000000"},
		{"nonce", "o.a.1.1.00000001.0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if home, err := ParseRequest(test.request); err == nil {
				t.Errorf("accepted as %+v", home)
			}
		})
	}
}
