package rtagent

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Guards against a refused order that runs, at once or when a delayed copy of
// the offer arrives after the reason for the refusal no longer holds.
func TestRefusedOrderNeverRuns(t *testing.T) {
	type change func(*testAgent, *rtwire.OfferRequest)
	tests := []struct {
		name    string
		before  change
		after   change
		outcome rtwire.Outcome
		reason  rtwire.Reason
	}{
		{"zone out",
			func(r *testAgent, _ *rtwire.OfferRequest) { r.cluster.doc.Zones[0].State = rtdocument.ZoneOutOfService },
			func(r *testAgent, _ *rtwire.OfferRequest) { r.cluster.doc.Zones[0].State = rtdocument.ZoneInService },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_ZONE_OUT},
		{"plan",
			func(r *testAgent, _ *rtwire.OfferRequest) { r.cluster.doc.Organisations[0].Services = nil },
			func(r *testAgent, _ *rtwire.OfferRequest) {
				r.cluster.doc.Organisations[0].Services = []rtid.Service{"filings"}
			},
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_PLAN},
		{"leaving",
			func(r *testAgent, _ *rtwire.OfferRequest) { r.withLock(func() { r.draining = true }) },
			func(r *testAgent, _ *rtwire.OfferRequest) { r.withLock(func() { r.draining = false }) },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_LEAVING},
		{"target down",
			func(r *testAgent, _ *rtwire.OfferRequest) { r.withLock(func() { r.targetDown = true }) },
			func(r *testAgent, _ *rtwire.OfferRequest) { r.withLock(func() { r.targetDown = false }) },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_TARGET},
		{"no time",
			func(_ *testAgent, offer *rtwire.OfferRequest) { offer.Remaining.Seconds = 0 },
			func(_ *testAgent, offer *rtwire.OfferRequest) { offer.Remaining.Seconds = 60 },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_DEADLINE},
		{"other incarnation",
			func(_ *testAgent, offer *rtwire.OfferRequest) { offer.Incarnation-- },
			nil, rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION},
		{"other target",
			func(_ *testAgent, offer *rtwire.OfferRequest) {
				offer.Request = strings.Replace(offer.Request, ".t1.", ".t2.", 1)
			},
			nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED},
		{"other organisation",
			func(_ *testAgent, offer *rtwire.OfferRequest) { offer.Organisation = "other" },
			nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED},
		{"large body",
			func(_ *testAgent, offer *rtwire.OfferRequest) { offer.Body = bytes.Repeat([]byte("x"), maxBodySize+1) },
			nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(c *cluster) {
				service := rtfake.NewService(rtfake.ServiceConfig{})
				c.serveTarget(1, service)
				agent := c.startReadyAgent(serviceSettings())
				offer := agent.orderOffer("body", time.Minute)
				test.before(agent, offer)
				agent.wantOffer(offer, test.outcome, test.reason)
				if test.after != nil {
					test.after(agent, offer)
					if reply := agent.queryLedger(offer.Request); reply.Outcome != test.outcome || reply.Reason != test.reason {
						t.Errorf("query: got %v %v, want the outcome and reason of the refusal", reply.Outcome, reply.Reason)
					}
				}
				agent.wantOffer(offer, test.outcome, test.reason)
				<-time.After(time.Minute)
				if effects := service.Effects(); len(effects) != 0 {
					t.Errorf("the service executed a refused order: %v", effects)
				}
			})
		})
	}
}

// withLock runs a function while it holds the agent's lock.
func (r *testAgent) withLock(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Guards against running two bodies under one request ID, and against delivering
// answers to another organisation.
func TestConflictAndMisdelivery(t *testing.T) {
	withCluster(t, func(c *cluster) {
		service := rtfake.NewService(rtfake.ServiceConfig{})
		c.serveTarget(1, service)
		agent := c.startReadyAgent(serviceSettings())
		offer := agent.orderOffer("body", time.Minute)
		agent.wantAccepted(offer)
		changed := agent.orderOffer("changed", time.Minute)
		changed.Request = offer.Request
		agent.wantOffer(changed, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_CONFLICT)
		text := agent.wantEnd(offer.Request, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
		if effects := service.Effects(); len(effects) != 1 || effects[0].Result != text || string(effects[0].Body) != "body" {
			t.Errorf("got result %q and effects %v, want one effect with that result and the first body", text, effects)
		}
		reply, err := agent.target.Query(c.t.Context(), &rtwire.QueryRequest{Request: offer.Request, Organisation: "other"})
		if err != nil || len(reply.Result) != 0 || reply.Reason != rtwire.Reason_REASON_CONFLICT {
			t.Errorf("query of another organisation: got %v, %v, want a conflict without result", reply, err)
		}
		foreign := strings.Replace(offer.Request, ".", "x.", 1)
		for _, path := range []string{offer.Request, foreign} {
			response, err := c.client.Get("http://" + string(agent.settings.PeerAddress) + "/answers/" + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				t.Errorf("answer %s delivered without the header of its organisation", path)
			}
		}
	})
}

// Guards against large messages that exhaust the memory of the agent.
func TestOversizedMessage(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		offer := agent.draftOffer("", 1, time.Minute)
		offer.Body = bytes.Repeat([]byte("x"), maxMessageSize)
		if reply, err := agent.target.Offer(c.t.Context(), offer); err == nil {
			t.Errorf("offer above the message limit: got %v, want an error", reply)
		}
	})
}
