package rtconfig

import (
	"encoding/json"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// body returns an encoded document that the decoder of the tests accepts.
func body(revision, base rtid.Revision) string {
	encoded, _ := json.Marshal(rtdocument.Document{Revision: revision, Base: base})
	return string(encoded)
}

// Guards against versions that decrease, refused documents that replace valid
// ones or are checked again, and conflicts that are not counted.
func TestOffer(t *testing.T) {
	type step struct {
		version rtid.Version
		body    string
		want    Result
	}
	tests := []struct {
		name    string
		steps   []step
		current rtid.Version
		refused rtid.Version
		decoded int
		counts  Counts
	}{
		{
			"newer versions", []step{{1, body(1, 0), Accepted}, {2, body(2, 1), Accepted}},
			2, 0, 2, Counts{Accepted: 2},
		},
		{
			"same and older versions", []step{{5, body(1, 0), Accepted}, {5, body(9, 8), NotNewer}, {4, body(2, 1), NotNewer}},
			5, 0, 1, Counts{Accepted: 1, Reverted: 1},
		},
		{
			"version zero", []step{{0, body(1, 0), NotNewer}},
			0, 0, 0, Counts{},
		},
		{
			"refused is checked once", []step{{1, body(1, 0), Accepted}, {2, "{", Refused}, {2, "{", Refused}},
			1, 2, 2, Counts{Accepted: 1, Refused: 1},
		},
		{
			"other body under a refused version", []step{{2, "{", Refused}, {2, body(2, 1), Accepted}},
			2, 0, 2, Counts{Accepted: 1, Refused: 1},
		},
		{
			"valid one between the one in force and a refused one", []step{{1, body(1, 0), Accepted}, {3, "{", Refused}, {2, body(2, 1), Accepted}},
			2, 3, 3, Counts{Accepted: 2, Refused: 1},
		},
		{
			"newer one after a refused one", []step{{1, "{", Refused}, {2, body(2, 1), Accepted}},
			2, 0, 2, Counts{Accepted: 1, Refused: 1},
		},
		{
			"two from one base", []step{{1, body(1, 0), Accepted}, {2, body(2, 1), Accepted}, {3, body(3, 1), Accepted}},
			3, 0, 3, Counts{Accepted: 3, Conflicts: 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			decoded := 0
			store := New(func(body []byte) (document rtdocument.Document, findings rtfinding.List) {
				decoded++
				if err := json.Unmarshal(body, &document); err != nil {
					findings.Add(rtfinding.Location{}, "%v", err)
				}
				return document, findings
			})
			for i, step := range test.steps {
				if got := store.Apply(step.version, []byte(step.body)); got != step.want {
					t.Errorf("document %d: got result %d, want %d", i, got, step.want)
				}
			}
			refusal, _ := store.Refusal()
			if store.Current().Version != test.current || refusal.Version != test.refused {
				t.Errorf("got version %d in force and %d refused, want %d and %d", store.Current().Version, refusal.Version, test.current, test.refused)
			}
			if decoded != test.decoded {
				t.Errorf("got %d documents checked, want %d", decoded, test.decoded)
			}
			if store.Counts() != test.counts {
				t.Errorf("counts %+v, want %+v", store.Counts(), test.counts)
			}
		})
	}
}

// Guards against a watch that returns the same refused document again and
// again, against a refused document that is reported as a change, and against
// an unbounded number of recorded refusals.
func TestSeenAndChanged(t *testing.T) {
	store := New(rtdocument.Decode)
	changed := store.Changed()
	store.Apply(7, []byte("{"))
	if store.HighestSeen() != 7 || store.ShouldFetch(7) || !store.ShouldFetch(8) {
		t.Errorf("highest version seen %d, fetch 7 %v, fetch 8 %v, want 7, false and true", store.HighestSeen(), store.ShouldFetch(7), store.ShouldFetch(8))
	}
	select {
	case <-changed:
		t.Error("a refused document was reported as a change")
	default:
	}
	for version := range rtid.Version(2 * maxRefusals) {
		store.Apply(version+10, []byte("{"))
	}
	if len(store.refusals) != maxRefusals {
		t.Errorf("%d refusals kept, want %d", len(store.refusals), maxRefusals)
	}
}
