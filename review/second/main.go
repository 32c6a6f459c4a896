// Command second plays the cases of the second review: it starts the gateway of the
// deploy file as a process, with stand-ins of the store, of servers and of clients on
// loopback addresses, and checks one rule by what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// errBroken says that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name; each file of a case adds its own. A case returns errBroken,
// or another error if it could not run.
var cases = make(map[string]func(w *world) error)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		os.Exit(exitFailed)
	}
	name := flag.String("case", "", "`NAME` of the case")
	record := flag.String("record", "", "`FILE` for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *record))
}

// play runs a case and returns the exit status.
func play(name, record string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return exitFailed
	}
	err = run(w)
	switch {
	case errors.Is(err, errBroken):
		w.note("RESULT broken")
	case err != nil:
		w.note("RESULT could not run: %v", err)
	default:
		w.note("RESULT held")
	}
	w.close()
	switch {
	case errors.Is(err, errBroken):
		return exitBroken
	case err != nil:
		return exitFailed
	}
	return exitHeld
}
