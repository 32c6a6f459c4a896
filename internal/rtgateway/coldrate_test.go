package rtgateway

import (
	"fmt"
	"math"
	"testing"
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

func (p hashedPeers) LiveInCell() int      { return p.processes }
func (p hashedPeers) BudgetProcesses() int { return p.processes }
func (p hashedPeers) BudgetShare(key string) rtlimit.Share {
	return rtlimit.Share{Rank: int(xxhash.Sum64String(key) % uint64(p.processes)), Processes: p.processes}
}

// oneView is a view that does not change.
type oneView struct{ view *rtcatalog.View }

func (v oneView) View() *rtcatalog.View { return v.view }

// Guards against prompts that are split over the few engines to which one of many
// gateways may send a request, and so are late or refused, and against requests to the
// others.
func TestPromptOfOneOfManyGateways(t *testing.T) {
	const engines, gateways, maxParts = 86, 68, 17
	config := newConfiguration(1)
	config.Services = []rtcatalog.Service{{Name: "work", ColdRate: 14, Engine: &rtcatalog.Engine{
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
	peers := hashedPeers{processes: gateways}
	g := New(Settings{Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 5}}, Dependencies{
		Log: logr.Discard(), Peers: peers, Views: oneView{view}, OnNews: func() {},
	})
	service := view.Configuration.Service("work")
	q := &request{view: view, service: service, route: &view.Configuration.Routes[0]}
	work := rtplacement.Work{Prompt: 500_000, Output: 800, LatencySLO: 4 * time.Second, GapSLO: 1200 * time.Millisecond, AbandonTimeout: 16 * time.Second}
	placed, ok := g.place(q, work, nil)
	if !ok || placed.Decision != rtplacement.Send || 1+len(placed.Helpers) != maxParts {
		t.Errorf("prompt of %d tokens among idle engines: placed %v, %v, in %d parts, want it sent in %d", work.Prompt, ok, placed.Decision, 1+len(placed.Helpers), maxParts)
	}
	// Short prompts until the gateway has used its parts.
	short := rtplacement.Work{Prompt: 3000, Output: 800, LatencySLO: 400 * time.Millisecond, GapSLO: 300 * time.Millisecond, AbandonTimeout: 2 * time.Second}
	sent := make(map[rtid.Target]int)
	if ok {
		sent[placed.Target.ID]++
	}
	for {
		placed, ok := g.place(q, short, nil)
		if !ok {
			break
		}
		sent[placed.Target.ID]++
	}
	// Its parts are used, but memory for a prompt needs none.
	q.work = work
	inFlight := g.loads.Start(placed.Placement, work, time.Now())
	if _, err := g.planReservations(q, placed.Placement, nil, inFlight); err != nil {
		t.Errorf("memory for a prompt of %d tokens among idle engines: %v", work.Prompt, err)
	}
	const allowed = 14*1.5 + 5.0
	limit := int(math.Floor(coldRateShare * allowed))
	for _, instance := range instances {
		if part := peers.BudgetShare("cold " + string(instance.ID)).Part(limit); sent[instance.ID] != part {
			t.Errorf("%d requests to %s within a second, want the part of this gateway, %d", sent[instance.ID], instance.ID, part)
		}
	}
}
