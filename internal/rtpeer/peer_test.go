package rtpeer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// unavailableSource is a store that refuses all calls.
type unavailableSource struct{}

func (unavailableSource) Page(context.Context, string) ([]rtfeed.Item, bool, rtid.StoreRevision, error) {
	return nil, false, rtid.StoreRevision{}, rtfeed.ErrBusy
}

func (unavailableSource) Watch(context.Context, rtid.StoreRevision, time.Duration) ([]rtfeed.Change, rtid.StoreRevision, error) {
	return nil, rtid.StoreRevision{}, rtfeed.ErrBusy
}

// emptyDecoder makes views without items.
type emptyDecoder struct{}

func (emptyDecoder) Kind(string) rtfeed.Kind          { return rtfeed.KindOther }
func (emptyDecoder) Supersedes(_, _ rtfeed.Item) bool { return true }
func (emptyDecoder) Later(_, _ rtfeed.Item) bool      { return false }

func (emptyDecoder) View(state rtfeed.State, _ *rtcatalog.View) *rtcatalog.View {
	return rtcatalog.NewView(state.Revision, nil, nil, nil)
}

// fakeLoads records the loads and cooldowns that peers report.
type fakeLoads struct {
	peerLoads map[rtid.VM]map[rtid.Target]rtplacement.Load
	cooldowns map[rtid.Target]time.Duration
}

func (l *fakeLoads) LocalLoads() map[rtid.Target]rtplacement.Load { return nil }

func (l *fakeLoads) SetPeerLoads(peer rtid.VM, loads map[rtid.Target]rtplacement.Load) {
	l.peerLoads[peer] = loads
}

func (l *fakeLoads) Cooldowns() map[rtid.Target]time.Duration { return nil }

func (l *fakeLoads) ApplyPeerCooldowns(targets map[rtid.Target]time.Duration) { l.cooldowns = targets }

// newTestGroup returns a group with three seeds, one of which is its own address.
func newTestGroup() (*Group, *fakeLoads) {
	loads := &fakeLoads{peerLoads: make(map[rtid.VM]map[rtid.Target]rtplacement.Load)}
	feed := rtfeed.New(unavailableSource{}, emptyDecoder{}, logr.Discard())
	return New(Options{
		VM: "vm0", Address: addressOf(0), Seeds: []rtid.Address{addressOf(0), addressOf(1), addressOf(2)},
		Network: &rtnet.TCP{}, Feed: feed, Loads: loads, Log: logr.Discard(),
	}), loads
}

func addressOf(i int) rtid.Address { return rtid.Address(fmt.Sprintf("10.0.0.%d:7340", i)) }

// digestFrom returns a digest of process i. The age is that of its last response
// from the store, in milliseconds.
func digestFrom(i int, revision uint64, age int64, peers ...rtid.Address) digest {
	return digest{VM: rtid.VM(fmt.Sprint("vm", i)), Address: addressOf(i), StoreRevision: rtid.StoreRevision{Number: revision}, ContactAge: age, Peers: peers}
}

// Guards against shares of a budget that add up to more than the budget. Each
// process divides it by the number of processes, so it must count all that may
// use it: also seeds that have sent no digest and peers silent for a short time.
func TestProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGroup()
		steps := []struct {
			name string
			do   func()
			want int
		}{
			{"at the start: the assumed number", func() {}, assumedProcesses},
			{"after the discovery time: itself and two other seeds", func() { time.Sleep(discoveryTime) }, 3},
			{"a digest from a peer that is no seed", func() { g.applyDigest(digestFrom(7, 0, 0)) }, 4},
			{"a peer listed in a digest", func() { g.applyDigest(digestFrom(7, 0, 0, addressOf(8), addressOf(0))) }, 5},
			{"no digests for 10 s", func() { time.Sleep(10 * time.Second) }, 5},
			{"no digests for longer than memberTimeout", func() { time.Sleep(30 * time.Second) }, 4},
		}
		for _, step := range steps {
			step.do()
			if got := g.BudgetProcesses(); got != step.want {
				t.Errorf("%s: %d processes, want %d", step.name, got, step.want)
			}
		}
	})
}

// Guards against a deployment in which no process reads the store, and against
// one in which all do although the store answers.
func TestReaders(t *testing.T) {
	const processes = 29
	tests := []struct {
		name  string
		age   func(i int) int64 // of the last response from the store to process i, in ms
		least int
		most  int
	}{
		{"store answers all", func(int) int64 { return 100 }, maxReaders, maxReaders},
		{"store refuses some", func(i int) int64 {
			if i%3 == 0 {
				return 60000
			}
			return 100
		}, maxReaders, maxReaders + processes/3 + 1},
		{"store has answered none yet", func(int) int64 { return unknownAge }, processes, processes},
		{"store is unavailable", func(int) int64 { return 9000 }, processes, processes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Hour) // the virtual clock starts at a round time
				readers := 0
				for own := range processes {
					g, _ := newTestGroup()
					g.options.VM, g.options.Address = rtid.VM(fmt.Sprint("vm", own)), addressOf(own)
					for i := range processes {
						if i != own {
							g.applyDigest(digestFrom(i, 1, test.age(i)))
						}
					}
					if g.isReader(time.Now()) {
						readers++
					}
				}
				if readers < test.least || readers > test.most {
					t.Errorf("%d readers, want %d to %d", readers, test.least, test.most)
				}
			})
		})
	}
}

// Guards against a process that stays at a lower revision than its peers, and
// against a reader that fetches from a peer what the store returns a moment
// later.
func TestAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGroup()
		newerPeer := func(reader bool) rtid.Address {
			for _, address := range g.findNewerPeers(reader) {
				return address
			}
			return ""
		}
		g.applyDigest(digestFrom(1, 5, 0))
		if got := newerPeer(true); got != addressOf(1) {
			t.Errorf("process at revision 0: fetches from %q, want the peer at revision 5 without delay", got)
		}
		g.options.Feed.ApplyPeerDelta(rtfeed.Delta{Revision: rtid.StoreRevision{Number: 5}}, "peer")
		g.applyDigest(digestFrom(1, 6, 0))
		g.applyDigest(digestFrom(2, 7, 0))
		if got := newerPeer(true); got != "" {
			t.Errorf("reader before the catch-up delay: fetches from %q, want none", got)
		}
		if got := newerPeer(false); got != addressOf(2) {
			t.Errorf("process that is not a reader: fetches from %q, want the peer at the highest revision", got)
		}
		time.Sleep(catchUpDelay)
		if got := newerPeer(true); got != addressOf(2) {
			t.Errorf("reader after the catch-up delay: fetches from %q, want the peer at the highest revision", got)
		}
		g.resetRevision(addressOf(2))
		if got := newerPeer(true); got != addressOf(1) {
			t.Errorf("after a failed fetch: fetches from %q, want the other peer", got)
		}
		time.Sleep(2 * aliveTimeout)
		if got := newerPeer(true); got != "" {
			t.Errorf("all peers silent: fetches from %q, want none", got)
		}
	})
}

// Guards against loads and cooldowns that a digest does not carry unchanged.
func TestDigest(t *testing.T) {
	g, loads := newTestGroup()
	load := rtplacement.Load{Requests: 3, Interactive: 2, Context: 7000, Memory: 160000, PrefillBacklog: 250 * time.Millisecond}
	message := digestFrom(1, 1, 0)
	message.Loads = map[rtid.Target]reportedLoad{"i-1": newReportedLoad(load)}
	message.Cooldowns = map[rtid.Target]int64{"i-2": 400}
	g.applyDigest(message)
	if got := loads.peerLoads["vm1"]["i-1"]; got != load {
		t.Errorf("load %+v, want %+v", got, load)
	}
	if loads.cooldowns["i-2"] != 400*time.Millisecond {
		t.Errorf("cooldowns %v, want 400 ms for i-2", loads.cooldowns)
	}
}

// Guards against a reply that lacks changes which the peer needs, and against
// malformed requests of peers that are answered with a state.
func TestServeState(t *testing.T) {
	g, _ := newTestGroup()
	item := rtfeed.Item{Key: "a", Value: []byte("x"), Revision: rtid.StoreRevision{Number: 4}}
	g.options.Feed.ApplyPeerDelta(rtfeed.Delta{Revision: rtid.StoreRevision{Number: 4}, Full: true, Changes: []rtfeed.Change{{Item: item}}}, "peer")
	tests := []struct {
		query  string
		status int
		want   []string // parts of the body
	}{
		{"after=0", http.StatusOK, []string{`"full":true`, `"a"`}},
		{"after=4", http.StatusOK, []string{`"revision":4`}},
		{"after=x", http.StatusBadRequest, []string{"after"}},
		{"", http.StatusBadRequest, nil},
	}
	for _, test := range tests {
		recorder := httptest.NewRecorder()
		g.serveState(recorder, httptest.NewRequest(http.MethodGet, "/state?"+test.query, nil))
		missing := slices.DeleteFunc(slices.Clone(test.want), func(s string) bool { return strings.Contains(recorder.Body.String(), s) })
		if recorder.Code != test.status || len(missing) > 0 {
			t.Errorf("%q: status %d, body %q lacks %q", test.query, recorder.Code, recorder.Body, missing)
		}
	}
}
