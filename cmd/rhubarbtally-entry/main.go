// Command rhubarbtally-entry accepts callers' requests, chooses a target and
// relays the answer.
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

	"github.com/rhubarbtally/rhubarbtally/internal/rtentry"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
)

// Exit statuses.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

const usage = `usage: rhubarbtally-entry -config FILE

Accepts callers' requests, chooses a target and relays the answer.

  -config FILE  settings in TOML (or environment RHUBARBTALLY_CONFIG)
  -h            print this text

SIGTERM and SIGINT start a graceful stop. Exit status: 0 after a graceful
stop, 1 when the entry failed, 2 when arguments or settings are not valid.
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run starts the entry and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("rhubarbtally-entry", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("RHUBARBTALLY"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = fmt.Fprint(stdout, usage)
		return exitDone
	case err == nil && flags.NArg() > 0:
		err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
	case err == nil && *config == "":
		err = errors.New("-config FILE is missing")
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "rhubarbtally-entry: %v\n%s", err, usage)
		return exitSettings
	}
	settings, findings := rtsettings.ReadEntry(*config)
	if err := findings.Err(); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if err := serve(settings, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "rhubarbtally-entry:", err)
		return exitFailed
	}
	return exitDone
}

// serve runs the entry until a signal. SIGTERM and SIGINT start a graceful
// stop; further signals change nothing, because the handler stays installed.
func serve(settings rtsettings.Entry, stderr io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log, err := rtlog.New(stderr, settings.Level)
	if err != nil {
		return err
	}
	entry, err := rtentry.New(settings, rtentry.Dependencies{Network: &rtnet.TCP{}, Log: log})
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
