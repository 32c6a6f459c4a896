package rtfleet

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// offerOf returns an offer of a fresh draft to the home of run, as an entry
// sends it, or of the order of run if it has one.
func (c *cell) offerOf(id rtid.Request) *rtwire.OfferRequest {
	home, err := rtid.ParseRequest(id)
	if err != nil {
		c.t.Fatal(err)
	}
	offer := &rtwire.OfferRequest{
		Request: string(id), Attempt: 1, Organisation: "high-court", Service: "filings", Kind: rtwire.Kind_KIND_ORDER,
		Body: []byte(orderBody), Tokens: 10, Remaining: durationpb.New(cellLimit), Incarnation: uint64(home.Incarnation),
		Sender: &rtwire.Status{},
	}
	if home.Kind == rtid.KindDraft {
		offer.Service, offer.Kind, offer.Output = "drafts", rtwire.Kind_KIND_DRAFT, outputLimit
	}
	return offer
}

// offer sends an offer straight to an agent, as an entry with a stale view
// does.
func (c *cell) offer(offer *rtwire.OfferRequest) *rtwire.OfferReply {
	c.t.Helper()
	agent := c.fleet.Agent(targetOf(rtid.Request(offer.Request)))
	client := rtwire.NewTargetProtobufClient("http://"+string(agent.PeerAddress), c.client)
	reply, err := client.Offer(c.ctx, offer)
	if err != nil {
		c.t.Fatalf("offer %s: %v", offer.Request, err)
	}
	return reply
}

// TestStaleOffer guards against an agent that trusts the entries to know the
// news: each offer comes from an entry that does not know it.
func TestStaleOffer(t *testing.T) {
	done := rtwire.Reason_REASON_NONE
	for _, test := range []struct {
		name    string
		news    func(c *cell, agent *Process)
		change  func(*rtwire.OfferRequest)
		outcome rtwire.Outcome
		reason  rtwire.Reason
		runs    int
	}{
		{"none", nil, nil, rtwire.Outcome_OUTCOME_ACCEPTED, done, 1},
		{"zone out", func(c *cell, _ *Process) {
			c.publishZones(rtdocument.ZoneOutOfService, 0, 1, 2)
			c.wait(5 * time.Second)
		}, nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_ZONE_OUT, 0},
		{"leaving", func(c *cell, agent *Process) {
			c.stop(agent)
			c.wait(time.Second)
		}, nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_LEAVING, 0},
		{"restarted", func(c *cell, agent *Process) {
			agent.Kill()
			c.restart(agent)
			c.wait(time.Second)
		}, nil, rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION, 0},
		{"restarted, claimed to be meant", func(c *cell, agent *Process) {
			agent.Kill()
			c.restart(agent)
			c.wait(time.Second)
		}, func(offer *rtwire.OfferRequest) { offer.Incarnation++ }, rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION, 0},
		{"other organisation", nil, func(offer *rtwire.OfferRequest) { offer.Organisation = "parish" },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED, 0},
		{"no time", nil, func(offer *rtwire.OfferRequest) { offer.Remaining = durationpb.New(0) },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_DEADLINE, 0},
		{"too large", nil, func(offer *rtwire.OfferRequest) { offer.Body = make([]byte, 8<<20+1) },
			rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_MALFORMED, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runCell(t, nil, func(c *cell) {
				order := c.issue()
				if test.news != nil {
					test.news(c, c.fleet.Agent(targetOf(order.id)))
				}
				offer := c.offerOf(order.id)
				if test.change != nil {
					test.change(offer)
				}
				reply := c.offer(offer)
				if reply.Outcome != test.outcome || reply.Reason != test.reason {
					t.Errorf("offer: %s %s, want %s %s", reply.Outcome, reply.Reason, test.outcome, test.reason)
				}
				c.wait(2 * time.Second)
				if runs := c.serviceOf(order).Executions(order.id); runs != test.runs {
					t.Errorf("the order ran %d times, want %d", runs, test.runs)
				}
				if test.name == "leaving" {
					c.replace(c.fleet.Agent(targetOf(order.id)))
				}
			})
		})
	}
}

// orderCall is one call about an order.
type orderCall struct {
	name         string
	wait         time.Duration // before the call
	organisation rtid.Organisation
	zone         int // of the entry
	method       string
	body         string
	outcome      rtapi.Outcome
	reason       rtapi.Reason
}

// TestOrderCalls guards against an order that runs twice, or for somebody
// else, whatever is sent about it through whichever entry.
func TestOrderCalls(t *testing.T) {
	put := orderCall{name: "put", organisation: "high-court", method: http.MethodPut, body: orderBody, outcome: rtapi.Done}
	with := func(call orderCall, change func(*orderCall)) orderCall {
		change(&call)
		return call
	}
	foreign := with(put, func(o *orderCall) {
		o.name, o.organisation, o.outcome, o.reason = "foreign", "parish", rtapi.NotRun, rtapi.ReasonNotFound
	})
	other := with(put, func(o *orderCall) {
		o.name, o.body, o.outcome, o.reason = "other body", "another filing", rtapi.NotRun, rtapi.ReasonConflict
	})
	deleted := with(put, func(o *orderCall) {
		o.name, o.method, o.outcome, o.reason = "delete", http.MethodDelete, rtapi.NotRun, rtapi.ReasonCancelled
	})
	late := func(call orderCall, zone int, wait time.Duration) orderCall {
		call.zone, call.wait = zone, wait
		return call
	}
	for _, test := range []struct {
		name  string
		calls []orderCall
		runs  int
	}{
		{"after and long after", []orderCall{put, late(put, 1, 0), late(put, 2, 2*time.Minute)}, 1},
		{"after the epoch", []orderCall{put, late(put, 1, 11*time.Minute)}, 1},
		{"other body after", []orderCall{put, late(other, 1, time.Second), late(put, 2, 0)}, 1},
		{"foreign before and after", []orderCall{foreign, put, late(foreign, 1, 0), late(put, 2, 0)}, 1},
		{"delete before", []orderCall{deleted, with(late(put, 1, 0), func(o *orderCall) {
			o.outcome, o.reason = rtapi.NotRun, rtapi.ReasonCancelled
		})}, 0},
		{"delete after", []orderCall{put, with(late(deleted, 1, 0), func(o *orderCall) { o.outcome, o.reason = rtapi.Done, rtapi.ReasonNone })}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runCell(t, nil, func(c *cell) {
				order := c.issue()
				for _, call := range test.calls {
					c.wait(call.wait)
					c.checkCall(order, call)
				}
				if runs := c.serviceOf(order).Executions(order.id); runs != test.runs {
					t.Errorf("the order ran %d times, want %d", runs, test.runs)
				}
			})
		})
	}
}

// checkCall sends one call about an order and checks its answer.
func (c *cell) checkCall(order *orderRun, call orderCall) {
	c.t.Helper()
	caller := c.caller(call.zone)
	caller.Organisation = call.organisation
	var status rtapi.Status
	path := "/v1/orders/" + string(order.id)
	if call.method == http.MethodPut {
		path += "?limit=" + cellLimit.String()
	}
	if err := caller.Call(c.ctx, call.method, path, []byte(call.body), &status); err != nil {
		c.t.Errorf("%s: %v", call.name, err)
	}
	if status.Outcome != call.outcome || status.Reason != call.reason {
		c.t.Errorf("%s: %s %q, want %s %q", call.name, status.Outcome, status.Reason, call.outcome, call.reason)
	}
	if call.method == http.MethodPut && status.Outcome == rtapi.Done && !strings.Contains(string(status.Result), string(order.id)) {
		c.t.Errorf("%s: result %q is not of this order", call.name, status.Result)
	}
}
