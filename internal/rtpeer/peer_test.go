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

// noSource is a store that never answers.
type noSource struct{}

func (noSource) Page(context.Context, string) ([]rtfeed.Item, bool, uint64, error) {
	return nil, false, 0, rtfeed.ErrBusy
}

func (noSource) Watch(context.Context, uint64, time.Duration) ([]rtfeed.Change, uint64, error) {
	return nil, 0, rtfeed.ErrBusy
}

// noDecoder makes empty views.
type noDecoder struct{}

func (noDecoder) Leased(string) bool { return false }

func (noDecoder) View(state rtfeed.State, _ *rtcatalog.View) *rtcatalog.View {
	return rtcatalog.NewView(state.Revision, nil, nil, nil)
}

// fakeLoads records what peers say.
type fakeLoads struct {
	reported map[rtid.VM]map[rtid.Target]rtplacement.Load
	avoided  map[rtid.Target]time.Duration
}

func (l *fakeLoads) LocalLoads() map[rtid.Target]rtplacement.Load { return nil }

func (l *fakeLoads) SetPeerLoads(peer rtid.VM, loads map[rtid.Target]rtplacement.Load) {
	l.reported[peer] = loads
}

func (l *fakeLoads) Cooldowns() map[rtid.Target]time.Duration { return nil }

func (l *fakeLoads) ApplyPeerCooldowns(targets map[rtid.Target]time.Duration) { l.avoided = targets }

// newGroup returns a group that knows three seeds, itself among them.
func newGroup() (*Group, *fakeLoads) {
	loads := &fakeLoads{reported: make(map[rtid.VM]map[rtid.Target]rtplacement.Load)}
	feed := rtfeed.New(noSource{}, noDecoder{}, logr.Discard())
	return New(Options{
		VM: "vm0", Address: addressOf(0), Seeds: []rtid.Address{addressOf(0), addressOf(1), addressOf(2)},
		Network: &rtnet.TCP{}, Feed: feed, Loads: loads, Log: logr.Discard(),
	}), loads
}

func addressOf(i int) rtid.Address { return rtid.Address(fmt.Sprintf("10.0.0.%d:7340", i)) }

// say returns the digest of process i.
func say(i int, revision uint64, age int64, peers ...rtid.Address) digest {
	return digest{VM: rtid.VM(fmt.Sprint("vm", i)), Address: addressOf(i), Revision: revision, Age: age, Peers: peers}
}

// Guards against shares of a budget that add up to more than the whole: a
// process must count every other that may spend, seeds it has not heard of and
// those that fell silent a moment ago.
func TestProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGroup()
		steps := []struct {
			name string
			do   func()
			want int
		}{
			{"start: as many as there may be", func() {}, startProcesses},
			{"a moment later: itself and two other seeds", func() { time.Sleep(startTime) }, 3},
			{"one that is no seed", func() { g.take(say(7, 0, 0)) }, 4},
			{"one that a peer names", func() { g.take(say(7, 0, 0, addressOf(8), addressOf(0))) }, 5},
			{"silence of some seconds", func() { time.Sleep(10 * time.Second) }, 5},
			{"long silence of the one that spoke", func() { time.Sleep(30 * time.Second) }, 4},
		}
		for _, step := range steps {
			step.do()
			if got := g.BudgetProcesses(); got != step.want {
				t.Errorf("%s: %d processes, want %d", step.name, got, step.want)
			}
		}
	})
}

// Guards against a fleet in which nobody reads the store, and against one in
// which all do.
func TestReaders(t *testing.T) {
	const processes = 29
	tests := []struct {
		name  string
		age   func(i int) int64 // of each process's contact
		least int
		most  int
	}{
		{"all are answered", func(int) int64 { return 100 }, maxReaders, maxReaders},
		{"some are turned away", func(i int) int64 {
			if i%3 == 0 {
				return 60000
			}
			return 100
		}, maxReaders, maxReaders + processes/3 + 1},
		{"nobody knows yet", func(int) int64 { return unknownAge }, processes, processes},
		{"store away", func(int) int64 { return 9000 }, processes, processes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Hour) // the clock of a bubble begins at a round time
				readers := 0
				for own := range processes {
					g, _ := newGroup()
					g.options.VM, g.options.Address = rtid.VM(fmt.Sprint("vm", own)), addressOf(own)
					for i := range processes {
						if i != own {
							g.take(say(i, 1, test.age(i)))
						}
					}
					if g.reader(time.Now()) {
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

// Guards against a process that stays behind its peers, and against one that
// fetches what the store is about to tell it.
func TestAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGroup()
		ahead := func(reader bool) rtid.Address {
			address, _ := g.ahead(reader)
			return address
		}
		g.take(say(1, 5, 0))
		if got := ahead(true); got != addressOf(1) {
			t.Errorf("a process that knows nothing waits: %q", got)
		}
		g.options.Feed.ApplyPeerDelta(rtfeed.Delta{Revision: 5}, "peer")
		g.take(say(1, 6, 0))
		g.take(say(2, 7, 0))
		if got := ahead(true); got != "" {
			t.Errorf("a reader does not wait for the store: %q", got)
		}
		if got := ahead(false); got != addressOf(2) {
			t.Errorf("no reader goes to %q, want the peer that knows most", got)
		}
		time.Sleep(behindTime)
		if got := ahead(true); got != addressOf(2) {
			t.Errorf("a reader stays behind: %q", got)
		}
		g.forget(addressOf(2))
		if got := ahead(true); got != addressOf(1) {
			t.Errorf("a peer that did not answer is asked again: %q", got)
		}
		time.Sleep(2 * aliveTime)
		if got := ahead(true); got != "" {
			t.Errorf("a silent peer is asked: %q", got)
		}
	})
}

// Guards against loads and suspicions that change on the way.
func TestDigest(t *testing.T) {
	g, loads := newGroup()
	load := rtplacement.Load{Requests: 3, Interactive: 2, Context: 7000, Memory: 160000, PrefillBacklog: 250 * time.Millisecond}
	message := say(1, 1, 0)
	message.Loads = map[rtid.Target]reportedLoad{"i-1": report(load)}
	message.Avoid = map[rtid.Target]int64{"i-2": 400}
	g.take(message)
	if got := loads.reported["vm1"]["i-1"]; got != load {
		t.Errorf("load %+v, want %+v", got, load)
	}
	if loads.avoided["i-2"] != 400*time.Millisecond {
		t.Errorf("avoided %v", loads.avoided)
	}
}

// Guards against a peer that gets less than it lacks, and against bad requests
// of peers.
func TestServeState(t *testing.T) {
	g, _ := newGroup()
	item := rtfeed.Item{Key: "a", Value: []byte("x"), Revision: 4}
	g.options.Feed.ApplyPeerDelta(rtfeed.Delta{Revision: 4, Full: true, Changes: []rtfeed.Change{{Item: item}}}, "peer")
	tests := []struct {
		query  string
		status int
		holds  []string
	}{
		{"after=0", http.StatusOK, []string{`"full":true`, `"a"`}},
		{"after=4", http.StatusOK, []string{`"revision":4`}},
		{"after=x", http.StatusBadRequest, []string{"after"}},
		{"", http.StatusBadRequest, nil},
	}
	for _, test := range tests {
		recorder := httptest.NewRecorder()
		g.serveState(recorder, httptest.NewRequest(http.MethodGet, "/state?"+test.query, nil))
		missing := slices.DeleteFunc(slices.Clone(test.holds), func(s string) bool { return strings.Contains(recorder.Body.String(), s) })
		if recorder.Code != test.status || len(missing) > 0 {
			t.Errorf("%q: status %d, body %q lacks %q", test.query, recorder.Code, recorder.Body, missing)
		}
	}
}
