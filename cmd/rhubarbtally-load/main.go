// Command rhubarbtally-load sends a limited load to entries over HTTP and prints
// latencies and outcomes as callers observed them.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtload"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run sends the load, prints the results and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	settings, err := parse(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		_, _ = fmt.Fprintln(stderr, "rhubarbtally-load:", err)
		return exitUsage
	}
	if err := rtload.Run(ctx, settings, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "rhubarbtally-load:", err)
		return exitFailed
	}
	return exitDone
}

func parse(args []string, stderr io.Writer) (rtload.Settings, error) {
	var s rtload.Settings
	flags := flag.NewFlagSet("rhubarbtally-load", flag.ContinueOnError)
	flags.SetOutput(stderr)
	entries := flags.String("entries", "", "`ADDRESSES` of the entries' callers listeners, separated by commas")
	organisations := flags.String("organisations", "", "`NAMES` of the organisations, separated by commas, the largest first")
	drafts := flags.String("drafts", "", "`SERVICE` for drafts")
	orders := flags.String("orders", "", "`SERVICE` for orders; empty for none")
	flags.StringVar(&s.Mix, "mix", "kavango", "kavango or nepgap")
	flags.Float64Var(&s.Rate, "rate", 5, "drafts per second, at most 200")
	flags.DurationVar(&s.Duration, "length", 10*time.Second, "how long to send, at most 10m")
	flags.Uint64Var(&s.Seed, "seed", 1, "seed of the schedule")
	flags.IntVar(&s.BandCount, "bands", len(rtload.Bands), "number of prompt length bands, from the shortest")
	if err := ff.Parse(flags, args); err != nil {
		return s, err
	}
	s.DraftService, s.OrderService = rtid.Service(*drafts), rtid.Service(*orders)
	for _, entry := range split(*entries) {
		s.Entries = append(s.Entries, rtid.Address(entry))
	}
	for _, organisation := range split(*organisations) {
		s.Organisations = append(s.Organisations, rtid.Organisation(organisation))
	}
	return s, s.Check()
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}
