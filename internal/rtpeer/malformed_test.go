package rtpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
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
		`"evidence":[{"part":"a","crashes":{"i-1":[100]},"age":5}],"limits":[{"target":"i-1","born":2,"rate":1.5,"sent":5,"heard":3}],"leaving":[{"target":"i-1","born":2}]}`)
	f.Add(`{"vm":"vm1","address":"10.0.0.1:80","sent":-9223372036854775808,"age":9223372036854775807,"avoid":{"":-9223372036854775808},"limits":[{"target":"x","rate":1e308,"sent":9223372036854775807}]}`)
	sound, err := encodeDigest(digest{
		VM: "vm1", Address: addressOf(1), Sent: 5, Loads: map[rtid.Target]reportedLoad{"i-1": {1, 2, 3, 4, 5}},
		Evidence: []reportedEvidence{{Part: "a", Crashes: reportedCrashes{"i-1": {5}}}}, Limits: []reportedLimit{{Rate: 1}},
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
