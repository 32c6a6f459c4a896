// Package rtcommand is the operators' command-line client.
package rtcommand

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
)

// The exit statuses of the program.
const (
	ExitOK      = 0
	ExitFailure = 1 // the work could not be done
	ExitInput   = 2 // bad arguments, input or settings
)

const (
	programName = "rhubarbtally"
	envPrefix   = "RHUBARBTALLY"
)

// Program is the client with its surroundings.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer

	// Demo runs the demo and writes its report. Without it the program has no
	// subcommand demo.
	Demo func(ctx context.Context, w io.Writer) error

	usage bytes.Buffer // help that was asked for with -h
}

// usageError is a fault of the arguments.
type usageError struct {
	command string
	text    string
}

func (e *usageError) Error() string {
	return fmt.Sprintf("%s: %s; see %s -h", e.command, e.text, e.command)
}

// Run runs the subcommand that args name, and returns the exit status.
func (p *Program) Run(ctx context.Context, args []string) int {
	root := p.root()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			p.print(p.Stdout, strings.TrimSpace(p.usage.String()))
			return ExitOK
		}
		p.print(p.Stderr, fmt.Sprintf("%s: %v", programName, err))
		return ExitInput
	}
	return p.exitStatus(root.Run(ctx))
}

// exitStatus reports the error and returns its exit status.
func (p *Program) exitStatus(err error) int {
	if err == nil {
		return ExitOK
	}
	p.print(p.Stderr, err.Error())
	var usage *usageError
	var findings *rtfinding.Error
	if errors.As(err, &usage) || errors.As(err, &findings) {
		return ExitInput
	}
	return ExitFailure
}

// print writes lines. A terminal that is gone cannot be told so.
func (p *Program) print(w io.Writer, lines ...string) {
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, line)
	}
}

func (p *Program) root() *ffcli.Command {
	subcommands := []*ffcli.Command{
		p.group("sheet", "check and compile the planners' sheet", p.sheetCheck(), p.sheetCompile()),
		p.group("config", "check settings of entry and agent", p.configCheck()),
		p.status(),
		p.dump(),
		p.version(),
	}
	if p.Demo != nil {
		subcommands = append(subcommands, p.demo())
	}
	root := p.group("", "client for operators of rhubarbtally", subcommands...)
	root.LongHelp = "Exit status: 0 done, 1 failed, 2 bad arguments, input or settings.\n" +
		"Flags can be given as environment variables, for example " + envPrefix + "_OUT for -out."
	return root
}

// command returns a command with its own flags, which are also read from the
// environment.
func (p *Program) command(name, arguments, help string) *ffcli.Command {
	full := strings.TrimSpace(programName + " " + name)
	flags := flag.NewFlagSet(full, flag.ContinueOnError)
	flags.SetOutput(&p.usage)
	short := name
	if at := strings.LastIndexByte(name, ' '); at >= 0 {
		short = name[at+1:]
	}
	return &ffcli.Command{
		Name:       short,
		ShortUsage: strings.TrimSpace(full + " " + arguments),
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
	}
}

// group returns a command that only has subcommands.
func (p *Program) group(name, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	command := p.command(name, "SUBCOMMAND", help)
	command.Subcommands = subcommands
	command.Exec = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return &usageError{command: command.FlagSet.Name(), text: "subcommand is missing"}
		}
		return &usageError{command: command.FlagSet.Name(), text: fmt.Sprintf("unknown subcommand %q", args[0])}
	}
	return command
}

// oneArgument returns the only argument of a command.
func oneArgument(command *ffcli.Command, args []string) (string, error) {
	if len(args) != 1 {
		text := fmt.Sprintf("want one argument after the flags, got %d", len(args))
		return "", &usageError{command: command.FlagSet.Name(), text: text}
	}
	return args[0], nil
}

func (p *Program) demo() *ffcli.Command {
	command := p.command("demo", "", "run a small fleet in this process and show what it does")
	command.Exec = func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return &usageError{command: command.FlagSet.Name(), text: "takes no arguments"}
		}
		return p.Demo(ctx, p.Stdout)
	}
	return command
}
