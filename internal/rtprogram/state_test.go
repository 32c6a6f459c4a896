package rtprogram

import (
	"encoding/json"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
	"github.com/rhubarbtally/rhubarbtally/platform"
)

// Guards against a state dump without the parts that are kept away from targets
// and the crashes that speak against them.
func TestStateDump(t *testing.T) {
	metrics, err := rtmetric.New("test")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = metrics.Close() }()
	process := newGatewayProcess("", platform.Settings{}, nil, logr.Discard(), metrics)
	process.gateway.MergeObservations([]rtquarantine.Observation{{
		Part:    "d",
		Crashes: []rtquarantine.Crash{{Target: "t1", Age: 3 * time.Second}, {Target: "t2", Age: 2 * time.Second}, {Target: "t3", Age: time.Second}},
	}})
	recorder := httptest.NewRecorder()
	process.serveState(recorder, httptest.NewRequest("GET", "/state", nil))
	var dump stateDump
	if err := json.Unmarshal(recorder.Body.Bytes(), &dump); err != nil {
		t.Fatalf("state dump %q: %v", recorder.Body, err)
	}
	if len(dump.Suspects) != 1 || dump.Suspects[0].Part != "d" || !dump.Suspects[0].Quarantined || dump.Suspects[0].Until == nil ||
		dump.Suspects[0].Crashes != 3 || !slices.Equal(dump.Suspects[0].Targets, []rtid.Target{"t1", "t2", "t3"}) {
		t.Errorf("state dump %s, want part d in quarantine with the crashes of t1, t2 and t3", recorder.Body)
	}
}
