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

// abandonDelay is the time after the time limit of a request at which its caller
// stops waiting for the end.
const abandonDelay = 5 * time.Second

// Driver sends the requests of a schedule through callers of all entries.
type Driver struct {
	Callers      []rtfleet.Caller // one per entry; the organisation is set for each request
	DraftService rtid.Service
	OrderService rtid.Service
	Recorder     Recorder

	mu        sync.Mutex
	lastDraft map[rtid.Organisation]string // ID of the last draft
}

// Run sends each arrival when it is due, without waiting for earlier ones, and
// then waits for all answers.
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
			return waitAll(tasks, ctx.Err())
		case <-timer.C:
		}
		sendDelay := time.Since(start) - arrival.Due
		tasks = append(tasks, rttask.Start(ctx, "caller", func(ctx context.Context) error {
			d.send(ctx, arrival, sendDelay)
			return nil
		}))
	}
	return waitAll(tasks, nil)
}

func waitAll(tasks []*rttask.Task, err error) error {
	for _, task := range tasks {
		if ended := <-task.Done(); err == nil {
			err = ended
		}
	}
	return err
}

func (d *Driver) send(ctx context.Context, arrival *Arrival, sendDelay time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, arrival.TimeLimit+abandonDelay)
	defer cancel()
	start := time.Now()
	result := Result{Arrival: *arrival, SendDelay: sendDelay}
	var err error
	switch arrival.Kind {
	case KindDraft:
		err = d.sendDraft(ctx, &result)
	case KindStatus:
		err = d.sendStatus(ctx, &result)
	case KindOrder:
		err = d.sendOrder(ctx, &result)
	}
	result.Duration = time.Since(start)
	result.Broken = err != nil
	d.Recorder.Add(result)
}

func (d *Driver) sendDraft(ctx context.Context, result *Result) error {
	caller := d.callerFor(result)
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
		if d.lastDraft == nil {
			d.lastDraft = make(map[rtid.Organisation]string)
		}
		d.lastDraft[result.Organisation] = draft.ID
	}
	return err
}

// sendStatus requests the status of the last draft of the organisation. Without
// one it sends nothing and counts the request as done.
func (d *Driver) sendStatus(ctx context.Context, result *Result) error {
	d.mu.Lock()
	last := d.lastDraft[result.Organisation]
	d.mu.Unlock()
	result.Tokens = 0
	result.Outcome = rtapi.Done
	if last == "" {
		return nil
	}
	caller := d.callerFor(result)
	var status rtapi.Status
	err := caller.Call(ctx, http.MethodGet, "/v1/drafts/"+last+"/status", nil, &status)
	if err == nil && status.ID == "" {
		result.Outcome, result.Reason = status.Outcome, status.Reason
	}
	return err
}

func (d *Driver) sendOrder(ctx context.Context, result *Result) error {
	result.Tokens = 0
	caller := d.callerFor(result)
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

func (d *Driver) callerFor(result *Result) rtfleet.Caller {
	caller := d.Callers[result.Entry%len(d.Callers)]
	caller.Organisation = result.Organisation
	return caller
}

// bytesPerToken is the ratio by which entries estimate the tokens of a prompt.
const bytesPerToken = 4

// Prompt returns a prompt that entries estimate at the given number of tokens.
// Prompts with different numbers begin differently, so that prefix caches save no
// prefill.
func Prompt(number int, tokens rtid.Tokens) []byte {
	prompt := make([]byte, tokens*bytesPerToken)
	for i := range prompt {
		prompt[i] = 'x'
	}
	copy(prompt, fmt.Sprintf("%d ", number))
	return prompt
}
