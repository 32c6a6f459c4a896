// Package rtcommand implements the command-line client for operators.
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
	ExitFailure = 1 // the operation failed
	ExitInput   = 2 // invalid arguments, input or settings
)

const (
	programName = "rhubarbtally"
	envPrefix   = "RHUBARBTALLY"
)

// Program is the client with its output streams.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer

	// Demo runs the demo and writes its report. If it is nil, the program has no
	// subcommand demo.
	Demo func(ctx context.Context, w io.Writer) error

	usage bytes.Buffer // help text requested with -h
}

// usageError is an error in the command-line arguments.
type usageError struct {
	command string
	text    string
}

func (e *usageError) Error() string {
	return fmt.Sprintf("%s: %s; see %s -h", e.command, e.text, e.command)
}

// Run runs the subcommand given by args and returns the exit status.
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

// exitStatus prints the error and returns the exit status for it.
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

// print writes lines. Write errors are ignored, because there is no other place
// to report them.
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
	root.LongHelp = "Exit status: 0 success, 1 failure, 2 invalid arguments, input or settings.\n" +
		"Flags can be given as environment variables, for example " + envPrefix + "_OUT for -out."
	return root
}

// command returns a command with a flag set whose flags can also be set by
// environment variables.
func (p *Program) command(name, arguments, help string) *ffcli.Command {
	fullName := strings.TrimSpace(programName + " " + name)
	flags := flag.NewFlagSet(fullName, flag.ContinueOnError)
	flags.SetOutput(&p.usage)
	lastWord := name
	if index := strings.LastIndexByte(name, ' '); index >= 0 {
		lastWord = name[index+1:]
	}
	return &ffcli.Command{
		Name:       lastWord,
		ShortUsage: strings.TrimSpace(fullName + " " + arguments),
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
	}
}

// group returns a command that has only subcommands.
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

// oneArgument returns the argument of a command that takes exactly one.
func oneArgument(command *ffcli.Command, args []string) (string, error) {
	if len(args) != 1 {
		text := fmt.Sprintf("want one argument after the flags, got %d", len(args))
		return "", &usageError{command: command.FlagSet.Name(), text: text}
	}
	return args[0], nil
}

func (p *Program) demo() *ffcli.Command {
	command := p.command("demo", "", "run a small fleet in this process and print a report")
	command.Exec = func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return &usageError{command: command.FlagSet.Name(), text: "takes no arguments"}
		}
		return p.Demo(ctx, p.Stdout)
	}
	return command
}
