package rtgateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfeature"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtshare"
)

// useShares publishes an engine service and two organisations, and turns fair shares on
// or off.
func useShares(b *testbed, on bool) {
	useEngineService(b)
	c := b.view.Configuration
	c.Organisations = append(c.Organisations, rtcatalog.Organisation{Name: "noisy", Keys: []string{"loud"}, Priority: -1})
	c.Index()
	b.gateway.settings.Features = rtfeature.Settings{Shares: rtfeature.Switch{Enabled: on}}
}

// fillEngines reports a backlog at all engines as that of a peer.
func fillEngines(b *testbed, backlog time.Duration) {
	loads := make(map[rtid.Target]rtplacement.Load)
	for _, target := range b.targets {
		loads[target.id] = rtplacement.Load{Requests: 1, PrefillBacklog: backlog}
	}
	b.gateway.SetPeerLoads("peer", loads)
}

// Guards against a request of a quiet organisation that waits behind earlier ones of a
// noisy one, against requests that are held up by one whose caller has left, and against
// any refusal of them.
func TestQuietOrganisationFirst(t *testing.T) {
	for _, on := range []bool{true, false} {
		withTestbed(t, 6, func(b *testbed) {
			useShares(b, on)
			fillEngines(b, time.Second)
			b.gateway.SetPeerUses("peer", []rtshare.Use{{Service: "work", Organisation: "noisy", Time: 20 * time.Second}}, []rtid.Service{"work"})
			var calls sync.WaitGroup
			send := func(ctx context.Context, id, key string, want int) {
				calls.Go(func() {
					got := b.callCtx(ctx, http.MethodPost, "/once/x", headers(id, "Size", "90000", "Key", key), "")
					if got.status != want {
						b.t.Errorf("shares %v: %s got status %d after %v, error %v, want %d", on, id, got.status, got.took, got.err, want)
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
			leaving, leave := context.WithCancel(b.t.Context())
			send(leaving, "leaves", "loud", 0)
			send(b.t.Context(), "noisy-1", "loud", http.StatusOK)
			send(b.t.Context(), "noisy-2", "loud", http.StatusOK)
			send(b.t.Context(), "quiet", "key", http.StatusOK)
			time.Sleep(200 * time.Millisecond)
			leave()
			time.Sleep(time.Millisecond) // until the gateway knows
			fillEngines(b, 0)
			calls.Wait()
			runs := b.allRuns()
			if len(runs) != 3 {
				b.t.Fatalf("shares %v: runs %s, want 3", on, describe(runs))
			}
			if first := runs[0].request.Header.Get("Id"); on && first != "quiet" {
				b.t.Errorf("first request sent is %s, want quiet", first)
			}
			if named := len(b.logged(`"organisation"="court"`)); named == 0 {
				b.t.Errorf("shares %v: no line names the organisation", on)
			}
			if lines := len(b.logged(`"share"=`)); (lines > 0) != on {
				b.t.Errorf("shares %v: %d lines have its share", on, lines)
			}
			if queue := b.gateway.sharing.queueOf("work"); queue.Len() != 0 {
				b.t.Errorf("shares %v: %d requests are left in the queue", on, queue.Len())
			}
		})
	}
}

// reportLoad reports, until the returned function is called, a backlog below what admission
// allows and above half of it, and if capacity is to be scarce the uses of a peer.
func reportLoad(b *testbed, scarce bool) (stop func()) {
	stopped := make(chan struct{})
	var reports sync.WaitGroup
	reports.Go(func() {
		for {
			fillEngines(b, 200*time.Millisecond)
			if scarce {
				b.gateway.SetPeerUses("peer", []rtshare.Use{
					{Service: "work", Organisation: "noisy", Time: 20 * time.Second},
					{Service: "work", Organisation: "court", Waiting: true},
				}, []rtid.Service{"work"})
			}
			select {
			case <-stopped:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	return func() {
		close(stopped)
		reports.Wait()
	}
}

// Guards against an organisation over its share that is held although it would be refused
// then, or although its requests could be sent in calm.
func TestHeldRequestIsSentInTime(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		scarce bool
		wait   time.Duration // at most
	}{
		{"calm", "/once/x", false, 0},
		{"scarce", "/once/x", true, 2550 * time.Millisecond}, // 0.85 of the latency SLO of 3 s
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 6, func(b *testbed) {
				useShares(b, true)
				stop := reportLoad(b, test.scarce)
				time.Sleep(10 * time.Millisecond)
				started := time.Now()
				got := b.call(http.MethodPost, "/once/x", headers("id-1", "Size", "60000", "Key", "loud"), "")
				stop()
				runs := b.allRuns()
				if got.status != http.StatusOK || len(runs) != 1 {
					b.t.Fatalf("got status %d, runs %s", got.status, describe(runs))
				}
				waited := runs[0].at.Sub(started)
				if waited > test.wait+10*time.Millisecond || test.scarce && waited < 100*time.Millisecond {
					b.t.Errorf("sent after %v, want up to %v, and a wait only if capacity is scarce", waited, test.wait)
				}
				if lines := b.logged(`"use"=`); test.scarce != (len(lines) > 0) {
					b.t.Errorf("lines with the use: %s", strings.Join(lines, "\n"))
				}
			})
		})
	}
}

// Guards against an organisation over its share that takes the last places at the targets
// of a plain service, and against one that waits for longer than half of its latency SLO
// or where there is room.
func TestHoldAtPlainService(t *testing.T) {
	tests := []struct {
		name     string
		key      string
		requests int // at each target, which has 16 slots
		want     time.Duration
	}{
		{"over its share, full", "loud", 16, 160 * time.Millisecond},
		{"over its share, room", "loud", 15, 0},
		{"within its share, full", "key", 16, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				useShares(b, true)
				b.view.Configuration.Services[0].Engine = nil
				loads := make(map[rtid.Target]rtplacement.Load)
				for _, target := range b.targets {
					loads[target.id] = rtplacement.Load{Requests: test.requests}
				}
				b.gateway.SetPeerLoads("peer", loads)
				b.gateway.SetPeerUses("peer", []rtshare.Use{
					{Service: "work", Organisation: "noisy", Time: 20 * time.Millisecond},
					{Service: "work", Organisation: "court", Waiting: true},
				}, []rtid.Service{"work"})
				// The latency SLO is 300 ms, and requests are tried each 40 ms.
				for i := range b.view.Configuration.Routes {
					b.view.Configuration.Routes[i].LatencySLO = 300 * time.Millisecond
				}
				started := time.Now()
				got := b.call(http.MethodPost, "/safe/x", headers("id-1", "Key", test.key), "")
				runs := b.allRuns()
				if got.status != http.StatusOK || len(runs) != 1 {
					b.t.Fatalf("got status %d, runs %s", got.status, describe(runs))
				}
				if waited := runs[0].at.Sub(started); (waited - test.want).Abs() > 20*time.Millisecond {
					b.t.Errorf("sent after %v, want %v", waited, test.want)
				}
			})
		})
	}
}
