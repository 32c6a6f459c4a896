package rtagent

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwarm"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Guards against refusing long requests forever after a slow period, and
// against a target that stays slower and counts as cold forever.
func TestPaceRecovers(t *testing.T) {
	const prompt rtid.Tokens = 100_000
	now := time.UnixMilli(1)
	estimate := newSpeedEstimate(100_000)
	estimate.recordDecode(100, time.Second, now)
	for range 20 {
		estimate.recordPrefill(prompt, 10*time.Second, now)
		estimate.recordDecode(100, 10*time.Second, now)
	}
	if rate := estimate.predictedRate(now); rate > 15_000 {
		t.Errorf("predicted rate %.0f tokens/s in a slow period, want at most 15000", rate)
	}
	if estimate.predictDecode(100, now) < 9*time.Second || estimate.tokenRatio(100, 10*time.Second) < rtwarm.SlowRatio {
		t.Error("the slow period does not change the decode prediction or the token time ratio")
	}
	later := now.Add(recoveryTime)
	if predicted := estimate.predictPrefill(prompt, later) + estimate.predictDecode(100, later); predicted > 8*time.Second {
		t.Errorf("predicted duration %v after the recovery time, want at most 8s", predicted)
	}
	for range 200 {
		estimate.recordPrefill(prompt, 10*time.Second, now)
		estimate.recordDecode(100, 10*time.Second, now)
	}
	if ratio := max(estimate.tokenRatio(100, 10*time.Second), rtwarm.Ratio(10*time.Second, estimate.warmPrefillTime(prompt))); ratio > rtwarm.GoodRatio {
		t.Errorf("slowdown ratio %.1f of a target that stays slower, want a good ratio", ratio)
	}
}

// BenchmarkOffer measures the decision about a new order, accepted or refused
// by a full queue, without network.
func BenchmarkOffer(b *testing.B) {
	metrics, err := rtmetric.New("bench")
	if err != nil {
		b.Fatal(err)
	}
	document := &rtdocument.Document{
		Organisations: []rtdocument.Organisation{{Name: court, Services: []rtid.Service{"filings"}, Share: 1}},
		Services:      []rtdocument.Service{{Name: "filings", Kind: rtdocument.KindOrder}},
		Zones:         []rtdocument.Zone{{Name: "a", State: rtdocument.ZoneInService}},
	}
	agent := &testAgent{Agent: New(serviceSettings(), Dependencies{
		Network: &rtnet.TCP{},
		Log:     logr.Discard(),
		Metrics: metrics,
		NewNode: func(options rtnode.Options) Node {
			return &fakeNode{Node: rtnode.New(options), document: document}
		},
	})}
	agent.ready = true
	outcomes := map[rtwire.Outcome]int{}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		offer := agent.orderOffer(fmt.Sprint("body", len(outcomes)), time.Minute)
		agent.pauses.lastSeen = time.Now()
		b.StartTimer()
		outcomes[agent.decide(offer, time.Now()).Outcome]++
	}
	b.Log(outcomes)
}
