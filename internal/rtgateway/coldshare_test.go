package rtgateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtpeer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// startingGroup returns the group of a process that has just started, with a number of
// processes of which it knows the addresses only.
func startingGroup(vm rtid.VM, processes int) *rtpeer.Group {
	var seeds []rtid.Address
	for i := range processes - 1 {
		seeds = append(seeds, rtid.Address(fmt.Sprintf("10.0.7.%d:7340", i+1)))
	}
	return rtpeer.New(rtpeer.Options{VM: vm, Address: "10.0.6.1:7340", Seeds: seeds, Log: logr.Discard()})
}

// Guards against a process that may send to no target until it knows its rank, after the
// loss of all 46 gateways of a deployment with 72 targets.
func TestTargetsOfStartingGateway(t *testing.T) {
	const gateways, engines, coldRate = 46, 72, 26 // at most 44 requests in a second, 35 of which are used
	work := rtplacement.Work{Prompt: 3000, Output: 800, LatencySLO: 400 * time.Millisecond, GapSLO: 300 * time.Millisecond, AbandonTimeout: 2 * time.Second}
	synctest.Test(t, func(t *testing.T) {
		for i := range gateways {
			g, q := newGatewayOfMany(gateways, engines, coldRate)
			g.peers = startingGroup(rtid.VM(fmt.Sprint("vm", i)), gateways)
			q.work = work
			if _, ok := g.place(q, work, nil); !ok {
				t.Errorf("gateway %d of %d may send to none of %d engines at its start, want some", i, gateways, engines)
			}
		}
	})
}

// Guards against requests that are refused in the first half second after a start,
// although their process may send as soon as it knows its rank, and against ones that
// are held although they cannot be sent in time.
func TestRequestsWaitForShare(t *testing.T) {
	tests := []struct {
		name     string
		coldRate float64
		headers  []string
		status   int
		took     time.Duration // at most
	}{
		{"sent when the rank is known", 44, nil, http.StatusOK, time.Second},
		{"refused because its time is too short", 44, []string{"Remaining", "600ms"}, http.StatusServiceUnavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				c := newConfiguration(2)
				c.Services[0].ColdRate = test.coldRate / 1.5
				b.publish(c)
				b.gateway.peers = startingGroup("entry-2", 46)
				got := b.call(http.MethodPost, "/safe/x", headers("id-1", test.headers...), "")
				if got.status != test.status || got.took > test.took {
					t.Errorf("got status %d after %v, want %d within %v", got.status, got.took, test.status, test.took)
				}
				if got.status != http.StatusOK && got.header.Get("Retry-After") == "" {
					t.Error("refused without Retry-After, want one")
				}
				if lines := b.logged(reasonNoShare); got.status != http.StatusOK && (len(lines) != 1 || !strings.Contains(lines[0], "Refused.")) {
					t.Errorf("logged %q, want one refusal for lack of a share", lines)
				}
			})
		})
	}
}
