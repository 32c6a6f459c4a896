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

// By default the checks are few and always the same, so that a run of all
// tests stays fast. The flags -rapid.checks and -rapid.seed change that.
func init() {
	for name, value := range map[string]string{"rapid.checks": "10", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// call is one generated call. Order is the place of an order among those that
// were issued before.
type call struct {
	Kind         string
	Organisation rtid.Organisation
	Zone         int // of the entry
	Draft        rtapi.DraftRequest
	Order        int
	Body         string
	Wait         time.Duration
}

var calls = rapid.Custom(func(t *rapid.T) call {
	return call{
		Kind:         rapid.SampledFrom([]string{"draft", "draft", "issue", "issue", "put", "put", "put", "status", "cancel"}).Draw(t, "kind"),
		Organisation: rapid.SampledFrom([]rtid.Organisation{"high-court", "high-court", "high-court", "parish", "nobody"}).Draw(t, "organisation"),
		Zone:         rapid.IntRange(0, 2).Draw(t, "zone"),
		Draft: rtapi.DraftRequest{
			Service: rapid.SampledFrom([]string{"drafts", "drafts", "drafts", "filings", "none"}).Draw(t, "service"),
			Prompt:  rapid.StringN(0, 200, 4096).Draw(t, "prompt"),
			Output:  rapid.SampledFrom([]int64{1, 2, 7, outputLimit, 0}).Draw(t, "output"),
			Limit:   rapid.SampledFrom([]string{"8s", "8s", "8s", "5s", "0s", "9s", "soon"}).Draw(t, "limit"),
		},
		Order: rapid.IntRange(0, 3).Draw(t, "order"),
		Body:  rapid.SampledFrom([]string{"filing", "filing", "another filing"}).Draw(t, "body"),
		Wait:  rapid.SampledFrom([]time.Duration{0, 0, 100 * time.Millisecond, 2 * time.Second}).Draw(t, "wait"),
	}
})

// TestDifferential guards against answers that differ from those of a version
// that is too simple to be wrong.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workload := rapid.SliceOfN(calls, 1, 40).Draw(rt, "workload")
		var differences []string
		runCell(t, nil, func(c *cell) {
			differences = c.compare(workload)
		})
		for _, difference := range differences {
			rt.Error(difference)
		}
	})
}

// compare sends a workload to the fleet and to the naive version, and returns
// the differences.
func (c *cell) compare(workload []call) []string {
	simple := &naive{document: c.document}
	var differences []string
	for number, next := range workload {
		c.wait(next.Wait)
		want, got, skipped := c.both(simple, next)
		if !skipped && want != got {
			differences = append(differences, fmt.Sprintf("call %d %+v: %+v, want %+v", number, next, got, want))
		}
	}
	for number, order := range simple.orders {
		if runs := c.serviceOf(c.orders[number]).Executions(c.orders[number].id); runs != order.runs {
			differences = append(differences, fmt.Sprintf("order %d ran %d times, want %d", number, runs, order.runs))
		}
	}
	return differences
}

// both sends one call to both versions. It skips calls about orders that were
// not issued.
func (c *cell) both(simple *naive, next call) (want, got answer, skipped bool) {
	caller := c.caller(next.Zone)
	caller.Organisation = next.Organisation
	switch {
	case next.Kind == "draft":
		draft, err := caller.Draft(c.ctx, next.Draft, nil)
		if err != nil {
			c.t.Errorf("draft: %v", err)
		}
		got = answer{Outcome: draft.Outcome, Reason: draft.Reason, Text: string(draft.Text)}
		return simple.draft(next.Organisation, next.Draft), got, false
	case next.Kind == "issue":
		_, allowed := simple.issue(next.Organisation)
		return c.bothIssue(caller, allowed)
	case next.Order >= len(simple.orders):
		return want, got, true
	}
	order := c.orders[next.Order]
	switch next.Kind {
	case "put":
		want = simple.put(next.Organisation, next.Order, next.Body)
		return want, c.ask(caller, order, http.MethodPut, next.Body), false
	case "status":
		return simple.status(next.Organisation, next.Order), c.ask(caller, order, http.MethodGet, ""), false
	default:
		want = simple.cancel(next.Organisation, next.Order)
		return want, c.ask(caller, order, http.MethodDelete, ""), false
	}
}

// bothIssue compares whether an order id is issued.
func (c *cell) bothIssue(caller Caller, allowed bool) (want, got answer, skipped bool) {
	var created rtapi.ErrorBody // its id is that of OrderID
	if err := caller.Call(c.ctx, http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created); err != nil {
		c.t.Errorf("issue: %v", err)
	}
	if !allowed {
		return refusedFor(rtapi.ReasonPlan), answer{Outcome: created.Outcome, Reason: created.Reason}, false
	}
	c.orders = append(c.orders, &orderRun{id: rtid.Request(created.ID), owner: caller.Organisation})
	return answer{}, answer{Reason: created.Reason}, false
}

// ask sends one call about an order.
func (c *cell) ask(caller Caller, order *orderRun, method, body string) answer {
	path := "/v1/orders/" + string(order.id)
	if method == http.MethodPut {
		path += "?limit=" + cellLimit.String()
	}
	var status rtapi.Status
	if err := caller.Call(c.ctx, method, path, []byte(body), &status); err != nil {
		c.t.Errorf("%s: %v", method, err)
	}
	return answer{Outcome: status.Outcome, Reason: status.Reason}
}
