package rtnode

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// FuzzObserve guards against statuses of peers that crash a process, or that
// are stored although the name or address of the sender is invalid.
func FuzzObserve(f *testing.F) {
	for _, status := range []*rtwire.Status{
		{},
		{Vm: "vm1", Role: rtwire.Role_ROLE_ENTRY, Zone: "a", Address: "10.0.0.1:1", Incarnation: 1, Version: 7, Confirmed: durationpb.New(time.Second)},
		{Vm: "vm2", Role: rtwire.Role_ROLE_AGENT, Zone: "a", Address: "10.0.0.2:1", Incarnation: 1, Target: "t", Service: "s",
			Load: &rtwire.Load{Queued: 1, Limit: 2, Slots: 4, Rate: 1e5, Total: 400_000}},
		{Vm: "vm3", Role: rtwire.Role_ROLE_AGENT, Zone: "a", Address: "10.0.0.2:1", Incarnation: 1, Target: "t", Service: "s",
			Load: &rtwire.Load{Queued: -1, Rate: -1, Used: 1 << 62}},
		{Vm: "vm4", Role: 9, Zone: "..", Address: "x", Incarnation: 1<<64 - 1, Confirmed: &durationpb.Duration{Nanos: -1}},
	} {
		message, err := proto.Marshal(status)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		status := &rtwire.Status{}
		if proto.Unmarshal(message, status) != nil {
			return
		}
		node := New(Options{
			Settings: rtsettings.Common{VM: "self", Zone: "a", PeerAddress: "10.0.0.9:1"},
			Role:     rtwire.Role_ROLE_ENTRY,
			Log:      logr.Discard(),
			Metrics:  tally.NoopScope,
		})
		node.HandleStatus(status)
		for _, peer := range node.Dump().AlivePeers {
			if _, err := netip.ParseAddrPort(string(peer.Address)); err != nil || !rtid.ValidName(string(peer.VM)) {
				t.Errorf("%v is kept as %+v", status, peer)
			}
		}
	})
}
