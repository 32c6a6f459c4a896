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

	"github.com/BurntSushi/toml"
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

func main() {
	os.Exit(run(os.Args[1:], os.Stderr))
}

// run starts the entry and returns the exit status.
func run(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("rhubarbtally-entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", "", "`FILE` with the settings in TOML")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("RHUBARBTALLY"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	settings, err := readSettings(*config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if err := serve(settings, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "rhubarbtally-entry:", err)
		return exitFailed
	}
	return exitDone
}

// readSettings reads the settings file.
func readSettings(file string) (rtsettings.Entry, error) {
	var settings rtsettings.Entry
	if file == "" {
		return settings, errors.New("-config FILE is missing")
	}
	_, err := toml.DecodeFile(file, &settings)
	return settings, err
}

// serve runs the entry until a signal. SIGTERM and SIGINT start a graceful
// stop; further signals change nothing, because the handler stays installed.
func serve(settings rtsettings.Entry, stderr io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	level := settings.Level
	if level == "" {
		level = "info"
	}
	log, err := rtlog.New(stderr, level)
	if err != nil {
		return err
	}
	entry, err := rtentry.New(settings, rtentry.Dependencies{Network: &rtnet.TCP{}, Log: log})
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
