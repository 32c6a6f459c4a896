package rtgateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against copies of a request that processes take for different ones, and against
// different requests that are taken for copies.
func TestWholePart(t *testing.T) {
	type identity struct {
		method, uri, organisation string
		body                      [][]byte
		parts                     []rtid.Part
	}
	base := identity{http.MethodPost, "/stream/x", "court", [][]byte{[]byte("secret testimony")}, []rtid.Part{"first", "subject"}}
	part := func(i identity, id string) rtid.Part {
		r, err := http.NewRequestWithContext(t.Context(), i.method, "http://service.example"+i.uri, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.RequestURI = i.uri
		q := &request{r: r, body: i.body, info: RequestInfo{ID: rtid.Request(id), Key: "key-" + id, LastEventID: id, Parts: i.parts}}
		if i.organisation != "" {
			q.organisation = &rtcatalog.Organisation{Name: rtid.Organisation(i.organisation)}
		}
		return q.wholePart()
	}
	want := part(base, "1")
	if want != "request:PZ94JFiSxxlLPYprMnJKwQ" {
		t.Errorf("whole part %s differs from that of other processes", want)
	}
	for _, secret := range []string{"secret", "court", "key", "stream"} {
		if strings.Contains(string(want), secret) {
			t.Errorf("whole part %s shows %q", want, secret)
		}
	}
	copies := base
	copies.body = [][]byte{[]byte("secret "), []byte("testimony")}
	if got := part(copies, "2"); got != want {
		t.Errorf("copy with another ID and other pieces: %s, want %s", got, want)
	}
	tests := []struct {
		name   string
		change func(*identity)
	}{
		{"method", func(i *identity) { i.method = http.MethodPut }},
		{"path", func(i *identity) { i.uri = "/stream/y" }},
		{"query", func(i *identity) { i.uri = "/stream/x?y" }},
		{"organisation", func(i *identity) { i.organisation = "press" }},
		{"public", func(i *identity) { i.organisation = "" }},
		{"body", func(i *identity) { i.body = nil }},
		{"parts", func(i *identity) { i.parts = []rtid.Part{"first", "subject", "bad"} }},
		{"field that takes the end of another one", func(i *identity) { i.uri, i.organisation = "/stream/xco", "urt" }},
	}
	for _, test := range tests {
		other := base
		test.change(&other)
		if got := part(other, "1"); got == want {
			t.Errorf("other %s: %s, want another part", test.name, got)
		}
	}
}
