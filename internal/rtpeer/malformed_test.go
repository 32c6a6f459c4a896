package rtpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/platform"
)

// registers are the parts of a gateway that decide by digests.
type registers struct {
	leaveProcess
	quarantine rtquarantine.Register
	limits     rtlimit.TargetLimits
}

func (r *registers) Observations() []rtquarantine.Observation {
	return r.quarantine.Observations(time.Now())
}

func (r *registers) MergeObservations(observations []rtquarantine.Observation) {
	r.quarantine.Merge(observations, time.Now())
}

func (r *registers) RateLimits() []rtlimit.Statement { return r.limits.Statements(time.Now()) }

func (r *registers) MergeRateLimits(statements []rtlimit.Statement) {
	for _, s := range statements {
		r.limits.Record(s, rtlimit.FromPeer, time.Now())
	}
}

// Guards against peers without a usable address, for which a name would be looked up
// with each digest, and against messages of other senders that are taken for digests.
func TestMalformedDigests(t *testing.T) {
	long := strings.Repeat("x", maxVMName+1)
	tests := []struct {
		name, text string
		want       string // addresses of the peers that it lists; "dropped" if it is
	}{
		{"sound", `{"vm":"vm1","address":"10.0.0.1:80","peers":["10.0.0.2:80"]}`, "[10.0.0.2:80]"},
		{"of a later version", `{"vm":"vm1","address":"10.0.0.1:80","later":[{"a":1}],"peers":[]}`, "[]"},
		{"odd peers", `{"vm":"vm1","address":"10.0.0.1:80","peers":["store.example:80","10.0.0.2:0","10.0.0.3:65536","","0.0.0.0:80","224.0.0.1:80","10.0.0.4:80"]}`, "[10.0.0.4:80]"},
		{"no address", `{"vm":"vm1"}`, "dropped"},
		{"name for an address", `{"vm":"vm1","address":"store.example:80"}`, "dropped"},
		{"port 0", `{"vm":"vm1","address":"10.0.0.1:0"}`, "dropped"},
		{"no VM", `{"address":"10.0.0.1:80"}`, "dropped"},
		{"long VM", `{"vm":"` + long + `","address":"10.0.0.1:80"}`, "dropped"},
		{"nested", strings.Repeat("[", 30_000), "dropped"},
		{"no JSON", "\x00\xff", "dropped"},
		{"empty", "", "dropped"},
		{"number out of range", `{"vm":"vm1","address":"10.0.0.1:80","sent":1e30}`, "dropped"},
		{"another type", `{"vm":"vm1","address":"10.0.0.1:80","loads":[1]}`, "dropped"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			message, err := decodeDigest([]byte(test.text))
			got := fmt.Sprint(message.Peers)
			if err != nil {
				got = "dropped"
			}
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a sender of malformed messages that fills the log.
func TestDroppedDigestsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := 0
		g, _ := newTestGroup()
		g.log = funcr.New(func(_, line string) {
			lines++
			if len(line) > 500 {
				t.Errorf("line of %d bytes", len(line))
			}
		}, funcr.Options{})
		for range 600 {
			for sender := range 2 {
				g.logDropped(netip.AddrFrom4([4]byte{10, 0, 0, byte(sender)}), fmt.Errorf("%s", strings.Repeat("x", 10_000)), time.Now())
			}
			time.Sleep(time.Second / 10)
		}
		if lines != 2 {
			t.Errorf("%d lines for two senders in a minute, want 2", lines)
		}
	})
}

// FuzzDigest guards against a message that makes the process panic, or after which it
// does not follow sound ones.
func FuzzDigest(f *testing.F) {
	f.Add(`{"vm":"vm1","address":"10.0.0.1:80","start":5,"sent":100,"era":1,"revision":9,"age":-1,"loads":{"i-1":[1,2,3,4,5]},"avoid":{"i-1":300},` +
		`"evidence":[{"part":"a","crashes":{"i-1":[100]},"age":5},{"part":"request:a","crashes":{"i-1":[100,200]},"held":{"i-1":[9223372036854775807,-5,7],"i-2":[]}}],"limits":[{"target":"i-1","born":2,"rate":1.5,"sent":5,"heard":3}],"leaving":[{"target":"i-1","born":2}]}`)
	f.Add(`{"vm":"vm1","address":"10.0.0.1:80","sent":-9223372036854775808,"age":9223372036854775807,"avoid":{"":-9223372036854775808},"limits":[{"target":"x","rate":1e308,"sent":9223372036854775807}]}`)
	sound, err := encodeDigest(digest{
		VM: "vm1", Address: addressOf(1), Sent: 5, Loads: map[rtid.Target]reportedLoad{"i-1": {1, 2, 3, 4, 5}},
		Evidence: []reportedEvidence{{Part: "a", Crashes: reportedCrashes{"i-1": {5}}}}, Limits: []reportedLimit{{Rate: 1}},
		Forecasts: figures(2),
	}, binaryCodec)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(sound))
	f.Add(string(sound[:len(sound)-3]))
	f.Fuzz(func(t *testing.T, text string) {
		message, err := decodeDigest([]byte(text))
		if err != nil {
			return
		}
		g, loads := newTestGroup()
		r := &registers{}
		g.options.Evidence, g.options.Limits, g.options.Leaves = r, r, r
		g.options.Forecasts = &forecastRegister{}
		g.applyDigest(message)
		g.assignCells(time.Now())
		for codec := range binaryCodec + 1 {
			if _, err := encodeDigest(g.newDigest(maxListedPeers), codec); err != nil {
				t.Errorf("own digest cannot be encoded afterwards: %v", err)
			}
		}
		sound := digestFrom(3, 7, 0)
		g.applyDigest(sound)
		if _, ok := loads.peerLoads[sound.VM]; !ok || g.peers[addressOf(3)].revision != (rtid.StoreRevision{Number: 7}) {
			t.Error("a sound digest has no effect afterwards")
		}
	})
}

// panickingLoads panics at the first digest that it gets, and reports the later ones.
type panickingLoads struct {
	fakeLoads
	panicked bool
	received chan rtid.VM
}

func (l *panickingLoads) SetPeerLoads(peer rtid.VM, _ map[rtid.Target]rtplacement.Load) {
	if !l.panicked {
		l.panicked = true
		panic("unexpected")
	}
	l.received <- peer
}

// Guards against an unexpected error with one digest after which the process hears no
// others, and against one that ends it.
func TestDigestsAfterUnexpectedError(t *testing.T) {
	g, _ := newTestGroup()
	loads := &panickingLoads{received: make(chan rtid.VM, 1)}
	g.options.Loads = loads
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	receiving := rttask.Start(t.Context(), "receive", func(ctx context.Context) error { return g.receiveDigests(ctx, socket) })
	sender, err := net.DialUDP("udp", nil, socket.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		data, err := json.Marshal(digestFrom(i+1, 1, 0))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sender.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case got := <-loads.received:
		if got != "vm2" {
			t.Errorf("heard %s, want vm2", got)
		}
	case err := <-receiving.Done():
		t.Errorf("the task has ended: %v", err)
	}
	_ = sender.Close()
	_ = socket.Close()
	if err := receiving.Stop(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// stateBed is a process that fetches states from a peer, in virtual time.
type stateBed struct {
	t     *testing.T
	group *Group
	state *peerState
}

// peerState is what a peer answers when it is asked for its state.
type peerState struct {
	status int
	text   string
}

// withStateBed runs a test with a process that has a sound state.
func withStateBed(t *testing.T, test func(b *stateBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &rtfake.Network{Seed: 1}
		t.Cleanup(network.Close)
		listener, err := network.Listen(addressOf(1))
		if err != nil {
			t.Fatal(err)
		}
		state := &peerState{}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(state.status)
			_, _ = w.Write([]byte(state.text))
		}), ReadHeaderTimeout: time.Minute}
		serving := rttask.Start(t.Context(), "state", func(context.Context) error { return server.Serve(listener) })
		feed := rtfeed.New(unavailableSource{}, platform.NewItems(logr.Discard()), logr.Discard())
		feed.SetReader(false)
		following := rttask.Start(t.Context(), "feed", feed.Run)
		b := &stateBed{t: t, state: state, group: New(Options{
			VM: "vm0", Address: addressOf(0), Seeds: []rtid.Address{addressOf(0), addressOf(1)},
			Network: network.Host("10.0.0.0"), Feed: feed, Loads: &fakeLoads{}, Log: logr.Discard(),
		})}
		b.fetch(http.StatusOK, soundState(4, 1, "ready"))
		b.check("at the start", 1, 1)
		test(b)
		if err := following.Stop(); err != nil {
			t.Error(err)
		}
		_ = server.Close()
		_ = serving.Stop() // fails because it has been closed
	})
}

// soundState returns a full state at a revision, with a version of the configuration
// and a target.
func soundState(revision uint64, version int, state string) string {
	at := rtid.StoreRevision{Era: 1, Number: revision}
	item := func(key, text string) rtfeed.Change {
		return rtfeed.Change{Item: rtfeed.Item{Key: key, Value: []byte(text), Revision: at, Created: at}}
	}
	delta := rtfeed.Delta{Revision: at, Full: true, Changes: []rtfeed.Change{
		item("op/config", fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}]}`, version)),
		item("servers/t", fmt.Sprintf(`{"service":"s","address":"10.1.0.1:80","zone":"a","version":"v1","slots":4,"state":%q,"coldLeftMs":0,"sequence":1,"born":1}`, state)),
	}}
	data, err := json.Marshal(delta)
	if err != nil {
		panic(err) // a delta of constants
	}
	return string(data)
}

// fetch asks the peer for its state, as catchUp does, and applies it.
func (b *stateBed) fetch(status int, text string) {
	b.state.status, b.state.text = status, text
	after := b.group.options.Feed.Revision()
	if delta, peer, ok := b.group.fetchFirst(b.t.Context(), []rtid.Address{addressOf(1)}, after); ok {
		b.group.options.Feed.ApplyPeerDelta(delta, string(peer))
	}
}

// check checks the version in force and the number of usable targets.
func (b *stateBed) check(when string, version rtid.Version, usable int) {
	b.t.Helper()
	view := b.group.options.Feed.View()
	got := 0
	for _, instance := range view.Instances("s") {
		if view.Usable(instance) {
			got++
		}
	}
	if view.Configuration.Version != version || got != usable {
		b.t.Errorf("%s: version %d and %d usable targets, want version %d and %d", when, view.Configuration.Version, got, version, usable)
	}
}

// Guards against a state of a peer that ends the process, or after which it does not
// follow the sound states of others any more.
func TestMalformedStates(t *testing.T) {
	const most = "18446744073709551615"
	leaving := func(confirmation string) string {
		return `{"revision":{"era":1,"revision":5},"changes":[{"key":"servers/t","revision":{"era":1,"revision":5},"removed":true,"doubt":` + confirmation + `}]}`
	}
	tests := []struct {
		name   string
		status int
		text   string
		usable int // targets, some seconds later
	}{
		{"revision out of range", http.StatusOK, `{"revision":{"era":1,"revision":` + most + `},"changes":[]}`, 1},
		{"revision out of range in a full state", http.StatusOK, `{"revision":{"era":1,"revision":` + most + `},"full":true,"changes":[]}`, 1},
		{"era out of range", http.StatusOK, `{"revision":{"era":` + most + `,"revision":5},"changes":[]}`, 1},
		{"change out of range", http.StatusOK, `{"revision":{"era":1,"revision":5},"changes":[{"key":"servers/t","revision":{"era":1,"revision":` + most + `},"removed":true}]}`, 1},
		{"change of a later era", http.StatusOK, `{"revision":{"era":1,"revision":5},"changes":[{"key":"op/config","value":"e30=","revision":{"era":2,"revision":1}}]}`, 1},
		{"kept item out of range", http.StatusOK, `{"revision":{"era":1,"revision":5},"changes":[],"kept":[{"key":"servers/t","revision":{"era":1,"revision":` + most + `},"removed":true,"remaining":9000}]}`, 1},
		{"kept for ever", http.StatusOK, `{"revision":{"era":1,"revision":5},"changes":[],"kept":[{"key":"servers/t","revision":{"era":1,"revision":5},"removed":true,"remaining":9223372036854775807}]}`, 1},
		{"removal that is never confirmed", http.StatusOK, leaving("9223372036854775807"), 0},
		{"removal confirmed in the past", http.StatusOK, leaving("-9223372036854775808"), 0},
		{"refusal that looks like a state", http.StatusServiceUnavailable, soundState(5, 9, "draining"), 1},
		{"nested", http.StatusOK, `{"changes":` + strings.Repeat("[", 100_000), 1},
		{"negative revision", http.StatusOK, `{"revision":{"era":1,"revision":-1}}`, 1},
		{"revision beyond float64", http.StatusOK, `{"revision":{"era":1,"revision":1` + strings.Repeat("0", 400) + `}}`, 1},
		{"null", http.StatusOK, `null`, 1},
		{"empty object", http.StatusOK, `{}`, 1},
		{"empty", http.StatusOK, ``, 1},
		{"no text", http.StatusOK, "\x00\xff", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withStateBed(t, func(b *stateBed) {
				b.fetch(test.status, test.text)
				time.Sleep(10 * time.Second)
				b.check("after the malformed state", 1, test.usable)
				b.fetch(http.StatusOK, soundState(6, 2, "ready"))
				b.check("after a sound state", 2, 1)
				b.fetch(http.StatusOK, soundState(7, 3, "draining"))
				b.check("after another one", 3, 0)
			})
		})
	}
}

// FuzzState guards against a state of a peer that makes the process panic, or after
// which it does not follow a sound one.
func FuzzState(f *testing.F) {
	f.Add(soundState(4, 1, "ready"))
	f.Add(`{"revision":{"era":1,"revision":5},"changes":[{"key":"servers/t","revision":{"era":1,"revision":5},"removed":true,"doubt":5,"lacking":true}],` +
		`"kept":[{"key":"op/config","value":"e30=","revision":{"era":1,"revision":2},"remaining":-1},{"key":"servers/u","revision":{"revision":3},"removed":true,"remaining":6000}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		delta, err := decodeState(strings.NewReader(text))
		if err != nil {
			return
		}
		feed := rtfeed.New(nil, platform.NewItems(logr.Discard()), logr.Discard())
		feed.ApplyPeerDelta(delta, "peer")
		own := feed.Delta(rtid.StoreRevision{})
		if err := own.Check(); err != nil {
			t.Errorf("own state: %v", err)
		}
		// Kept configurations have the latest version, those of fuzzed items too.
		later := rtid.StoreRevision{Era: feed.Revision().Era + 1, Number: 1}
		config := rtfeed.Item{Key: "op/config", Value: []byte(`{"version":18446744073709551615}`), Revision: later}
		feed.ApplyPeerDelta(rtfeed.Delta{Revision: later, Full: true, Changes: []rtfeed.Change{{Item: config}}}, "peer")
		if view := feed.View(); view.Configuration == nil || view.Configuration.Version != 1<<64-1 {
			t.Errorf("a sound configuration at %v is not followed", later)
		}
	})
}
