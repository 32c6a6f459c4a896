package rtagent

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// FuzzOffer guards against offers that crash an agent, that are accepted with
// values out of range, or that are accepted twice.
func FuzzOffer(f *testing.F) {
	home := rtid.Home{Kind: rtid.KindDraft, Target: settings(1).Target, Incarnation: 1, OrganisationHash: rtid.HashOrganisation(court)}
	good := &rtwire.OfferRequest{
		Request: string(rtid.NewRequest(home)), Attempt: 1, Organisation: string(court), Service: string(settings(1).Service),
		Kind: rtwire.Kind_KIND_DRAFT, Body: []byte("prompt"), Tokens: 2, Output: 5, Remaining: durationpb.New(time.Minute),
	}
	for _, change := range []func(*rtwire.OfferRequest){
		func(*rtwire.OfferRequest) {},
		func(o *rtwire.OfferRequest) { o.Tokens, o.Output, o.Offset = -1, 1<<62, 1<<62 },
		func(o *rtwire.OfferRequest) { o.Remaining = &durationpb.Duration{Seconds: 1 << 40, Nanos: -5} },
		func(o *rtwire.OfferRequest) { o.Prefix = []byte("pre") },
		func(o *rtwire.OfferRequest) { o.Request = "d" },
		func(o *rtwire.OfferRequest) { o.Kind, o.Incarnation = 99, 1 },
	} {
		offer := proto.Clone(good).(*rtwire.OfferRequest)
		change(offer)
		message, err := proto.Marshal(offer)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
	}
	metrics, err := rtmetric.New("fuzz")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = metrics.Close() })
	f.Fuzz(func(t *testing.T, message []byte) {
		offer := &rtwire.OfferRequest{}
		if proto.Unmarshal(message, offer) != nil {
			return
		}
		agent := newIdleAgent(metrics)
		first := agent.decide(offer, time.Now())
		again := agent.decide(offer, time.Now())
		if waiting := agent.queue.Waiting(); (first.Outcome == rtwire.Outcome_OUTCOME_ACCEPTED) != (waiting == 1) {
			t.Errorf("first reply %s, second reply %s, %d requests waiting; want 1 waiting only if accepted", first, again, waiting)
		}
		if first.Outcome == rtwire.Outcome_OUTCOME_ACCEPTED && (offer.Output < 0 || offer.Tokens < 0 || offer.Remaining.AsDuration() <= 0) {
			t.Errorf("accepted an offer with values out of range: %s", offer)
		}
	})
}

// newIdleAgent returns an agent that accepts offers but has no dispatcher.
func newIdleAgent(metrics *rtmetric.Metrics) *Agent {
	node := &fakeNode{document: &rtdocument.Document{
		Organisations: []rtdocument.Organisation{{Name: court, Services: []rtid.Service{settings(1).Service}, Share: 1}},
		Services:      []rtdocument.Service{{Name: settings(1).Service, Kind: rtdocument.KindDraft}},
		Zones:         []rtdocument.Zone{{Name: "a", State: rtdocument.ZoneInService}},
	}}
	agent := New(settings(1), Dependencies{
		Network: (&rtfake.Network{}).Host("10.0.0.1"),
		Log:     logr.Discard(),
		Metrics: metrics,
		NewNode: func(options rtnode.Options) Node {
			node.Node = rtnode.New(options)
			return node
		},
	})
	agent.ready = true
	return agent
}
