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

// streamTogether streams a long and a short prompt at the same time.
func (d *demo) streamTogether(ctx context.Context) error {
	sizes := []struct {
		name string
		size int
	}{{"long", longSize}, {"short", shortSize}}
	results := make([]rtfleet.Draft, len(sizes))
	tasks := make([]*rttask.Task, len(sizes))
	for i, s := range sizes {
		tasks[i] = rttask.Start(ctx, s.name, func(ctx context.Context) error {
			var err error
			results[i], err = d.caller.Draft(ctx, rtapi.DraftRequest{
				Service: "drafts", Prompt: prompt(s.name, s.size), Output: output, Limit: longest.String(),
			}, nil)
			return err
		})
	}
	for i, s := range sizes {
		if err := <-tasks[i].Done(); err != nil {
			return err
		}
		result := results[i]
		if err := expect(result.Outcome, rtapi.Done, result.Reason); err != nil {
			return err
		}
		d.printf("   %-5s prompt of %7d tokens: first token after %4d ms, whole answer of %d bytes after %4d ms\n",
			s.name, rtid.EstimateTokens(rtid.Bytes(s.size)), result.FirstText.Milliseconds(), len(result.Text), result.Duration.Milliseconds())
	}
	return nil
}

// orderTwice sends one order through two entries.
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
		if err := expect(status.Outcome, rtapi.Done, status.Reason); err != nil {
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
	d.printf("   the registry's stand-in ran it once\n")
	return nil
}

// refuse sends a request that cannot be answered in its time limit.
func (d *demo) refuse(ctx context.Context) error {
	before := d.generations()
	result, err := d.caller.Draft(ctx, rtapi.DraftRequest{
		Service: "drafts", Prompt: prompt("late", lateSize), Output: output, Limit: tooShort,
	}, nil)
	if err != nil {
		return err
	}
	if err := expect(result.Outcome, rtapi.NotRun, result.Reason); err != nil {
		return err
	}
	if after := d.generations(); after != before {
		return fmt.Errorf("engines started %d generations for a request that was refused as not run", after-before)
	}
	d.printf("   outcome %s, reason %s; no engine started it\n", result.Outcome, result.Reason)
	return nil
}

// generations counts the generations that all engines have started.
func (d *demo) generations() int {
	count := 0
	for _, engine := range d.fleet.Engines {
		count += engine.Stats().GenerationsStarted
	}
	return count
}

// takeOut takes the first availability zone out and shows that it gets no
// new work.
func (d *demo) takeOut(ctx context.Context) error {
	if err := d.publish(ctx, rtdocument.ZoneOutOfService); err != nil {
		return err
	}
	targets, err := d.sendShort(ctx, 6)
	if err != nil {
		return err
	}
	for _, target := range targets {
		if strings.HasPrefix(string(target), "wdh-a") {
			return fmt.Errorf("%s got new work in an availability zone that is out", target)
		}
	}
	d.printf("   6 short prompts went to %s\n", join(targets))
	return nil
}

// takeBack returns the first availability zone and waits until it serves.
func (d *demo) takeBack(ctx context.Context) error {
	if err := d.publish(ctx, rtdocument.ZoneInService); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	start := time.Now()
	for {
		targets, err := d.sendShort(ctx, 1)
		if err != nil {
			return err
		}
		if strings.HasPrefix(string(targets[0]), "wdh-a") {
			d.printf("   %s serves again, %v after the sheet was in force\n", targets[0], time.Since(start).Round(time.Millisecond))
			return nil
		}
	}
}

// sendShort sends short prompts one after the other and returns the targets
// that answered.
func (d *demo) sendShort(ctx context.Context, count int) ([]rtid.Target, error) {
	var targets []rtid.Target
	for i := range count {
		result, err := d.caller.Draft(ctx, shortDraft(fmt.Sprint("tweak ", i)), nil)
		if err != nil {
			return nil, err
		}
		if err := expect(result.Outcome, rtapi.Done, result.Reason); err != nil {
			return nil, err
		}
		home, err := rtid.ParseRequest(rtid.Request(result.ID))
		if err != nil {
			return nil, fmt.Errorf("id of a draft: %w", err)
		}
		targets = append(targets, home.Target)
	}
	return targets, nil
}

// shortDraft returns a quick wording change.
func shortDraft(name string) rtapi.DraftRequest {
	return rtapi.DraftRequest{Service: "drafts", Prompt: prompt(name, shortSize), Output: 4, Limit: "5s"}
}

func join(targets []rtid.Target) string {
	names := make([]string, len(targets))
	for i, target := range targets {
		names[i] = string(target)
	}
	return strings.Join(names, ", ")
}
