// Package rtdemo shows the system at work: two entries, agents and stand-ins
// of three availability zones as parts of one process over loopback TCP.
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
	limit     = 19 * time.Second      // of the whole demo
	patience  = 5 * time.Second       // for a change to be in force everywhere
	pollEvery = 50 * time.Millisecond // while it waits for a condition
	step      = 4 * time.Millisecond  // of the engines
	drain     = 2 * time.Second       // of a planned stop
	longest   = 10 * time.Second      // time limit of a request
	tooShort  = "1500ms"              // time limit that the late prompt cannot meet
	shortSize = 4_000                 // bytes of the short prompt, about 1,000 tokens
	longSize  = 1_000_000             // bytes of the long prompt, about 250,000 tokens
	lateSize  = 2_200_000             // bytes of the late prompt, which takes 2.1 s to compute
	output    = 64                    // tokens of each answer
	prefill   = 1024                  // prompt tokens that an engine computes per step
	memory    = 600_000               // tokens of KV memory of an engine
	rate      = prefill * float64(time.Second/step)
)

// demo is a running demo.
type demo struct {
	out      io.Writer
	fleet    *rtfleet.Fleet
	document rtdocument.Document // last published
	client   *http.Client
	caller   rtfleet.Caller // of the first entry
}

// Run runs the demo and describes on out what it sees. It returns an error
// if anything differs from what the system promises.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	document, err := compile(rtdocument.ZoneInService, nil)
	if err != nil {
		return err
	}
	space := &rtfleet.Loopback{}
	fleet, err := rtfleet.New(ctx, options(space, document))
	if err != nil {
		return errors.Join(err, fleet.Close(), space.Close())
	}
	d := &demo{out: out, fleet: fleet, document: document, client: &http.Client{}}
	d.caller = rtfleet.Caller{Client: d.client, Address: fleet.Entries[0].CallerAddress, Organisation: "high-court"}
	err = d.steps(ctx)
	d.client.CloseIdleConnections()
	return errors.Join(err, fleet.Close(), space.Close())
}

// options returns the fleet of the demo.
func options(space rtfleet.NetworkProvider, document rtdocument.Document) rtfleet.Options {
	return rtfleet.Options{
		Networks:     space,
		Document:     document,
		Entries:      1,
		Engines:      2,
		Services:     1,
		Engine:       rtfake.EngineConfig{PassTime: step, PrefillPerPass: prefill, Memory: memory, Warm: true},
		Agent:        rtsettings.Agent{KVMemory: memory, Slots: 8, ColdSlots: 2, PrefillRate: rate},
		DrainTimeout: drain,
		MaxTimeLimit: longest,
		Log:          logr.Discard(),
	}
}

// steps runs the parts of the demo in order.
func (d *demo) steps(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"Starting 3 entries, 9 agents and the stand-ins of 3 availability zones", d.awaitReady},
		{"A short and a long prompt streaming together", d.streamTogether},
		{"An order sent twice through two entries", d.orderTwice},
		{"A request that cannot be answered in its time limit", d.refuse},
		{"Availability zone wdh-a taken out by a new sheet", d.takeOut},
		{"Availability zone wdh-a taken back", d.takeBack},
		{"State dump of one agent", d.dump},
	}
	for i, step := range steps {
		d.printf("%d. %s\n", i+1, step.title)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	d.printf("All parts of the demo behaved as promised.\n")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	// The reader of the demo may go away; the demo then still ends by itself.
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

// statuses asks every process for its status.
func (d *demo) statuses(ctx context.Context) ([]processStatus, error) {
	var statuses []processStatus
	for _, process := range append(d.fleet.Entries, d.fleet.Agents...) {
		operator := rtfleet.Caller{Client: d.client, Address: process.OperatorAddress}
		var status processStatus
		if err := operator.Call(ctx, http.MethodGet, "/status", nil, &status); err != nil {
			return nil, fmt.Errorf("%s: %w", process.VM, err)
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// await waits until accept holds for the status of every process.
func (d *demo) await(ctx context.Context, accept func(processStatus) bool) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		statuses, err := d.statuses(ctx)
		if err == nil && all(statuses, accept) {
			return time.Since(start), nil
		}
		if pauseErr := pause(ctx); pauseErr != nil {
			return 0, fmt.Errorf("not in force on every process within %v: %w", patience, errors.Join(pauseErr, err))
		}
	}
}

func all(statuses []processStatus, accept func(processStatus) bool) bool {
	for _, status := range statuses {
		if !accept(status) {
			return false
		}
	}
	return true
}

// awaitReady waits until every process serves and the first entry has heard
// from a target.
func (d *demo) awaitReady(ctx context.Context) error {
	took, err := d.await(ctx, func(status processStatus) bool { return status.Ready && status.Version == 1 })
	if err != nil {
		return err
	}
	d.printf("   every process is ready with configuration version 1 after %v\n", took.Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		result, err := d.caller.Draft(ctx, shortDraft("first"), nil)
		if err != nil || result.Outcome == rtapi.Done {
			return err
		}
		if err := pause(ctx); err != nil {
			return fmt.Errorf("outcome %s, reason %s: %w", result.Outcome, result.Reason, err)
		}
	}
}

// pause waits a moment before the next poll.
func pause(ctx context.Context) error {
	select {
	case <-time.After(pollEvery):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// publish publishes the sheet with the state of the first availability zone
// and waits until it is in force everywhere.
func (d *demo) publish(ctx context.Context, state rtdocument.ZoneState) error {
	document, err := compile(state, &d.document)
	if err != nil {
		return err
	}
	version, err := d.fleet.Publish(document)
	if err != nil {
		return err
	}
	d.document = document
	took, err := d.await(ctx, func(status processStatus) bool { return status.Version == version })
	if err != nil {
		return err
	}
	d.printf("   configuration version %d (revision %d) is in force on all %d processes after %v\n",
		version, document.Revision, len(d.fleet.Entries)+len(d.fleet.Agents), took.Round(time.Millisecond))
	return nil
}

// dump prints the state of one agent.
func (d *demo) dump(ctx context.Context) error {
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

// prompt returns a prompt of a size in bytes that differs by name.
func prompt(name string, size int) string {
	line := name + ": transcript of the hearing. "
	return strings.Repeat(line, size/len(line)+1)[:size]
}

func expect(got, want rtapi.Outcome, reason rtapi.Reason) error {
	if got != want {
		return fmt.Errorf("outcome %s (reason %s), want %s", got, reason, want)
	}
	return nil
}
