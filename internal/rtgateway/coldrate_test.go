package rtgateway

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// rankedPeers is a deployment of several gateways that know one another.
type rankedPeers struct {
	noPeers
	share rtlimit.Share
}

func (p rankedPeers) BudgetProcesses() int             { return p.share.Processes }
func (p rankedPeers) BudgetShare(string) rtlimit.Share { return p.share }

// Guards against parts of the rate limit of a cold target that add up to more than
// the limit because each gateway rounds its part up to one request, and against
// parts that are all rounded down to none.
func TestColdRateOfManyGateways(t *testing.T) {
	instance := &rtcatalog.Instance{ID: "t0", Service: "work"}
	tests := []struct {
		gateways int
		coldRate float64
		factor   float64
		slack    float64
	}{{1, 1, 1, 0}, {4, 36, 1.5, 5}, {29, 36, 1.5, 5}, {29, 8, 1.5, 5}, {29, 2, 1.5, 0}, {100, 8, 1.5, 5}, {100, 2, 1, 0}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			service := &rtcatalog.Service{Name: "work", ColdRate: test.coldRate}
			now := time.Now()
			sent := 0
			for i := range test.gateways {
				g := New(Settings{Bounds: Bounds{ColdFactor: test.factor, ColdSlack: test.slack}}, Dependencies{
					Log: logr.Discard(), Peers: rankedPeers{share: rtlimit.Share{Rank: i, Processes: test.gateways}},
				})
				for g.withinColdRate(service, instance, now) {
					g.recentSendsOf(instance.ID).Add(now)
					sent++
				}
			}
			if allowed := test.coldRate*test.factor + test.slack; float64(sent) > allowed || sent == 0 {
				t.Errorf("%d requests within a second, want some and at most %v", sent, allowed)
			}
		})
	}
}

// hashedPeers is a deployment of several gateways whose order differs by key.
type hashedPeers struct {
	noPeers
	processes int
}

func (p hashedPeers) LiveInCell() int      { return min(p.processes, 34) }
func (p hashedPeers) BudgetProcesses() int { return p.processes }
func (p hashedPeers) BudgetShare(key string) rtlimit.Share {
	return rtlimit.Share{Rank: int(xxhash.Sum64String(key) % uint64(p.processes)), Processes: p.processes}
}

// oneView is a view that does not change.
type oneView struct{ view *rtcatalog.View }

func (v oneView) View() *rtcatalog.View { return v.view }

// newGatewayOfMany returns one of many gateways before idle engines that may be cold, and
// a request to them.
func newGatewayOfMany(gateways, engines int, coldRate float64) (*Gateway, *request) {
	config := newConfiguration(1)
	config.Services = []rtcatalog.Service{{Name: "work", ColdRate: coldRate, Engine: &rtcatalog.Engine{
		Slots: 10, Memory: 315000, StepsPerPass: 51, StepTime: 850 * time.Microsecond,
		PrefillPerToken: 5650 * time.Nanosecond, PrefillPerMillionPairs: 184 * time.Microsecond,
	}}}
	config.Index()
	var instances []*rtcatalog.Instance
	for i := range engines {
		instances = append(instances, &rtcatalog.Instance{
			ID: rtid.Target(fmt.Sprint("t", i)), Service: "work", Address: rtid.Address(fmt.Sprintf("10.0.1.%d:80", i+1)), Zone: "a", Slots: 10,
		})
	}
	view := rtcatalog.NewView(rtid.StoreRevision{Number: 1}, config, nil, instances)
	g := New(Settings{Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 5}}, Dependencies{
		Log: logr.Discard(), Peers: hashedPeers{processes: gateways}, Views: oneView{view}, OnNews: func() {},
	})
	return g, &request{view: view, service: config.Service("work"), route: &config.Routes[0]}
}

// Guards against prompts that are split over the few engines to which one of many
// gateways may send a request, and so are late or refused, and against requests to the
// others.
func TestPromptOfOneOfManyGateways(t *testing.T) {
	const (
		engines, maxParts = 86, 17
		coldRate          = 14
		allowed           = coldRate*1.5 + 5.0 // by newGatewayOfMany
	)
	large := rtplacement.Work{Prompt: 500_000, Output: 800, LatencySLO: 4 * time.Second, GapSLO: 1200 * time.Millisecond, AbandonTimeout: 16 * time.Second}
	short := rtplacement.Work{Prompt: 3000, Output: 800, LatencySLO: 400 * time.Millisecond, GapSLO: 300 * time.Millisecond, AbandonTimeout: 2 * time.Second}
	for _, gateways := range []int{4, 68, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, q := newGatewayOfMany(gateways, engines, coldRate)
				q.work = large
				placed, ok := g.place(q, large, nil)
				if !ok || placed.Decision != rtplacement.Send || 1+len(placed.Helpers) != maxParts {
					t.Fatalf("prompt of %d tokens among idle engines: placed %v, %v, in %d parts, want it sent in %d", large.Prompt, ok, placed.Decision, 1+len(placed.Helpers), maxParts)
				}
				// Short prompts until the gateway has used its parts, at one moment.
				q.work = short
				sent := map[rtid.Target]int{placed.Target.ID: 1}
				for {
					next, ok := g.place(q, short, nil)
					if !ok {
						break
					}
					sent[next.Target.ID]++
				}
				limit := int(math.Floor(coldRateShare * allowed))
				for _, instance := range q.view.Instances("work") {
					if part := g.peers.BudgetShare("cold " + string(instance.ID)).Part(limit); sent[instance.ID] != part {
						t.Errorf("%d requests to %s within a second, want the part of this gateway, %d", sent[instance.ID], instance.ID, part)
					}
				}
				q.work = large
				if _, err := g.planReservations(q, placed.Placement, nil, placed.inFlight); err != nil {
					t.Errorf("memory for a prompt of %d tokens, which needs no part: %v", large.Prompt, err)
				}
			})
		})
	}
}

// coldFleet is a number of gateways that send as much as they may to one cold target.
type coldFleet struct {
	processes int
	coldRate  float64
	factor    float64
	slack     float64
}

// start returns gateways that have just started.
func (f coldFleet) start() []*Gateway {
	var gateways []*Gateway
	for i := range f.processes {
		gateways = append(gateways, New(Settings{Bounds: Bounds{ColdFactor: f.factor, ColdSlack: f.slack}}, Dependencies{
			Log: logr.Discard(), Peers: rankedPeers{share: rtlimit.Share{Rank: i, Processes: f.processes}},
		}))
	}
	return gateways
}

// play starts all gateways again at given times, and returns the times of the requests.
func (f coldFleet) play(length time.Duration, restarts []time.Duration) []time.Duration {
	const step = 10 * time.Millisecond
	service := &rtcatalog.Service{Name: "work", ColdRate: f.coldRate}
	target := &rtcatalog.Instance{ID: "t0", Service: "work", ColdRemaining: 10 * time.Second}
	gateways := f.start()
	time.Sleep(10 * time.Second)
	var sends []time.Duration
	for at := time.Duration(0); at < length; at += step {
		if len(restarts) > 0 && at >= restarts[0] && len(sends) > 0 {
			gateways, restarts = f.start(), restarts[1:]
		}
		for _, g := range gateways {
			for g.withinColdRate(service, target, time.Now()) {
				g.recentSendsOf(target.ID).Add(time.Now())
				sends = append(sends, at)
			}
		}
		time.Sleep(step)
	}
	return sends
}

// mostWithin returns the most of some times, in order, within a span.
func mostWithin(span time.Duration, times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against gateways that start again, all at the same moment and up to twice within
// a second, and use the rate of a cold target once more; and against ones that do not
// use it again later.
func TestColdRateAfterRestarts(t *testing.T) {
	const length, lastSecond = 4 * time.Second, 3 * time.Second
	fleets := []coldFleet{{1, 1, 1, 0}, {2, 2, 1.5, 5}, {4, 36, 1.5, 5}, {29, 36, 1.5, 5}, {29, 8, 1.5, 5}, {68, 14, 1.5, 5}, {100, 2, 1, 0}}
	for _, fleet := range fleets {
		for _, restarts := range [][]time.Duration{{0}, {0, 100 * time.Millisecond}, {0, 990 * time.Millisecond}, {300 * time.Millisecond, 900 * time.Millisecond}} {
			t.Run(fmt.Sprint(fleet, restarts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sends := fleet.play(length, restarts)
					most, allowed := mostWithin(time.Second, sends), fleet.coldRate*fleet.factor+fleet.slack
					if float64(most) > allowed || sends[len(sends)-1] < lastSecond {
						t.Errorf("%d requests within a second and the last one after %v, want at most %v, and some after %v", most, sends[len(sends)-1], allowed, lastSecond)
					}
				})
			})
		}
	}
}
