package rtapi

import (
	"slices"
	"strings"
	"testing"
)

// Guards against an answer that is given up in the middle because the entry that
// should deliver the rest cannot serve yet. The home still has the answer, and
// another entry can deliver it.
func TestDraftResumedPastRefusal(t *testing.T) {
	tests := []struct {
		name    string
		refusal string
	}{
		{"without a configuration", `{"outcome":"notrun","reason":"notready","retry":true}`},
	}
	for _, test := range tests {
		synctestRun(t, test.name, func(t *testing.T) {
			client, script := newClient(step{200, start + first, true}, step{503, test.refusal, false},
				step{200, start + second + endOf("abcd"), false})
			var text strings.Builder
			_, err := client.Draft(t.Context(), DraftRequest{}, &text)
			calls := []string{"POST a/v1/drafts", "GET b/v1/drafts/d.1?offset=2", "GET a/v1/drafts/d.1?offset=2"}
			if err != nil || text.String() != "abcd" || !slices.Equal(script.calls, calls) {
				t.Errorf("got text %q by calls %q, error %v; want the whole answer by calls %q", text.String(), script.calls, err, calls)
			}
		})
	}
}
