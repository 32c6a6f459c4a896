package rtpeer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
)

// Guards against states of peers that take as many bytes as their text, and against a
// peer that cannot read a compressed one.
func TestStateIsCompressed(t *testing.T) {
	g, _ := newTestGroup()
	var routes []string
	for i := range 120 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":"service-%d.example","pathPrefix":"/p%d/","type":"streaming","timeoutMs":10000,"service":"s%d","maxAttempts":2}`, i, i%7, i*7919, i%5))
	}
	config := `{"version":3,"routes":[` + strings.Join(routes, ",") + `]}`
	at := rtid.StoreRevision{Era: 1, Number: 9}
	g.options.Feed.ApplyPeerDelta(rtfeed.Delta{Revision: at, Full: true, Changes: []rtfeed.Change{{Item: rtfeed.Item{Key: "op/config", Value: []byte(config), Revision: at, Created: at}}}}, "peer")
	server := httptest.NewServer(http.HandlerFunc(g.serveState))
	defer server.Close()
	other, _ := newTestGroup()
	other.client = rtnet.Client(&rtnet.TCP{})
	delta, err := other.fetchState(t.Context(), rtid.Address(server.Listener.Addr().String()), rtid.StoreRevision{})
	if err != nil || len(delta.Changes) != 1 || string(delta.Changes[0].Value) != config {
		t.Errorf("got %d changes, error %v; want the configuration", len(delta.Changes), err)
	}
	if got := g.traffic.bytes[fullState].Load(); got == 0 || got > int64(len(config))/3 {
		t.Errorf("sent %d bytes for a configuration of %d, want a third at most", got, len(config))
	}
	plain := httptest.NewRecorder()
	g.serveState(plain, httptest.NewRequest(http.MethodGet, "/state?after=0", nil))
	if err := json.Unmarshal(plain.Body.Bytes(), &delta); err != nil || plain.Header().Get("Content-Encoding") != "" {
		t.Errorf("a peer that accepts no compression got one: %v", err)
	}
}

// Guards against processes that do not find one another, because the digests that go
// out at their time list few peers, and against lists that are most of the bytes.
func TestPeersAreFoundFromFewSeeds(t *testing.T) {
	const processes = 68
	withCatchUpFleet(t, 1, processes, func(f *catchUpFleet) {
		f.run(3 * time.Second)
		for i, p := range f.processes {
			if known := p.group.budgetProcesses(); known != processes {
				t.Errorf("process %d knows %d of %d after 3 s", i, known, processes)
			}
		}
		listed := 0
		for round := range 10 * peerListRounds {
			listed += len(f.processes[0].group.newDigest(f.processes[0].group.listedNow(round)).Peers)
		}
		if listed > 10*sampledPeers {
			t.Errorf("%d addresses in %d digests, want at most %d", listed, 10*peerListRounds, 10*sampledPeers)
		}
	})
}
