package rtload

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// patience is how long after its time limit a caller stops waiting for the end
// of a request.
const patience = 5 * time.Second

// Driver sends a schedule through callers of all entries.
type Driver struct {
	Callers      []rtfleet.Caller // one for each entry; the organisation is set for each request
	DraftService rtid.Service
	OrderService rtid.Service
	Recorder     Recorder

	mu   sync.Mutex
	last map[rtid.Organisation]string // id of the last draft
}

// Run sends each arrival at its time, whatever became of those before, and
// waits for all answers.
func (d *Driver) Run(ctx context.Context, arrivals []Arrival) error {
	start := time.Now()
	tasks := make([]*rttask.Task, 0, len(arrivals))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range arrivals {
		arrival := &arrivals[i]
		timer.Reset(time.Until(start.Add(arrival.Due)))
		select {
		case <-ctx.Done():
			return wait(tasks, ctx.Err())
		case <-timer.C:
		}
		lag := time.Since(start) - arrival.Due
		tasks = append(tasks, rttask.Start(ctx, "caller", func(ctx context.Context) error {
			d.send(ctx, arrival, lag)
			return nil
		}))
	}
	return wait(tasks, nil)
}

func wait(tasks []*rttask.Task, err error) error {
	for _, task := range tasks {
		if ended := <-task.Done(); err == nil {
			err = ended
		}
	}
	return err
}

func (d *Driver) send(ctx context.Context, arrival *Arrival, lag time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, arrival.TimeLimit+patience)
	defer cancel()
	start := time.Now()
	result := Result{Arrival: *arrival, SendDelay: lag}
	var err error
	switch arrival.Kind {
	case KindDraft:
		err = d.draft(ctx, &result)
	case KindStatus:
		err = d.status(ctx, &result)
	case KindOrder:
		err = d.order(ctx, &result)
	}
	result.Duration = time.Since(start)
	result.Broken = err != nil
	d.Recorder.Add(result)
}

func (d *Driver) draft(ctx context.Context, result *Result) error {
	caller := d.caller(result)
	request := rtapi.DraftRequest{
		Service: string(d.DraftService),
		Prompt:  string(Prompt(result.Number, result.Tokens)),
		Output:  int64(result.Output),
		Limit:   result.TimeLimit.String(),
	}
	draft, err := caller.Draft(ctx, request, nil)
	result.FirstText, result.Outcome, result.Reason = draft.FirstText, draft.Outcome, draft.Reason
	if draft.ID != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.last == nil {
			d.last = make(map[rtid.Organisation]string)
		}
		d.last[result.Organisation] = draft.ID
	}
	return err
}

// status asks for the organisation's last draft. Without one there is nothing
// to ask, which counts as done.
func (d *Driver) status(ctx context.Context, result *Result) error {
	d.mu.Lock()
	last := d.last[result.Organisation]
	d.mu.Unlock()
	result.Tokens = 0
	result.Outcome = rtapi.Done
	if last == "" {
		return nil
	}
	caller := d.caller(result)
	var status rtapi.Status
	err := caller.Call(ctx, http.MethodGet, "/v1/drafts/"+last+"/status", nil, &status)
	if err == nil && status.ID == "" {
		result.Outcome, result.Reason = status.Outcome, status.Reason
	}
	return err
}

func (d *Driver) order(ctx context.Context, result *Result) error {
	result.Tokens = 0
	caller := d.caller(result)
	var created rtapi.OrderID
	body := fmt.Appendf(nil, `{"service":%q}`, d.OrderService)
	if err := caller.Call(ctx, http.MethodPost, "/v1/orders", body, &created); err != nil {
		return err
	}
	if created.ID == "" {
		result.Outcome, result.Reason = rtapi.NotRun, rtapi.ReasonCapacity
		return nil
	}
	var status rtapi.Status
	path := fmt.Sprintf("/v1/orders/%s?limit=%v", created.ID, result.TimeLimit)
	err := caller.Call(ctx, http.MethodPut, path, fmt.Appendf(nil, "order %d", result.Number), &status)
	result.Outcome, result.Reason = status.Outcome, status.Reason
	return err
}

func (d *Driver) caller(result *Result) rtfleet.Caller {
	caller := d.Callers[result.Entry%len(d.Callers)]
	caller.Organisation = result.Organisation
	return caller
}

// bytesPerToken is what entries estimate by.
const bytesPerToken = 4

// Prompt returns a prompt of so many tokens by the entries' estimate. Prompts
// start differently, so that no prefix cache helps.
func Prompt(number int, tokens rtid.Tokens) []byte {
	prompt := make([]byte, tokens*bytesPerToken)
	for i := range prompt {
		prompt[i] = 'x'
	}
	copy(prompt, fmt.Sprintf("%d ", number))
	return prompt
}
