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

// newOffer returns an offer of the draft or order with this ID, as an entry
// sends it.
func (e *env) newOffer(id rtid.Request) *rtwire.OfferRequest {
	parsed, err := rtid.ParseRequest(id)
	if err != nil {
		e.t.Fatal(err)
	}
	offer := &rtwire.OfferRequest{
		Request: string(id), Attempt: 1, Organisation: "high-court", Service: "filings", Kind: rtwire.Kind_KIND_ORDER,
		Body: []byte(orderBody), Tokens: 10, Remaining: durationpb.New(timeLimit), Incarnation: uint64(parsed.Incarnation),
		Sender: &rtwire.Status{},
	}
	if parsed.Kind == rtid.KindDraft {
		offer.Service, offer.Kind, offer.Output = "drafts", rtwire.Kind_KIND_DRAFT, draftOutput
	}
	return offer
}

// sendOffer sends an offer directly to the agent that its ID names, as an entry
// with a stale view does.
func (e *env) sendOffer(offer *rtwire.OfferRequest) *rtwire.OfferReply {
	e.t.Helper()
	agent := e.fleet.Agent(targetOf(rtid.Request(offer.Request)))
	client := rtwire.NewTargetProtobufClient("http://"+string(agent.PeerAddress), e.client)
	reply, err := client.Offer(e.ctx, offer)
	if err != nil {
		e.t.Fatalf("offer %s: %v", offer.Request, err)
	}
	return reply
}

// TestStaleOffer guards against an agent that relies on the checks of entries:
// each offer is one that an entry with a stale view, or a faulty entry, sends.
func TestStaleOffer(t *testing.T) {
	done := rtwire.Reason_REASON_NONE
	for _, test := range []struct {
		name    string
		prepare func(e *env, agent *Process)
		change  func(*rtwire.OfferRequest)
		outcome rtwire.Outcome
		reason  rtwire.Reason
		runs    int
	}{
		{"none", nil, nil, rtwire.Outcome_OUTCOME_ACCEPTED, done, 1},
		{"zone out", func(e *env, _ *Process) {
			e.publishZones(rtdocument.ZoneOutOfService, 0, 1, 2)
			e.wait(5 * time.Second)
		}, nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_ZONE_OUT, 0},
		{"leaving", func(e *env, agent *Process) {
			e.beginStop(agent)
			e.wait(time.Second)
		}, nil, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_LEAVING, 0},
		{"restarted", func(e *env, agent *Process) {
			agent.Kill()
			e.restart(agent)
			e.wait(time.Second)
		}, nil, rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION, 0},
		{"restarted, claimed to be meant", func(e *env, agent *Process) {
			agent.Kill()
			e.restart(agent)
			e.wait(time.Second)
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
			runFleetTest(t, nil, func(e *env) {
				order := e.issueOrder()
				if test.prepare != nil {
					test.prepare(e, e.fleet.Agent(targetOf(order.id)))
				}
				offer := e.newOffer(order.id)
				if test.change != nil {
					test.change(offer)
				}
				reply := e.sendOffer(offer)
				if reply.Outcome != test.outcome || reply.Reason != test.reason {
					t.Errorf("offer: outcome %s, reason %s, want %s, %s", reply.Outcome, reply.Reason, test.outcome, test.reason)
				}
				e.wait(2 * time.Second)
				if runs := e.serviceOf(order).Executions(order.id); runs != test.runs {
					t.Errorf("order ran %d times, want %d", runs, test.runs)
				}
				if test.name == "leaving" {
					e.replace(e.fleet.Agent(targetOf(order.id)))
				}
			})
		})
	}
}

// orderCall is one call about an order and its expected response.
type orderCall struct {
	name         string
	wait         time.Duration // before the call
	organisation rtid.Organisation
	zone         int // index of the zone of the entry
	method       string
	body         string
	outcome      rtapi.Outcome
	reason       rtapi.Reason
}

// TestOrderCalls guards against an order that runs twice or for another
// organisation, whatever calls are sent about it through any entry.
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
	later := func(call orderCall, zone int, wait time.Duration) orderCall {
		call.zone, call.wait = zone, wait
		return call
	}
	for _, test := range []struct {
		name  string
		calls []orderCall
		runs  int
	}{
		{"after and long after", []orderCall{put, later(put, 1, 0), later(put, 2, 2*time.Minute)}, 1},
		{"after the epoch", []orderCall{put, later(put, 1, 11*time.Minute)}, 1},
		{"other body after", []orderCall{put, later(other, 1, time.Second), later(put, 2, 0)}, 1},
		{"foreign before and after", []orderCall{foreign, put, later(foreign, 1, 0), later(put, 2, 0)}, 1},
		{"delete before", []orderCall{deleted, with(later(put, 1, 0), func(o *orderCall) {
			o.outcome, o.reason = rtapi.NotRun, rtapi.ReasonCancelled
		})}, 0},
		{"delete after", []orderCall{put, with(later(deleted, 1, 0), func(o *orderCall) { o.outcome, o.reason = rtapi.Done, rtapi.ReasonNone })}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runFleetTest(t, nil, func(e *env) {
				order := e.issueOrder()
				for _, call := range test.calls {
					e.wait(call.wait)
					e.checkCall(order, call)
				}
				if runs := e.serviceOf(order).Executions(order.id); runs != test.runs {
					t.Errorf("order ran %d times, want %d", runs, test.runs)
				}
			})
		})
	}
}

// checkCall sends one call about an order and checks its response.
func (e *env) checkCall(order *orderRun, call orderCall) {
	e.t.Helper()
	caller := e.callerAt(call.zone)
	caller.Organisation = call.organisation
	var status rtapi.Status
	path := "/v1/orders/" + string(order.id)
	if call.method == http.MethodPut {
		path += "?limit=" + timeLimit.String()
	}
	if err := caller.Call(e.ctx, call.method, path, []byte(call.body), &status); err != nil {
		e.t.Errorf("%s: %v", call.name, err)
	}
	if status.Outcome != call.outcome || status.Reason != call.reason {
		e.t.Errorf("%s: outcome %s, reason %q, want %s, %q", call.name, status.Outcome, status.Reason, call.outcome, call.reason)
	}
	if call.method == http.MethodPut && status.Outcome == rtapi.Done && !strings.Contains(string(status.Result), string(order.id)) {
		e.t.Errorf("%s: result %q does not name this order", call.name, status.Result)
	}
}
