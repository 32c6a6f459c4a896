package main

import (
	"errors"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rhubarbtally": func() { os.Exit(run()) }})
}

// Guards against bad input that gets another exit status than 2, that is not
// explained, or that leaves a document behind.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs a program and checks its exit status: exits STATUS PROGRAM ARGS.
func exits(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) < 2 {
		ts.Fatalf("usage: exits STATUS PROGRAM [ARGUMENT...]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit status %d, want %d", got, want)
	}
}
