package rtentry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
)

// Guards against metrics, status fields and dump entries that are missing from
// the operators' listener.
func TestOperators(t *testing.T) {
	run(t, func(f *fixture) {
		metrics, err := rtmetric.New("rhubarbtally_entry")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = metrics.Close() }()
		f.entry.metrics = metrics
		f.draft("30s")
		f.call("court", http.MethodGet, "/v1/drafts/none", nil)
		<-time.After(2 * time.Second) // virtual time, until the values are reported
		handler := f.entry.operatorHandler()
		get := func(path string) string {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
			if recorder.Code != http.StatusOK {
				t.Errorf("%s: status %d, want 200", path, recorder.Code)
			}
			return recorder.Body.String()
		}
		text := get("/metrics")
		for _, want := range []string{
			`rhubarbtally_entry_first_token_count{band="1k"} 1`,
			`rhubarbtally_entry_drafts{outcome="done",reason=""} 1`,
			`rhubarbtally_entry_refusals{reason="notfound"} 1`,
		} {
			if !strings.Contains(text, want) {
				t.Errorf("metrics have no %s in:\n%s", want, text)
			}
		}
		var status map[string]any
		if err := json.Unmarshal([]byte(get("/status")), &status); err != nil {
			t.Fatal(err)
		}
		for _, field := range []string{"vm", "role", "zone", "version", "revision", "ready", "leaving", "state", "conflicts"} {
			if _, ok := status[field]; !ok {
				t.Errorf("status has no field %s", field)
			}
		}
		if status["ready"] != true || status["state"] != "in" || status["role"] != "entry" {
			t.Errorf("status is %v, want ready, state in and role entry", status)
		}
		if !strings.Contains(get("/dump"), `"targets": 1`) {
			t.Errorf("dump does not show 1 target: %s", get("/dump"))
		}
		get("/health")
	}, &fakeAgent{name: "engine-1", text: testText})
}
