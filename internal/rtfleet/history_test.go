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

// orderState is one possible state of an order in the model.
type orderState struct {
	runs   int
	closed bool   // the order will never run
	body   string // of the first offer that its agent recorded, run or not
	result string
}

// orderInput is one call about an order, or with methodCount the count of its
// executions at the end.
type orderInput struct {
	method string
	body   string
}

const methodCount = "COUNT"

// orderOutput is the response to a call. Only a count sets runs.
type orderOutput struct {
	outcome rtapi.Outcome
	reason  rtapi.Reason
	result  string
	runs    int
}

// orderModel models an order that runs at most once. A response with an unknown
// outcome allows both that the call took effect and that it did not.
var orderModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{orderState{}} },
	Step: func(state, input, output any) []any {
		return stepOrder(state.(orderState), input.(orderInput), output.(orderOutput))
	},
}

// stepOrder returns the possible states after a call with this response.
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
		// A refusal by an entry leaves no record; one by the agent of the order
		// does.
		return []any{state, state.close(input)}
	case state.runs > 0 || state.closed:
		return []any{state}
	case input.method == http.MethodPut && (state.body == "" || state.body == input.body):
		return []any{state, state.close(input), orderState{runs: 1, body: input.body}}
	default:
		return []any{state, state.close(input)}
	}
}

// close returns the state in which the order will never run.
func (s orderState) close(input orderInput) orderState {
	s.closed = true
	if s.body == "" {
		s.body = input.body
	}
	return s
}

// stepDone returns the possible states after a response with the outcome done:
// the first one runs the order, all later ones have the same result.
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

// TestOrderModel guards against an order model that accepts wrong histories.
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
		{"done after the agent refused it", []step{{put, orderOutput{outcome: rtapi.NotRun}}, {orderInput{http.MethodPut, "two"}, conflict}, {put, done}}, false},
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

// historyFaults are the faults injected while clients send the same order.
var historyFaults = []struct {
	name   string
	inject func(*env, *Process)
	heal   func(*env, *Process)
}{
	{"none", nil, nil},
	{"lost answers of the service", func(e *env, a *Process) { e.fleet.Services[a.Target].LoseReplies(2) }, nil},
	{"agent restarts", func(e *env, a *Process) { a.Kill() }, func(e *env, a *Process) { e.restart(a) }},
	{"agent freezes", func(e *env, a *Process) { e.fabric.Freeze(a.Host) }, func(e *env, a *Process) { e.fabric.Thaw(a.Host) }},
	{"service freezes", func(e *env, a *Process) { e.fleet.Services[a.Target].Freeze() },
		func(e *env, a *Process) { e.fleet.Services[a.Target].Thaw() }},
	{"service crashes", func(e *env, a *Process) { e.fleet.Services[a.Target].Crash() }, nil},
	{"late and doubled delivery", func(e *env, _ *Process) { degradeLinks(e, affected{}) },
		func(e *env, _ *Process) { restoreLinks(e, affected{}) }},
	{"answers to an entry are cut", func(e *env, a *Process) { e.fabric.Cut(a.Host, e.fleet.Entries[0].Host) },
		func(e *env, a *Process) { e.fabric.Heal(a.Host, e.fleet.Entries[0].Host) }},
	{"agent leaves", func(e *env, a *Process) { e.beginStop(a) }, func(e *env, a *Process) { e.replace(a) }},
}

// TestOrderHistories guards against an order that runs twice, and against
// contradictory responses, while several clients send and cancel the same order
// through all entries.
func TestOrderHistories(t *testing.T) {
	clients := []orderInput{
		{http.MethodPut, "one"}, {http.MethodPut, "one"}, {http.MethodPut, "two"}, {method: http.MethodDelete},
	}
	for _, fault := range historyFaults {
		for _, faultStart := range []time.Duration{0, 3 * time.Millisecond, 150 * time.Millisecond} {
			t.Run(fault.name+"/"+faultStart.String(), func(t *testing.T) {
				t.Parallel()
				runFleetTest(t, nil, func(e *env) {
					order := e.issueOrder()
					agent := e.fleet.Agent(targetOf(order.id))
					h := &history{e: e, order: order}
					var running sync.WaitGroup
					for client, input := range clients {
						running.Go(func() {
							e.wait(time.Duration(client) * time.Millisecond)
							for round := range 3 {
								h.call(client, client+round, input)
								e.wait(time.Second)
							}
						})
					}
					e.wait(faultStart)
					if fault.inject != nil {
						fault.inject(e, agent)
					}
					e.wait(faultDuration)
					if fault.heal != nil {
						fault.heal(e, agent)
					}
					running.Wait()
					e.wait(settleTime)
					h.check()
				})
			})
		}
	}
}

// history records the calls of several clients about one order.
type history struct {
	e     *env
	order *orderRun

	mu         sync.Mutex
	operations []porcupine.Operation
}

// call sends one call and records it. A call with an unknown outcome has no
// return time, because it may take effect at any later time.
func (h *history) call(client, zone int, input orderInput) {
	ctx, cancel := context.WithTimeout(h.e.ctx, timeLimit+time.Second)
	defer cancel()
	began := time.Now().UnixNano()
	path := "/v1/orders/" + string(h.order.id)
	if input.method == http.MethodPut {
		path += "?limit=2s"
	}
	var status rtapi.Status
	err := h.e.callerAt(zone%len(h.e.fleet.Entries)).Call(ctx, input.method, path, []byte(input.body), &status)
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

// check checks the history and the number of executions against orderModel.
func (h *history) check() {
	h.e.t.Helper()
	runs := 0
	for _, service := range h.e.fleet.Services {
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
	h.e.t.Errorf("order %s: the history is not possible for an order that runs at most once", h.order.id)
	for _, operation := range h.operations {
		h.e.t.Logf("%+v", operation)
	}
}
