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

// Guards against a refusal that is not true: refused work that runs, at once
// or when a late copy of the offer arrives after the cause has gone.
func TestRefusedOrderNeverRuns(t *testing.T) {
	type change func(*running, *rtwire.OfferRequest)
	tests := []struct {
		name    string
		before  change
		after   change
		outcome rtwire.Outcome
		reason  rtwire.Reason
	}{
		{"zone out",
			func(r *running, _ *rtwire.OfferRequest) { r.w.document.Zones[0].State = rtdocument.ZoneOutOfService },
			func(r *running, _ *rtwire.OfferRequest) { r.w.document.Zones[0].State = rtdocument.ZoneInService },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_ZONE_OUT},
		{"plan",
			func(r *running, _ *rtwire.OfferRequest) { r.w.document.Organisations[0].Services = nil },
			func(r *running, _ *rtwire.OfferRequest) {
				r.w.document.Organisations[0].Services = []rtid.Service{"filings"}
			},
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_PLAN},
		{"leaving",
			func(r *running, _ *rtwire.OfferRequest) { r.set(func() { r.leaving = true }) },
			func(r *running, _ *rtwire.OfferRequest) { r.set(func() { r.leaving = false }) },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_LEAVING},
		{"target down",
			func(r *running, _ *rtwire.OfferRequest) { r.set(func() { r.down = true }) },
			func(r *running, _ *rtwire.OfferRequest) { r.set(func() { r.down = false }) },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_TARGET},
		{"no time",
			func(_ *running, offer *rtwire.OfferRequest) { offer.Remaining.Seconds = 0 },
			func(_ *running, offer *rtwire.OfferRequest) { offer.Remaining.Seconds = 60 },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_DEADLINE},
		{"other incarnation",
			func(_ *running, offer *rtwire.OfferRequest) { offer.Incarnation-- },
			nil, rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION},
		{"other target",
			func(_ *running, offer *rtwire.OfferRequest) {
				offer.Request = strings.Replace(offer.Request, ".t1.", ".t2.", 1)
			},
			nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED},
		{"other organisation",
			func(_ *running, offer *rtwire.OfferRequest) { offer.Organisation = "other" },
			nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED},
		{"large body",
			func(_ *running, offer *rtwire.OfferRequest) { offer.Body = bytes.Repeat([]byte("x"), maxBody+1) },
			nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				service := rtfake.NewService(rtfake.ServiceConfig{})
				w.serve(1, service)
				agent := w.agent(serviceSettings())
				offer := agent.order("body", time.Minute)
				test.before(agent, offer)
				agent.send(offer, test.outcome, test.reason)
				if test.after != nil {
					test.after(agent, offer)
					if reply := agent.query(offer.Request); reply.Outcome != test.outcome || reply.Reason != test.reason {
						t.Errorf("query says %v %v", reply.Outcome, reply.Reason)
					}
				}
				agent.send(offer, test.outcome, test.reason)
				<-time.After(time.Minute)
				if effects := service.Effects(); len(effects) != 0 {
					t.Errorf("refused and still done: %v", effects)
				}
			})
		})
	}
}

// set changes the agent under its lock.
func (r *running) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Guards against one id that runs two bodies, and against answers that reach
// another organisation.
func TestConflictAndMisdelivery(t *testing.T) {
	inWorld(t, func(w *world) {
		service := rtfake.NewService(rtfake.ServiceConfig{})
		w.serve(1, service)
		agent := w.agent(serviceSettings())
		offer := agent.order("body", time.Minute)
		agent.accept(offer)
		changed := agent.order("changed", time.Minute)
		changed.Request = offer.Request
		agent.send(changed, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_CONFLICT)
		text := agent.want(offer.Request, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
		if effects := service.Effects(); len(effects) != 1 || effects[0].Result != text || string(effects[0].Body) != "body" {
			t.Errorf("got result %q, effects %v", text, effects)
		}
		reply, err := agent.target.Query(w.t.Context(), &rtwire.QueryRequest{Request: offer.Request, Organisation: "other"})
		if err != nil || len(reply.Result) != 0 || reply.Reason != rtwire.Reason_REASON_CONFLICT {
			t.Errorf("another organisation got %v, %v", reply, err)
		}
		foreign := strings.Replace(offer.Request, ".", "x.", 1)
		for _, path := range []string{offer.Request, foreign} {
			response, err := w.client.Get("http://" + string(agent.settings.PeerAddress) + "/answers/" + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				t.Errorf("answer %s without its organisation", path)
			}
		}
	})
}

// Guards against messages that exhaust the memory of the agent.
func TestOversizedMessage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		offer := agent.draft("", 1, time.Minute)
		offer.Body = bytes.Repeat([]byte("x"), maxMessage)
		if reply, err := agent.target.Offer(w.t.Context(), offer); err == nil {
			t.Errorf("got %v, want an error", reply)
		}
	})
}
