// Command rhubarbtally-fake runs a fake of one external dependency as a process,
// for tests and trials: the platform, an engine, a plain service or the weight
// store, and of the users' platform the store or a target.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/platform/rtstandin"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// options are the values of the flags.
type options struct {
	kind     string
	listen   string
	document string
	vms      string
	version  uint64
	lag      time.Duration
	weights  string
	model    string
	memory   int64
	engine   rtfake.EngineConfig
	service  rtfake.ServiceConfig
	items    string
	id       string
	limit    string
	leaving  bool
	backoff  string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run serves until the context ends, and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	settings, err := parse(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		return exitUsage
	}
	if err := serve(ctx, settings, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "rhubarbtally-fake:", err)
		return exitFailed
	}
	return exitDone
}

func parse(args []string, stderr io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("rhubarbtally-fake", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.kind, "kind", "", "platform, engine, service, weights, store or target")
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "`ADDRESS` to listen on")
	flags.StringVar(&o.document, "document", "", "platform: `FILE` with the document, published after each change")
	flags.Uint64Var(&o.version, "version", 1, "platform: version of the first document")
	flags.StringVar(&o.vms, "vms", "", "platform: `FILE` with the list of VMs, published after each change")
	flags.DurationVar(&o.lag, "lag", 0, "platform: delay until a changed list of VMs is served")
	flags.StringVar(&o.weights, "weights", "", "engine: `ADDRESS` of the weight store")
	flags.StringVar(&o.model, "model", "", "engine: the only model to serve")
	flags.Int64Var(&o.memory, "memory", 0, "engine: KV memory in tokens")
	flags.DurationVar(&o.engine.PassTime, "step", 0, "engine: duration of a pass")
	flags.BoolVar(&o.engine.Warm, "warm", false, "engine: start warm")
	flags.DurationVar(&o.service.RunDuration, "duration", 0, "service and target: duration of a run")
	flags.StringVar(&o.items, "items", "", "store: `FILE` with an object of keys and values, written after each change; POST /restore?age=5s brings back a copy of that age")
	flags.StringVar(&o.id, "id", "", "target: `ID` that callers must expect")
	flags.StringVar(&o.limit, "limit", "", "target: `RATE` limit that answers name, in requests per second")
	flags.BoolVar(&o.leaving, "leaving", false, "target: answers say that it is leaving")
	flags.StringVar(&o.backoff, "retryafter", "", "target: refuse requests as not run with this `VALUE` of Retry-After")
	fencing := flags.Bool("fencing", false, "engine and service: reject outdated fencing numbers")
	if err := ff.Parse(flags, args); err != nil {
		return o, err
	}
	o.engine.Fencing = *fencing
	o.service.Fencing = *fencing
	o.engine.Model = rtid.Model(o.model)
	o.engine.Memory = rtid.Tokens(o.memory)
	return o, nil
}

// serve runs the fake until the context ends, and prints its address at start.
func serve(ctx context.Context, o options, stdout io.Writer) error {
	network := &rtnet.TCP{}
	handler, background, err := build(o, network)
	if err != nil {
		return err
	}
	listener, err := network.Listen(rtid.Address(o.listen))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(stdout, listener.Addr()); err != nil {
		return errors.Join(err, listener.Close())
	}
	task := rttask.Start(ctx, o.kind, background)
	return errors.Join(rtfake.Serve(ctx, listener, handler), task.Stop())
}

// build returns the handler of a fake and the function that runs concurrently
// with it.
func build(o options, network rtnet.Network) (http.Handler, func(context.Context) error, error) {
	switch o.kind {
	case "platform":
		platform := &rtfake.Platform{}
		return platform, func(ctx context.Context) error { return publishFiles(ctx, platform, o) }, nil
	case "engine":
		if o.weights != "" {
			o.engine.ReadWeights = rtfake.WeightReader(rtnet.Client(network), rtid.Address(o.weights))
		}
		engine := rtfake.NewEngine(o.engine)
		return engine, engine.Run, nil
	case "service":
		return rtfake.NewService(o.service), noBackground, nil
	case "weights":
		return &rtfake.WeightStore{}, noBackground, nil
	case "store":
		store := newStoreProcess(o.items)
		return store, store.run, nil
	case "target":
		target := &rtstandin.Target{ID: o.id, RunDuration: o.service.RunDuration}
		target.SetLimit(o.limit)
		target.SetLeaving(o.leaving)
		target.SetRetryAfter(o.backoff)
		return target, noBackground, nil
	default:
		return nil, nil, fmt.Errorf("-kind %q: want platform, engine, service, weights, store or target", o.kind)
	}
}

func noBackground(context.Context) error {
	return nil
}
