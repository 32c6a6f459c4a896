package rtgateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
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
