package rtfleet

import (
	"context"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// orderState is what may be true about one order.
type orderState struct {
	runs   int
	closed bool   // never runs any more
	body   string // of the first offer that its home recorded, run or not
	result string
}

// orderInput is one call about an order, or the count of its executions at
// the end.
type orderInput struct {
	method string
	body   string
}

const methodCount = "COUNT"

// orderOutput is the answer of a call. Runs is that of the count.
type orderOutput struct {
	outcome rtapi.Outcome
	reason  rtapi.Reason
	result  string
	runs    int
}

// orderModel is the model of an order that runs at most once. An answer that
// tells nothing leaves open whether the call had its effect.
var orderModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{orderState{}} },
	Step: func(state, input, output any) []any {
		return stepOrder(state.(orderState), input.(orderInput), output.(orderOutput))
	},
}

// stepOrder returns the states that an answer allows.
func stepOrder(state orderState, input orderInput, output orderOutput) []any {
	switch {
	case input.method == methodCount:
		return keepIf(state, output.runs == state.runs)
	case output.outcome == rtapi.Done:
		return stepDone(state, input, output)
	case output.outcome == rtapi.NotRun && output.reason == rtapi.ReasonConflict:
		return keepIf(state, state.body != "" && state.body != input.body)
	case output.outcome == rtapi.NotRun && state.runs > 0:
		return nil
	case output.outcome == rtapi.NotRun:
		// A refusal by an entry leaves no record, one by the home does.
		return []any{state, state.close(input)}
	case state.runs > 0 || state.closed:
		return []any{state}
	case input.method == http.MethodPut && (state.body == "" || state.body == input.body):
		return []any{state, state.close(input), orderState{runs: 1, body: input.body}}
	default:
		return []any{state, state.close(input)}
	}
}

// close returns the state in which the order never runs any more.
func (s orderState) close(input orderInput) orderState {
	s.closed = true
	if s.body == "" {
		s.body = input.body
	}
	return s
}

// stepDone returns the states that the answer done allows: the first one runs
// the order, all others have the same result.
func stepDone(state orderState, input orderInput, output orderOutput) []any {
	if state.runs == 0 {
		ran := orderState{runs: 1, body: input.body, result: output.result}
		if state.closed || input.method != http.MethodPut {
			return nil
		}
		return []any{ran}
	}
	if state.result == "" {
		state.result = output.result
	}
	same := input.method != http.MethodPut || input.body == state.body
	return keepIf(state, same && state.result == output.result)
}

func keepIf(state orderState, allowed bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// TestOrderModel guards against a model that accepts everything.
func TestOrderModel(t *testing.T) {
	put := orderInput{http.MethodPut, "one"}
	count := orderInput{method: methodCount}
	done := orderOutput{outcome: rtapi.Done, result: "first"}
	conflict := orderOutput{outcome: rtapi.NotRun, reason: rtapi.ReasonConflict}
	type step struct {
		input  orderInput
		output orderOutput
	}
	for _, test := range []struct {
		name  string
		steps []step
		want  bool
	}{
		{"once", []step{{put, done}, {put, done}, {count, orderOutput{runs: 1}}}, true},
		{"unknown, ran", []step{{put, orderOutput{}}, {count, orderOutput{runs: 1}}}, true},
		{"unknown, did not run", []step{{put, orderOutput{}}, {count, orderOutput{}}}, true},
		{"ran twice", []step{{put, done}, {put, done}, {count, orderOutput{runs: 2}}}, false},
		{"unknown, then ran twice", []step{{put, orderOutput{}}, {put, done}, {count, orderOutput{runs: 2}}}, false},
		{"two results", []step{{put, done}, {put, orderOutput{outcome: rtapi.Done, result: "second"}}}, false},
		{"done, did not run", []step{{put, done}, {count, orderOutput{}}}, false},
		{"not run, but ran", []step{{put, orderOutput{outcome: rtapi.NotRun}}, {count, orderOutput{runs: 1}}}, false},
		{"done after not run was cancelled", []step{{orderInput{method: http.MethodDelete}, done}, {put, done}}, false},
		{"another body is done", []step{{put, done}, {orderInput{http.MethodPut, "two"}, done}}, false},
		{"conflict with a refused body", []step{{put, orderOutput{outcome: rtapi.NotRun}}, {orderInput{http.MethodPut, "two"}, conflict}}, true},
		{"conflict with itself", []step{{put, done}, {put, conflict}}, false},
		{"done after the home refused it", []step{{put, orderOutput{outcome: rtapi.NotRun}}, {orderInput{http.MethodPut, "two"}, conflict}, {put, done}}, false},
		{"not run after done", []step{{put, done}, {put, orderOutput{outcome: rtapi.NotRun}}}, false},
	} {
		var history []porcupine.Operation
		for i, step := range test.steps {
			history = append(history, porcupine.Operation{Input: step.input, Output: step.output, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if got := porcupine.CheckOperations(orderModel.ToModel(), history); got != test.want {
			t.Errorf("%s: accepted %t, want %t", test.name, got, test.want)
		}
	}
}

// historyFaults are what goes wrong while clients send the same order.
var historyFaults = []struct {
	name   string
	strike func(*cell, *Process)
	heal   func(*cell, *Process)
}{
	{"none", nil, nil},
	{"lost answers of the service", func(c *cell, a *Process) { c.fleet.Services[a.Target].LoseReplies(2) }, nil},
	{"agent restarts", func(c *cell, a *Process) { a.Kill() }, func(c *cell, a *Process) { c.restart(a) }},
	{"agent freezes", func(c *cell, a *Process) { c.fabric.Freeze(a.Host) }, func(c *cell, a *Process) { c.fabric.Thaw(a.Host) }},
	{"service freezes", func(c *cell, a *Process) { c.fleet.Services[a.Target].Freeze() },
		func(c *cell, a *Process) { c.fleet.Services[a.Target].Thaw() }},
	{"service crashes", func(c *cell, a *Process) { c.fleet.Services[a.Target].Crash() }, nil},
	{"late and doubled delivery", func(c *cell, _ *Process) { worsenLinks(c, affected{}) },
		func(c *cell, _ *Process) { restoreLinks(c, affected{}) }},
	{"answers to an entry are cut", func(c *cell, a *Process) { c.fabric.Cut(a.Host, c.fleet.Entries[0].Host) },
		func(c *cell, a *Process) { c.fabric.Heal(a.Host, c.fleet.Entries[0].Host) }},
	{"agent leaves", func(c *cell, a *Process) { c.stop(a) }, func(c *cell, a *Process) { c.replace(a) }},
}

// TestOrderHistories guards against an order that runs twice, or about which
// two callers are told different things, while several clients send, read and
// cancel it through all entries.
func TestOrderHistories(t *testing.T) {
	clients := []orderInput{
		{http.MethodPut, "one"}, {http.MethodPut, "one"}, {http.MethodPut, "two"}, {method: http.MethodDelete},
	}
	for _, fault := range historyFaults {
		for _, moment := range []time.Duration{0, 3 * time.Millisecond, 150 * time.Millisecond} {
			t.Run(fault.name+"/"+moment.String(), func(t *testing.T) {
				t.Parallel()
				runCell(t, nil, func(c *cell) {
					order := c.issue()
					home := c.fleet.Agent(targetOf(order.id))
					h := &history{c: c, order: order}
					var waiting sync.WaitGroup
					for client, input := range clients {
						waiting.Go(func() {
							c.wait(time.Duration(client) * time.Millisecond)
							for round := range 3 {
								h.call(client, client+round, input)
								c.wait(time.Second)
							}
						})
					}
					c.wait(moment)
					if fault.strike != nil {
						fault.strike(c, home)
					}
					c.wait(faultLength)
					if fault.heal != nil {
						fault.heal(c, home)
					}
					waiting.Wait()
					c.wait(settleTime)
					h.check()
				})
			})
		}
	}
}

// history is what several clients saw of one order.
type history struct {
	c     *cell
	order *orderRun

	mu         sync.Mutex
	operations []porcupine.Operation
}

// call sends one call and records it. The effect of one without a definite
// answer may come at any time after it.
func (h *history) call(client, zone int, input orderInput) {
	ctx, cancel := context.WithTimeout(h.c.ctx, cellLimit+time.Second)
	defer cancel()
	began := time.Now().UnixNano()
	path := "/v1/orders/" + string(h.order.id)
	if input.method == http.MethodPut {
		path += "?limit=2s"
	}
	var status rtapi.Status
	err := h.c.caller(zone%len(h.c.fleet.Entries)).Call(ctx, input.method, path, []byte(input.body), &status)
	ended := time.Now().UnixNano()
	if err != nil || status.Outcome == rtapi.Unknown || status.Outcome == rtapi.Failed {
		status.Outcome = rtapi.Unknown
		ended = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: began, Return: ended,
		Output: orderOutput{outcome: status.Outcome, reason: status.Reason, result: string(status.Result)},
	})
}

// check compares the history and the number of executions with the model.
func (h *history) check() {
	h.c.t.Helper()
	runs := 0
	for _, service := range h.c.fleet.Services {
		runs += service.Executions(h.order.id)
	}
	now := time.Now().UnixNano()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		Input: orderInput{method: methodCount}, Output: orderOutput{runs: runs}, Call: now, Return: now + 1,
	})
	if porcupine.CheckOperations(orderModel.ToModel(), h.operations) {
		return
	}
	h.c.t.Errorf("order %s: no order that runs at most once has this history", h.order.id)
	for _, operation := range h.operations {
		h.c.t.Logf("%+v", operation)
	}
}
