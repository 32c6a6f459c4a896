package rtfleet

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// By default rapid runs 10 checks with seed 1, so that a run of all tests is
// fast and repeatable. The flags -rapid.checks and -rapid.seed override that.
func init() {
	for name, value := range map[string]string{"rapid.checks": "10", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// generatedCall is one call of a random workload. Order is the index of an order
// among those issued by earlier calls.
type generatedCall struct {
	Kind         string
	Organisation rtid.Organisation
	Zone         int // of the entry
	Draft        rtapi.DraftRequest
	Order        int
	Body         string
	Wait         time.Duration
}

var callGenerator = rapid.Custom(func(t *rapid.T) generatedCall {
	return generatedCall{
		Kind:         rapid.SampledFrom([]string{"draft", "draft", "issue", "issue", "put", "put", "put", "status", "cancel"}).Draw(t, "kind"),
		Organisation: rapid.SampledFrom([]rtid.Organisation{"high-court", "high-court", "high-court", "parish", "nobody"}).Draw(t, "organisation"),
		Zone:         rapid.IntRange(0, 2).Draw(t, "zone"),
		Draft: rtapi.DraftRequest{
			Service: rapid.SampledFrom([]string{"drafts", "drafts", "drafts", "filings", "none"}).Draw(t, "service"),
			Prompt:  rapid.StringN(0, 200, 4096).Draw(t, "prompt"),
			Output:  rapid.SampledFrom([]int64{1, 2, 7, draftOutput, 0}).Draw(t, "output"),
			Limit:   rapid.SampledFrom([]string{"8s", "8s", "8s", "5s", "0s", "9s", "soon"}).Draw(t, "limit"),
		},
		Order: rapid.IntRange(0, 3).Draw(t, "order"),
		Body:  rapid.SampledFrom([]string{"filing", "filing", "another filing"}).Draw(t, "body"),
		Wait:  rapid.SampledFrom([]time.Duration{0, 0, 100 * time.Millisecond, 2 * time.Second}).Draw(t, "wait"),
	}
})

// TestDifferential guards against responses to random workloads that differ
// from those of a sequential reference server.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workload := rapid.SliceOfN(callGenerator, 1, 40).Draw(rt, "workload")
		var differences []string
		runFleetTest(t, nil, func(e *env) {
			differences = e.compare(workload)
		})
		for _, difference := range differences {
			rt.Error(difference)
		}
	})
}

// compare sends a workload to the fleet and to the reference server, and returns
// the differences.
func (e *env) compare(workload []generatedCall) []string {
	reference := &referenceServer{document: e.document}
	var differences []string
	for number, next := range workload {
		e.wait(next.Wait)
		want, got, skipped := e.sendBoth(reference, next)
		if !skipped && want != got {
			differences = append(differences, fmt.Sprintf("call %d %+v: got %+v, want %+v", number, next, got, want))
		}
	}
	for number, order := range reference.orders {
		if runs := e.serviceOf(e.orders[number]).Executions(e.orders[number].id); runs != order.runs {
			differences = append(differences, fmt.Sprintf("order %d ran %d times, want %d", number, runs, order.runs))
		}
	}
	return differences
}

// sendBoth sends one call to the reference server and to the fleet. It skips
// calls about orders that were not issued.
func (e *env) sendBoth(reference *referenceServer, next generatedCall) (want, got callResult, skipped bool) {
	caller := e.callerAt(next.Zone)
	caller.Organisation = next.Organisation
	switch {
	case next.Kind == "draft":
		draft, err := caller.Draft(e.ctx, next.Draft, nil)
		if err != nil {
			e.t.Errorf("send draft: %v", err)
		}
		got = callResult{Outcome: draft.Outcome, Reason: draft.Reason, Text: string(draft.Text)}
		return reference.draft(next.Organisation, next.Draft), got, false
	case next.Kind == "issue":
		_, allowed := reference.issue(next.Organisation)
		return e.issueBoth(caller, allowed)
	case next.Order >= len(reference.orders):
		return want, got, true
	}
	order := e.orders[next.Order]
	switch next.Kind {
	case "put":
		want = reference.put(next.Organisation, next.Order, next.Body)
		return want, e.sendOrderCall(caller, order, http.MethodPut, next.Body), false
	case "status":
		return reference.status(next.Organisation, next.Order), e.sendOrderCall(caller, order, http.MethodGet, ""), false
	default:
		want = reference.cancel(next.Organisation, next.Order)
		return want, e.sendOrderCall(caller, order, http.MethodDelete, ""), false
	}
}

// issueBoth requests an order ID from the fleet; allowed is whether the
// reference server issued one.
func (e *env) issueBoth(caller Caller, allowed bool) (want, got callResult, skipped bool) {
	var created rtapi.ErrorBody // its ID field also decodes an OrderID
	if err := caller.Call(e.ctx, http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created); err != nil {
		e.t.Errorf("request order id: %v", err)
	}
	if !allowed {
		return refusedFor(rtapi.ReasonPlan), callResult{Outcome: created.Outcome, Reason: created.Reason}, false
	}
	e.orders = append(e.orders, &orderRun{id: rtid.Request(created.ID), owner: caller.Organisation})
	return callResult{}, callResult{Reason: created.Reason}, false
}

// sendOrderCall sends one call about an order to the fleet.
func (e *env) sendOrderCall(caller Caller, order *orderRun, method, body string) callResult {
	path := "/v1/orders/" + string(order.id)
	if method == http.MethodPut {
		path += "?limit=" + timeLimit.String()
	}
	var status rtapi.Status
	if err := caller.Call(e.ctx, method, path, []byte(body), &status); err != nil {
		e.t.Errorf("%s order: %v", method, err)
	}
	return callResult{Outcome: status.Outcome, Reason: status.Reason}
}
