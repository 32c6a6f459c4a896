package rtentry

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// orderID obtains an id for an order.
func (f *fixture) orderID(organisation string) string {
	f.t.Helper()
	status, body := f.call(organisation, http.MethodPost, "/v1/orders", []byte(`{"service":"orders"}`))
	var id rtapi.OrderID
	if err := json.Unmarshal(body, &id); err != nil || status != http.StatusCreated {
		f.t.Fatalf("status %d: %s", status, body)
	}
	return id.ID
}

// Guards against an order whose result does not reach its caller.
func TestOrder(t *testing.T) {
	agent := &fakeAgent{name: "order-1"}
	run(t, func(f *fixture) {
		id := f.orderID("court")
		status, body := f.call("court", http.MethodPut, "/v1/orders/"+id+"?limit=30s", []byte("file it"))
		var result rtapi.Status
		if err := json.Unmarshal(body, &result); err != nil || status != http.StatusOK {
			t.Fatalf("status %d: %s", status, body)
		}
		if result.ID != id || result.Outcome != rtapi.Done || string(result.Result) != "file it" {
			t.Errorf("got %+v", result)
		}
	}, agent)
}
