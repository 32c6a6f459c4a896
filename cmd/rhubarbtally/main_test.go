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

// Guards against invalid input that gets an exit status other than 2, is not
// explained or leaves a document behind.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs "exits STATUS PROGRAM ARGS...": runs a program and checks its exit
// status.
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
