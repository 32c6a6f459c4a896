// Package rtprogram implements the daemons: it parses their arguments, reads
// their settings and serves until SIGTERM or SIGINT.
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
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: %[1]s -config FILE

%[2]s

  -config FILE  settings in TOML (or environment RHUBARBTALLY_CONFIG)
%[3]s  -h            print this text

SIGTERM and SIGINT start a graceful shutdown; a second signal has no effect.
Exit status: 0 after a graceful shutdown, 1 if the process failed, 2 if the
arguments or the settings are invalid.
`

// runner is an entry, an agent or a gateway.
type runner interface {
	Run(ctx context.Context) error
}

// program describes a daemon whose settings have the type S.
type program[S any] struct {
	name         string
	summary      string
	metricPrefix string // prefix of the metric names
	readSettings func(path string) (S, rtfinding.List)
	addFlags     func(*flag.FlagSet) // further arguments; nil for none
	flagUsage    string              // lines about them; empty for none
	logLevel     func(S) string
	// queueLog makes the process log to standard output through an rtlog.Queue,
	// so that a slow reader never blocks it. Otherwise it logs to standard error.
	queueLog  bool
	newRunner func(path string, settings S, log logr.Logger, metrics *rtmetric.Metrics) (runner, error)
}

// RunEntry runs rhubarbtally-entry and returns its exit status.
func RunEntry(args []string, stdout, stderr io.Writer) int {
	return program[rtsettings.Entry]{
		name:         "rhubarbtally-entry",
		summary:      "Accepts callers' requests, selects a target and relays the response.",
		metricPrefix: "rhubarbtally_entry",
		readSettings: rtsettings.ReadEntry,
		logLevel:     func(settings rtsettings.Entry) string { return settings.LogLevel },
		newRunner: func(_ string, settings rtsettings.Entry, log logr.Logger, metrics *rtmetric.Metrics) (runner, error) {
			return rtentry.New(settings, rtentry.Dependencies{Network: &rtnet.TCP{}, Log: log, Metrics: metrics})
		},
	}.run(args, stdout, stderr)
}

// RunAgent runs rhubarbtally-agent and returns its exit status.
func RunAgent(args []string, stdout, stderr io.Writer) int {
	return program[rtsettings.Agent]{
		name:         "rhubarbtally-agent",
		summary:      "Sidecar of one target, through which all its requests go.",
		metricPrefix: "rhubarbtally_agent",
		readSettings: rtsettings.ReadAgent,
		logLevel:     func(settings rtsettings.Agent) string { return settings.LogLevel },
		newRunner: func(_ string, settings rtsettings.Agent, log logr.Logger, metrics *rtmetric.Metrics) (runner, error) {
			return rtagent.New(settings, rtagent.Dependencies{Network: &rtnet.TCP{}, Log: log, Metrics: metrics}), nil
		},
	}.run(args, stdout, stderr)
}

// run parses the arguments, reads the settings and serves. It returns the exit
// status.
func (p program[S]) run(args []string, stdout, stderr io.Writer) int {
	path, err := p.parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = fmt.Fprintf(stdout, usage, p.name, p.summary, p.flagUsage)
		return exitDone
	case err != nil:
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		_, _ = fmt.Fprintf(stderr, usage, p.name, p.summary, p.flagUsage)
		return exitUsage
	}
	settings, findings := p.readSettings(path)
	for _, finding := range findings.All() {
		_, _ = fmt.Fprintln(stderr, finding)
	}
	if findings.Err() != nil {
		return exitUsage
	}
	if err := p.serve(path, settings, stdout, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		return exitFailed
	}
	return exitDone
}

// parse returns the path of the settings file.
func (p program[S]) parse(args []string) (string, error) {
	flags := flag.NewFlagSet(p.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	path := flags.String("config", "", "")
	if p.addFlags != nil {
		p.addFlags(flags)
	}
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

// serve runs the process until SIGTERM or SIGINT. The signal handler stays
// installed during the shutdown, so that a second signal does not kill the
// process while requests are in flight.
func (p program[S]) serve(path string, settings S, stdout, stderr io.Writer) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	output := stderr
	if p.queueLog {
		queue := rtlog.NewQueue()
		logWriter := rttask.Start(context.Background(), "log", func(ctx context.Context) error { return queue.Run(ctx, stdout) })
		defer func() { err = errors.Join(err, logWriter.Stop()) }()
		output = queue
	}
	log, err := rtlog.New(output, p.logLevel(settings))
	if err != nil {
		return err
	}
	metrics, err := rtmetric.New(p.metricPrefix)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, metrics.Close()) }()
	runner, err := p.newRunner(path, settings, log, metrics)
	if err != nil {
		return err
	}
	return runner.Run(ctx)
}
