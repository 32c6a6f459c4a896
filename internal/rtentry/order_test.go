package rtentry

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// orderID obtains an ID for an order.
func (f *fixture) orderID() string {
	f.t.Helper()
	status, body := f.call("court", http.MethodPost, "/v1/orders", []byte(`{"service":"orders"}`))
	var id rtapi.OrderID
	if err := json.Unmarshal(body, &id); err != nil || status != http.StatusCreated {
		f.t.Fatalf("status %d: %s, want 201 and an id", status, body)
	}
	return id.ID
}

// putOrder sends an order and returns status and body.
func (f *fixture) putOrder(id string) (int, rtapi.ErrorBody) {
	f.t.Helper()
	status, body := f.call("court", http.MethodPut, "/v1/orders/"+id+"?limit=3s", []byte("file it"))
	var result rtapi.ErrorBody
	if err := json.Unmarshal(body, &result); err != nil {
		f.t.Fatalf("response with status %d is not an error body: %s", status, body)
	}
	return status, result
}

// Guards against an order whose result is missing from the responses to PUT, a
// repeated PUT, GET or DELETE.
func TestOrder(t *testing.T) {
	agent := &fakeAgent{name: "order-1"}
	run(t, func(f *fixture) {
		id := f.orderID()
		if countOffers(agent) != 0 {
			t.Error("the request for an id made an offer")
		}
		for _, method := range []string{http.MethodPut, http.MethodGet, http.MethodPut, http.MethodDelete} {
			status, body := f.call("court", method, "/v1/orders/"+id+"?limit=30s", []byte("file it"))
			var result rtapi.Status
			if err := json.Unmarshal(body, &result); err != nil || status != http.StatusOK {
				t.Fatalf("%s: status %d: %s, want 200", method, status, body)
			}
			if result.ID != id || result.Outcome != rtapi.Done || string(result.Result) != "file it" {
				t.Errorf("%s: got %+v, want the id, done and the body as result", method, result)
			}
		}
	}, agent)
}

// Guards against an order that is offered to a second target or without its
// incarnation, and against a response with another outcome than the home reported.
func TestOrderFaults(t *testing.T) {
	reply := func(outcome rtwire.Outcome, reason rtwire.Reason) func(*rtwire.OfferRequest) (*rtwire.OfferReply, error) {
		return func(*rtwire.OfferRequest) (*rtwire.OfferReply, error) {
			return &rtwire.OfferReply{Outcome: outcome, Reason: reason}, nil
		}
	}
	answer := func(outcome rtwire.Outcome, reason rtwire.Reason) func(*rtwire.QueryRequest) (*rtwire.QueryReply, error) {
		return func(*rtwire.QueryRequest) (*rtwire.QueryReply, error) {
			return &rtwire.QueryReply{Outcome: outcome, Reason: reason}, nil
		}
	}
	lost := func(*rtwire.QueryRequest) (*rtwire.QueryReply, error) { panic(http.ErrAbortHandler) }
	accept := reply(rtwire.Outcome_OUTCOME_ACCEPTED, 0)
	tests := []struct {
		name    string
		offer   func(*rtwire.OfferRequest) (*rtwire.OfferReply, error)
		query   func(*rtwire.QueryRequest) (*rtwire.QueryReply, error)
		status  int
		outcome rtapi.Outcome
		reason  rtapi.Reason
		retry   bool
	}{
		{"lost reply, done", dropReply, answer(rtwire.Outcome_OUTCOME_DONE, 0), 200, rtapi.Done, "", false},
		{"lost reply, failed", dropReply, answer(rtwire.Outcome_OUTCOME_FAILED, rtwire.Reason_REASON_TARGET), 502,
			rtapi.Failed, rtapi.ReasonTarget, false},
		{"lost reply, restarted", dropReply, answer(rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION), 504,
			rtapi.Unknown, rtapi.ReasonIncarnation, false},
		{"nothing heard", dropReply, lost, 504, rtapi.Unknown, rtapi.ReasonDeadline, true},
		{"runs too long", accept, answer(rtwire.Outcome_OUTCOME_ACCEPTED, 0), 504, rtapi.Unknown, rtapi.ReasonDeadline, true},
		{"service silent", accept, answer(rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_DEADLINE), 504,
			rtapi.Unknown, rtapi.ReasonDeadline, true},
		{"refused", reply(rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_LEAVING), lost, 503,
			rtapi.NotRun, rtapi.ReasonLeaving, true},
		{"other body", reply(rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_CONFLICT), lost, 409,
			rtapi.NotRun, rtapi.ReasonConflict, false},
		{"restarted", reply(rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_INCARNATION), lost, 504,
			rtapi.Unknown, rtapi.ReasonIncarnation, false},
		{"expired", reply(rtwire.Outcome_OUTCOME_UNKNOWN, rtwire.Reason_REASON_EXPIRED), lost, 504,
			rtapi.Unknown, rtapi.ReasonExpired, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			home := &fakeAgent{name: "order-1", offer: test.offer, query: test.query}
			run(t, func(f *fixture) {
				id := f.orderID()
				other := f.addLoadedAgent("order-2")
				began := time.Now()
				status, result := f.putOrder(id)
				if status != test.status || result.Outcome != test.outcome || result.Reason != test.reason ||
					result.Retry != test.retry || result.ID != id {
					t.Errorf("status %d: %+v, want those of the test and the id", status, result)
				}
				if took := time.Since(began); took > 3250*time.Millisecond {
					t.Errorf("took %v, want at most 3.25 s", took)
				}
				if countOffers(home) != 1 || countOffers(other) != 0 {
					t.Errorf("%d offers to the home, %d to the other target, want 1 and 0", countOffers(home), countOffers(other))
				}
				if home.offers[0].GetIncarnation() != testIncarnation || home.offers[0].GetRequest() != id {
					t.Errorf("offer is %v, want the id and the incarnation of the home", home.offers[0])
				}
			}, home)
		})
	}
}

// Guards against an order that is given up because its first offer never reached
// the home: the entry must repeat the offer there.
func TestOrderOfferedAgain(t *testing.T) {
	home := &fakeAgent{name: "order-1"}
	lost := 0
	home.offer = func(offer *rtwire.OfferRequest) (*rtwire.OfferReply, error) {
		if lost++; lost == 1 {
			panic(http.ErrAbortHandler)
		}
		home.mu.Lock()
		defer home.mu.Unlock()
		home.results = map[string]*rtwire.QueryReply{offer.GetRequest(): {Outcome: rtwire.Outcome_OUTCOME_DONE}}
		return &rtwire.OfferReply{Outcome: rtwire.Outcome_OUTCOME_ACCEPTED}, nil
	}
	run(t, func(f *fixture) {
		if status, result := f.putOrder(f.orderID()); status != http.StatusOK || result.Outcome != rtapi.Done {
			t.Errorf("status %d: %+v, want 200 and done", status, result)
		}
	}, home)
}

// Guards against an order of one organisation that another one reads, cancels or
// runs, and against a wrong outcome after the home was removed from the list of
// VMs.
func TestOrderForeignAndGone(t *testing.T) {
	agent := &fakeAgent{name: "order-1"}
	run(t, func(f *fixture) {
		id := f.orderID()
		for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPut} {
			if status, body := f.call("studio", method, "/v1/orders/"+id+"?limit=3s", nil); status != http.StatusNotFound {
				t.Errorf("%s by another organisation: status %d: %s, want 404", method, status, body)
			}
		}
		if countOffers(agent) != 0 || agent.queries != 0 {
			t.Error("home received an offer or a query from another organisation")
		}
		f.node.mu.Lock()
		delete(f.node.views, "order-1")
		f.node.mu.Unlock()
		status, result := f.putOrder(id)
		if status != http.StatusGatewayTimeout || result.Outcome != rtapi.Unknown ||
			result.Reason != rtapi.ReasonUnreachable || !result.Retry {
			t.Errorf("home is not in the list of VMs: status %d: %+v, want 504, unknown, reason unreachable and retry", status, result)
		}
	}, agent)
}
