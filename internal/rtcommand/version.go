package rtcommand

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (p *Program) version() *ffcli.Command {
	command := p.command("version", "", "print the version of this program")
	command.Exec = func(_ context.Context, args []string) error {
		if len(args) != 0 {
			return &usageError{command: command.FlagSet.Name(), text: "takes no arguments"}
		}
		p.print(p.Stdout, fmt.Sprintf("%s %s %s", programName, buildVersion(), runtime.Version()))
		return nil
	}
	return command
}

// buildVersion returns the version of the module and the commit, if the build
// recorded them.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}
