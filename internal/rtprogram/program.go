// Package rtprogram runs the daemons: it parses their arguments, reads their
// settings and serves until a signal.
package rtprogram

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/peterbourgon/ff/v3"

	"github.com/rhubarbtally/rhubarbtally/internal/rtagent"
	"github.com/rhubarbtally/rhubarbtally/internal/rtentry"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Exit statuses.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

const usage = `usage: %[1]s -config FILE

%[2]s

  -config FILE  settings in TOML (or environment RHUBARBTALLY_CONFIG)
  -h            print this text

SIGTERM and SIGINT start a graceful stop; a second signal changes nothing.
Exit status: 0 after a graceful stop, 1 when the process failed, 2 when
arguments or settings are not valid.
`

// runner is an entry or an agent.
type runner interface {
	Run(ctx context.Context) error
}

// program describes one daemon whose settings have type S.
type program[S any] struct {
	name    string
	summary string
	metrics string // prefix of metric names
	read    func(path string) (S, rtfinding.List)
	level   func(S) string
	queued  bool // the log goes to standard output and never holds up the process
	create  func(path string, settings S, log logr.Logger, metrics *rtmetric.Metrics) (runner, error)
}

// Entry runs rhubarbtally-entry and returns its exit status.
func RunEntry(args []string, stdout, stderr io.Writer) int {
	return program[rtsettings.Entry]{
		name:    "rhubarbtally-entry",
		summary: "Accepts callers' requests, chooses a target and relays the answer.",
		metrics: "rhubarbtally_entry",
		read:    rtsettings.ReadEntry,
		level:   func(settings rtsettings.Entry) string { return settings.LogLevel },
		create: func(_ string, settings rtsettings.Entry, log logr.Logger, metrics *rtmetric.Metrics) (runner, error) {
			return rtentry.New(settings, rtentry.Dependencies{Network: &rtnet.TCP{}, Log: log, Metrics: metrics})
		},
	}.run(args, stdout, stderr)
}

// Agent runs rhubarbtally-agent and returns its exit status.
func RunAgent(args []string, stdout, stderr io.Writer) int {
	return program[rtsettings.Agent]{
		name:    "rhubarbtally-agent",
		summary: "Is the only path to the target beside it.",
		metrics: "rhubarbtally_agent",
		read:    rtsettings.ReadAgent,
		level:   func(settings rtsettings.Agent) string { return settings.LogLevel },
		create: func(_ string, settings rtsettings.Agent, log logr.Logger, metrics *rtmetric.Metrics) (runner, error) {
			return rtagent.New(settings, rtagent.Dependencies{Network: &rtnet.TCP{}, Log: log, Metrics: metrics}), nil
		},
	}.run(args, stdout, stderr)
}

// run parses arguments, reads settings, and serves.
func (p program[S]) run(args []string, stdout, stderr io.Writer) int {
	path, err := p.parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = fmt.Fprintf(stdout, usage, p.name, p.summary)
		return exitDone
	case err != nil:
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		_, _ = fmt.Fprintf(stderr, usage, p.name, p.summary)
		return exitSettings
	}
	settings, findings := p.read(path)
	for _, finding := range findings.All() {
		_, _ = fmt.Fprintln(stderr, finding)
	}
	if findings.Err() != nil {
		return exitSettings
	}
	if err := p.serve(path, settings, stdout, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		return exitFailed
	}
	return exitDone
}

// parse returns the path of the settings.
func (p program[S]) parse(args []string) (string, error) {
	flags := flag.NewFlagSet(p.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	path := flags.String("config", "", "")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("RHUBARBTALLY")); err != nil {
		return "", err
	}
	if flags.NArg() > 0 {
		return "", fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if *path == "" {
		return "", errors.New("-config FILE is missing")
	}
	return *path, nil
}

// serve runs the process until a signal. The handler stays installed, so that
// a second signal does not end the process before its requests.
func (p program[S]) serve(path string, settings S, stdout, stderr io.Writer) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	output := stderr
	if p.queued {
		queue := rtlog.NewQueue()
		writing := rttask.Start(context.Background(), "log", func(ctx context.Context) error { return queue.Run(ctx, stdout) })
		defer func() { err = errors.Join(err, writing.Stop()) }()
		output = queue
	}
	log, err := rtlog.New(output, p.level(settings))
	if err != nil {
		return err
	}
	metrics, err := rtmetric.New(p.metrics)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, metrics.Close()) }()
	runner, err := p.create(path, settings, log, metrics)
	if err != nil {
		return err
	}
	return runner.Run(ctx)
}
