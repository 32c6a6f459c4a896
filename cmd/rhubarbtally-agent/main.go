// Command rhubarbtally-agent is the sidecar process beside one target and the
// only path to it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/rhubarbtally/rhubarbtally/internal/rtagent"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
)

// Exit statuses.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stderr))
}

// run starts the agent and returns the exit status.
func run(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("rhubarbtally-agent", flag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", "", "`FILE` with the settings in TOML")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("RHUBARBTALLY"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	case *config == "":
		_, _ = fmt.Fprintln(stderr, "-config FILE is missing")
		return exitSettings
	}
	settings, findings := rtsettings.ReadAgent(*config)
	report(stderr, findings)
	if findings.Err() != nil {
		return exitSettings
	}
	if err := serve(settings, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "rhubarbtally-agent:", err)
		return exitFailed
	}
	return exitDone
}

// report writes all findings, one a line, warnings included.
func report(w io.Writer, findings rtfinding.List) {
	for _, finding := range findings.All() {
		_, _ = fmt.Fprintln(w, finding)
	}
}

// serve runs the agent until a signal. SIGTERM and SIGINT start a graceful
// stop; further signals change nothing, because the handler stays installed.
func serve(settings rtsettings.Agent, stderr io.Writer) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log, err := rtlog.New(stderr, settings.Level)
	if err != nil {
		return err
	}
	metrics, err := rtmetric.New("rhubarbtally_agent")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, metrics.Close()) }()
	agent := rtagent.New(settings, rtagent.Dependencies{
		Network: &rtnet.TCP{},
		Log:     log,
		Metrics: metrics,
	})
	return agent.Run(ctx)
}
