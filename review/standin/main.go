// Command review-standin plays the scripted cases of the review. It holds the
// stand-ins of the platform's store, of servers and of clients, starts the gateways as
// separate processes, and checks one rule of the platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// maxLength is the longest time that a case may take.
const maxLength = 110 * time.Second

// playedCase plays one case. It returns what has broken the rule, or nothing; trouble
// says whether the disruption happens. An error says that the case could not run.
type playedCase func(ctx context.Context, w *world, trouble bool) ([]string, error)

// cases are the cases by name.
var cases = map[string]playedCase{}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxLength)
	defer cancel()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: review-standin CASE DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(play(ctx, cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case, and writes its record into a directory.
func play(ctx context.Context, played playedCase, directory string, trouble bool) int {
	w, err := newWorld(filepath.Join(directory, "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "review-standin:", err)
		return exitNotRun
	}
	broken, err := played(ctx, w, trouble)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the case took too long or was stopped")
	}
	w.stop()
	switch {
	case err != nil:
		w.record("could not run: %v", err)
	case len(broken) == 0:
		w.record("the rule held")
	default:
		for _, line := range broken {
			w.record("BROKEN %s", line)
		}
		w.record("the rule was broken %d times", len(broken))
	}
	if closeErr := w.closeRecord(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, "review-standin:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("broken: %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}
