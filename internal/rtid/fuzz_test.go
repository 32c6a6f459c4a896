package rtid

import "testing"

// FuzzParseRequest guards against IDs from callers that crash the parser or
// contain an invalid target name, and against a home that changes when it is
// encoded and parsed.
func FuzzParseRequest(f *testing.F) {
	f.Add(string(NewRequest(Home{Kind: KindDraft, Target: "engine-1", Incarnation: 1, Epoch: 2, OrganisationHash: HashOrganisation("court")})))
	f.Add("o.service-1.dc6acfac00.0.05f4dda6.0123456789abcdef0123456789abcdef")
	f.Add("o..0.0.0.0123456789abcdef0123456789abcdef")
	f.Add("d.a.ffffffffffffffff.ffffffff.ffffffff.0123456789abcdef0123456789abcdef")
	f.Add("d.a.+1.-1.0x1.0123456789abcdef0123456789abcdef")
	f.Add("....." + "\x00\xff")
	f.Fuzz(func(t *testing.T, text string) {
		home, err := ParseRequest(Request(text))
		if err != nil {
			return
		}
		if !ValidName(string(home.Target)) {
			t.Errorf("%q names the target %q", text, home.Target)
		}
		again, err := ParseRequest(NewRequest(home))
		if err != nil || again != home {
			t.Errorf("%q: home %+v becomes %+v, %v", text, home, again, err)
		}
	})
}
