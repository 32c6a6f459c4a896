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

// Guards against a slow spell after which long work is refused for ever, and
// against a target that is slower for good and counts as cold for ever.
func TestPaceRecovers(t *testing.T) {
	const work rtid.Tokens = 100_000
	now := time.UnixMilli(1)
	p := newPace(100_000)
	p.answered(100, time.Second, now)
	for range 20 {
		p.prefilled(work, 10*time.Second, now)
		p.answered(100, 10*time.Second, now)
	}
	if rate := p.rateAt(now); rate > 15_000 {
		t.Errorf("rate %.0f in a slow spell", rate)
	}
	if p.answer(100, now) < 9*time.Second || p.tokenRatio(100, 10*time.Second) < rtwarm.SlowRatio {
		t.Error("the slow spell is not noticed")
	}
	later := now.Add(paceRecovery)
	if predicted := p.prefill(work, later) + p.answer(100, later); predicted > 8*time.Second {
		t.Errorf("predicted to take %v after the spell", predicted)
	}
	for range 200 {
		p.prefilled(work, 10*time.Second, now)
		p.answered(100, 10*time.Second, now)
	}
	if ratio := max(p.tokenRatio(100, 10*time.Second), rtwarm.Ratio(10*time.Second, p.expected(work))); ratio > rtwarm.GoodRatio {
		t.Errorf("ratio %.1f of a target that is slower for good", ratio)
	}
}

// BenchmarkOffer measures the decision about an order that is new and one
// that is refused by a full queue, without network.
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
	agent := &running{Agent: New(serviceSettings(), Dependencies{
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
		offer := agent.order(fmt.Sprint("body", len(outcomes)), time.Minute)
		agent.pause.latest = time.Now()
		b.StartTimer()
		outcomes[agent.decide(offer, time.Now()).Outcome]++
	}
	b.Log(outcomes)
}
