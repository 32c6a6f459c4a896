package rtdemo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// streamTogether streams the answers to a long and a short prompt at the same
// time.
func (d *demo) streamTogether(ctx context.Context) error {
	sizes := []struct {
		name string
		size int
	}{{"long", longPromptSize}, {"short", shortPromptSize}}
	results := make([]rtfleet.Draft, len(sizes))
	tasks := make([]*rttask.Task, len(sizes))
	for i, s := range sizes {
		tasks[i] = rttask.Start(ctx, s.name, func(ctx context.Context) error {
			var err error
			results[i], err = d.caller.Draft(ctx, rtapi.DraftRequest{
				Service: "drafts", Prompt: prompt(s.name, s.size), Output: answerTokens, Limit: maxTimeLimit.String(),
			}, nil)
			return err
		})
	}
	for i, s := range sizes {
		if err := <-tasks[i].Done(); err != nil {
			return err
		}
		result := results[i]
		if err := checkOutcome(result.Outcome, rtapi.Done, result.Reason); err != nil {
			return err
		}
		d.printf("   %-5s prompt of %7d tokens: first token after %4d ms, whole answer of %d bytes after %4d ms\n",
			s.name, rtid.EstimateTokens(rtid.Bytes(s.size)), result.FirstText.Milliseconds(), len(result.Text), result.Duration.Milliseconds())
	}
	return nil
}

// orderTwice sends the same order through two entries and checks that it ran
// once.
func (d *demo) orderTwice(ctx context.Context) error {
	var created rtapi.OrderID
	if err := d.caller.Call(ctx, http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created); err != nil {
		return err
	}
	for _, entry := range d.fleet.Entries[:2] {
		sender := rtfleet.Caller{Client: d.client, Address: entry.CallerAddress, Organisation: d.caller.Organisation}
		var status rtapi.Status
		path := "/v1/orders/" + created.ID + "?limit=5s"
		if err := sender.Call(ctx, http.MethodPut, path, []byte("file draft 7 with the registry"), &status); err != nil {
			return err
		}
		if err := checkOutcome(status.Outcome, rtapi.Done, status.Reason); err != nil {
			return err
		}
		d.printf("   through %s: %s, result %q\n", entry.VM, status.Outcome, status.Result)
	}
	executions := 0
	for _, service := range d.fleet.Services {
		executions += service.Executions(rtid.Request(created.ID))
	}
	if executions != 1 {
		return fmt.Errorf("order ran %d times, want once", executions)
	}
	d.printf("   the fake plain services ran it once in total\n")
	return nil
}

// showRefusal sends a request that cannot be answered within its time limit, and
// checks that it is refused before any engine starts it.
func (d *demo) showRefusal(ctx context.Context) error {
	before := d.generations()
	result, err := d.caller.Draft(ctx, rtapi.DraftRequest{
		Service: "drafts", Prompt: prompt("late", latePromptSize), Output: answerTokens, Limit: infeasibleLimit,
	}, nil)
	if err != nil {
		return err
	}
	if err := checkOutcome(result.Outcome, rtapi.NotRun, result.Reason); err != nil {
		return err
	}
	if after := d.generations(); after != before {
		return fmt.Errorf("engines started %d generations for a refused request, want 0", after-before)
	}
	d.printf("   outcome %s, reason %s; no engine started it\n", result.Outcome, result.Reason)
	return nil
}

// generations returns the number of generations that all engines have started.
func (d *demo) generations() int {
	count := 0
	for _, engine := range d.fleet.Engines {
		count += engine.Stats().GenerationsStarted
	}
	return count
}

// takeZoneOut takes the first availability zone out of service and checks that
// it gets no new work.
func (d *demo) takeZoneOut(ctx context.Context) error {
	if err := d.publish(ctx, rtdocument.ZoneOutOfService); err != nil {
		return err
	}
	targets, err := d.sendShort(ctx, 6)
	if err != nil {
		return err
	}
	for _, target := range targets {
		if strings.HasPrefix(string(target), "wdh-a") {
			return fmt.Errorf("%s got a new draft although its availability zone is out", target)
		}
	}
	d.printf("   6 short prompts went to %s\n", joinTargets(targets))
	return nil
}

// returnZone returns the first availability zone to service and waits until one
// of its targets gets a draft.
func (d *demo) returnZone(ctx context.Context) error {
	if err := d.publish(ctx, rtdocument.ZoneInService); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	start := time.Now()
	for {
		targets, err := d.sendShort(ctx, 1)
		if err != nil {
			return err
		}
		if strings.HasPrefix(string(targets[0]), "wdh-a") {
			d.printf("   %s answers again, %v after the sheet was in force\n", targets[0], time.Since(start).Round(time.Millisecond))
			return nil
		}
	}
}

// sendShort sends short prompts one after the other and returns the targets that
// answered them.
func (d *demo) sendShort(ctx context.Context, count int) ([]rtid.Target, error) {
	var targets []rtid.Target
	for i := range count {
		result, err := d.caller.Draft(ctx, shortDraft(fmt.Sprint("tweak ", i)), nil)
		if err != nil {
			return nil, err
		}
		if err := checkOutcome(result.Outcome, rtapi.Done, result.Reason); err != nil {
			return nil, err
		}
		parsed, err := rtid.ParseRequest(rtid.Request(result.ID))
		if err != nil {
			return nil, fmt.Errorf("parse id of a draft: %w", err)
		}
		targets = append(targets, parsed.Target)
	}
	return targets, nil
}

// shortDraft returns a short request, like a quick wording change.
func shortDraft(name string) rtapi.DraftRequest {
	return rtapi.DraftRequest{Service: "drafts", Prompt: prompt(name, shortPromptSize), Output: 4, Limit: "5s"}
}

func joinTargets(targets []rtid.Target) string {
	names := make([]string, len(targets))
	for i, target := range targets {
		names[i] = string(target)
	}
	return strings.Join(names, ", ")
}
