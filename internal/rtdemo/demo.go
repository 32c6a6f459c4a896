// Package rtdemo demonstrates the system: it runs entries, agents and fake
// targets of three availability zones in one process over loopback TCP.
package rtdemo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Bounds of the demo.
const (
	demoTimeout     = 19 * time.Second      // of the whole demo
	changeTimeout   = 5 * time.Second       // for a change to take effect on all processes
	pollInterval    = 50 * time.Millisecond // while waiting for a condition
	passTime        = 4 * time.Millisecond  // of the fake engines
	drainTimeout    = 2 * time.Second       // of a graceful shutdown
	maxTimeLimit    = 10 * time.Second      // longest time limit of a request
	infeasibleLimit = "1500ms"              // time limit too short for the late prompt
	shortPromptSize = 4_000                 // bytes of the short prompt, about 1,000 tokens
	longPromptSize  = 1_000_000             // bytes of the long prompt, about 250,000 tokens
	latePromptSize  = 2_200_000             // bytes of the late prompt, whose prefill takes 2.1 s
	answerTokens    = 64                    // tokens of each answer
	prefillPerPass  = 1024                  // prompt tokens per pass of an engine
	kvMemory        = 600_000               // tokens of KV memory per engine
	prefillRate     = prefillPerPass * float64(time.Second/passTime)
)

// demo is a running demo.
type demo struct {
	out      io.Writer
	fleet    *rtfleet.Fleet
	document rtdocument.Document // last published
	client   *http.Client
	caller   rtfleet.Caller // of the first entry
}

// Run runs the demo and writes the observed results to out. It returns an error
// if a result is not as specified.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	document, err := compileSheet(rtdocument.ZoneInService, nil)
	if err != nil {
		return err
	}
	networks := &rtfleet.Loopback{}
	fleet, err := rtfleet.New(ctx, options(networks, document))
	if err != nil {
		return errors.Join(err, fleet.Close(), networks.Close())
	}
	d := &demo{out: out, fleet: fleet, document: document, client: &http.Client{}}
	d.caller = rtfleet.Caller{Client: d.client, Address: fleet.Entries[0].CallerAddress, Organisation: "high-court"}
	err = d.runSteps(ctx)
	d.client.CloseIdleConnections()
	return errors.Join(err, fleet.Close(), networks.Close())
}

// options returns the options of the demo's fleet.
func options(networks rtfleet.NetworkProvider, document rtdocument.Document) rtfleet.Options {
	return rtfleet.Options{
		Networks:     networks,
		Document:     document,
		Entries:      1,
		Engines:      2,
		Services:     1,
		Engine:       rtfake.EngineConfig{PassTime: passTime, PrefillPerPass: prefillPerPass, Memory: kvMemory, Warm: true},
		Agent:        rtsettings.Agent{KVMemory: kvMemory, Slots: 8, ColdSlots: 2, PrefillRate: prefillRate},
		DrainTimeout: drainTimeout,
		MaxTimeLimit: maxTimeLimit,
		Log:          logr.Discard(),
	}
}

// runSteps runs the steps of the demo in order.
func (d *demo) runSteps(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"Starting 3 entries, 9 agents and the fake targets of 3 availability zones", d.awaitReady},
		{"A short and a long prompt streaming together", d.streamTogether},
		{"An order sent twice through two entries", d.orderTwice},
		{"A request that cannot be answered within its time limit", d.showRefusal},
		{"Availability zone wdh-a taken out of service by a new sheet", d.takeZoneOut},
		{"Availability zone wdh-a returned to service", d.returnZone},
		{"State dump of one agent", d.printDump},
	}
	for i, step := range steps {
		d.printf("%d. %s\n", i+1, step.title)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	d.printf("All steps of the demo had the expected results.\n")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	// The reader of out may close it; the demo then still runs to its end.
	_, _ = fmt.Fprintf(d.out, format, args...)
}

// processStatus is the part of GET /status that the demo reads.
type processStatus struct {
	VM       rtid.VM              `json:"vm"`
	Zone     rtid.Zone            `json:"zone"`
	Version  rtid.Version         `json:"version"`
	Revision rtid.Revision        `json:"revision"`
	Ready    bool                 `json:"ready"`
	State    rtdocument.ZoneState `json:"state"`
}

// statuses requests the status of every process.
func (d *demo) statuses(ctx context.Context) ([]processStatus, error) {
	var statuses []processStatus
	for _, process := range append(d.fleet.Entries, d.fleet.Agents...) {
		operator := rtfleet.Caller{Client: d.client, Address: process.OperatorAddress}
		var status processStatus
		if err := operator.Call(ctx, http.MethodGet, "/status", nil, &status); err != nil {
			return nil, fmt.Errorf("read status of %s: %w", process.VM, err)
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// awaitStatus waits until accept returns true for the status of every process.
// It returns how long that took.
func (d *demo) awaitStatus(ctx context.Context, accept func(processStatus) bool) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		statuses, err := d.statuses(ctx)
		if err == nil && allAccepted(statuses, accept) {
			return time.Since(start), nil
		}
		if sleepErr := sleep(ctx); sleepErr != nil {
			return 0, fmt.Errorf("processes without the expected status after %v: %w", changeTimeout, errors.Join(sleepErr, err))
		}
	}
}

func allAccepted(statuses []processStatus, accept func(processStatus) bool) bool {
	for _, status := range statuses {
		if !accept(status) {
			return false
		}
	}
	return true
}

// awaitReady waits until every process is ready and the first entry has received
// the status of a target, so that it completes a draft.
func (d *demo) awaitReady(ctx context.Context) error {
	took, err := d.awaitStatus(ctx, func(status processStatus) bool { return status.Ready && status.Version == 1 })
	if err != nil {
		return err
	}
	d.printf("   every process is ready with configuration version 1 after %v\n", took.Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		result, err := d.caller.Draft(ctx, shortDraft("first"), nil)
		if err != nil || result.Outcome == rtapi.Done {
			return err
		}
		if err := sleep(ctx); err != nil {
			return fmt.Errorf("first draft not done: outcome %s, reason %s: %w", result.Outcome, result.Reason, err)
		}
	}
}

// sleep waits for pollInterval or until the context ends.
func sleep(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// publish publishes the sheet with a state of the first availability zone and
// waits until all processes apply it.
func (d *demo) publish(ctx context.Context, state rtdocument.ZoneState) error {
	document, err := compileSheet(state, &d.document)
	if err != nil {
		return err
	}
	version, err := d.fleet.Publish(document)
	if err != nil {
		return err
	}
	d.document = document
	took, err := d.awaitStatus(ctx, func(status processStatus) bool { return status.Version == version })
	if err != nil {
		return err
	}
	d.printf("   configuration version %d (revision %d) is in force on all %d processes after %v\n",
		version, document.Revision, len(d.fleet.Entries)+len(d.fleet.Agents), took.Round(time.Millisecond))
	return nil
}

// printDump prints the state dump of one agent.
func (d *demo) printDump(ctx context.Context) error {
	agent := d.fleet.Agents[0]
	operator := rtfleet.Caller{Client: d.client, Address: agent.OperatorAddress}
	var state map[string]any
	if err := operator.Call(ctx, http.MethodGet, "/dump", nil, &state); err != nil {
		return err
	}
	text, err := json.MarshalIndent(state, "   ", "  ")
	if err != nil {
		return fmt.Errorf("encode dump: %w", err)
	}
	d.printf("   %s: %s\n", agent.VM, text)
	return nil
}

// prompt returns a prompt of size bytes that starts with name.
func prompt(name string, size int) string {
	line := name + ": transcript of the hearing. "
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// checkOutcome returns an error if a request ended with another outcome.
func checkOutcome(got, want rtapi.Outcome, reason rtapi.Reason) error {
	if got != want {
		return fmt.Errorf("got outcome %s (reason %s), want %s", got, reason, want)
	}
	return nil
}
