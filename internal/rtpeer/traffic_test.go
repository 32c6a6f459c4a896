package rtpeer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
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

// testDigest returns a digest with every field, as a loaded gateway of the large site
// sends it: 20 targets with loads.
func testDigest() digest {
	d := digest{
		VM: "edge-whk-d-4", Address: "10.4.0.16:7560", Start: 1796412091732, Sent: 51234,
		StoreRevision: rtid.StoreRevision{Era: 2, Number: 1204}, Version: 35, Kept: 0xfedcba9876543210, ContactAge: unknownAge,
		Peers: []rtid.Address{"10.1.0.12:7560", "[fd00::1]:7560"}, Loads: make(map[rtid.Target]reportedLoad),
		Cooldowns: map[rtid.Target]int64{"i-3": 300},
		Evidence: []reportedEvidence{
			{Part: "12ca9047f126", Crashes: reportedCrashes{"i-1": {5, 9}}, Refuted: reportedCrashes{"i-2": {0}}, Age: 7},
			{Part: "request:c2hhMjU2", Crashes: reportedCrashes{"i-1": {5, 9}}, Held: reportedCrashes{"i-1": {60, 0}}},
		},
		Limits:  []reportedLimit{{TargetIncarnation: rtid.TargetIncarnation{ID: "i-1", Born: 7}, Rate: 1.1, Sent: 9, Heard: 3}},
		Leaving: []rtid.TargetIncarnation{{ID: "i-9", Born: 1796412091732}},
		Codec:   binaryCodec,
	}
	for i := range 20 {
		d.Loads[rtid.Target(fmt.Sprintf("i-%010x", i*7919))] = reportedLoad{int64(i % 4), int64(i % 3), int64(5 * i), int64(6 * i), int64(40 * i)}
	}
	return d
}

// Guards against a digest that loses something on its way, in either encoding.
func TestDigestEncodings(t *testing.T) {
	for codec := range binaryCodec + 1 {
		data, err := encodeDigest(testDigest(), codec)
		if err != nil {
			t.Fatal(err)
		}
		want := testDigest()
		if codec == binaryCodec {
			want.Uses = []reportedUse{{Service: "talk", Organisation: "court", Use: 1.5, Waiting: true}, {Service: "talk", Use: 2}}
			want.Scarce = []rtid.Service{"talk"}
			if data, err = encodeDigest(want, codec); err != nil {
				t.Fatal(err)
			}
		}
		got, err := decodeDigest(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("encoding %d: got %+v, error %v, want %+v", codec, got, err, want)
		}
	}
}

// Guards against digests that a neighbour of an earlier version cannot read, and
// against ones that stay in the long encoding although both read the short one.
func TestDigestsOfOtherVersions(t *testing.T) {
	g, _ := newTestGroup()
	if got := g.codecOf(addressOf(1)); got != jsonCodec {
		t.Errorf("a peer that was not heard gets encoding %d, want JSON", got)
	}
	steps := []struct {
		name  string
		codec int
		want  int
	}{
		{"earlier version", jsonCodec, jsonCodec},
		{"this version", binaryCodec, binaryCodec},
		{"a later version", binaryCodec + 5, binaryCodec},
		{"started again with an earlier version", jsonCodec, jsonCodec},
	}
	for _, step := range steps {
		message := digestFrom(1, 0, 0)
		message.Codec = step.codec
		data, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		received, err := decodeDigest(data)
		if err != nil {
			t.Fatal(err)
		}
		g.applyDigest(received)
		if got := g.codecOf(addressOf(1)); got != step.want {
			t.Errorf("%s: gets encoding %d, want %d", step.name, got, step.want)
		}
	}
}

// The time and the size of a digest, by encoding.
func BenchmarkDigest(b *testing.B) {
	for codec := range binaryCodec + 1 {
		b.Run(fmt.Sprint("encoding ", codec), func(b *testing.B) {
			d := testDigest()
			data, err := encodeDigest(d, codec)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "B")
			for b.Loop() {
				if _, err := decodeDigest(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
