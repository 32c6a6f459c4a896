package rtcommand

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
)

const (
	kindEntry = "entry"
	kindAgent = "agent"
)

func (p *Program) configCheck() *ffcli.Command {
	command := p.command("config check", "[-kind entry|agent] FILE", "check settings and report all findings")
	kind := command.FlagSet.String("kind", "", "`KIND` of settings, entry or agent (default: the one with fewer findings)")
	command.Exec = func(_ context.Context, args []string) error {
		path, err := oneArgument(command, args)
		if err != nil {
			return err
		}
		switch *kind {
		case "", kindEntry, kindAgent:
			return p.checkSettings(path, *kind)
		default:
			return &usageError{command: command.FlagSet.Name(), text: fmt.Sprintf("kind %q is not entry or agent", *kind)}
		}
	}
	return command
}

func (p *Program) checkSettings(path, kind string) error {
	_, entry := rtsettings.ReadEntry(path)
	_, agent := rtsettings.ReadAgent(path)
	if kind == "" {
		kind = kindEntry
		if len(agent.All()) < len(entry.All()) {
			kind = kindAgent
		}
	}
	findings := map[string]rtfinding.List{kindEntry: entry, kindAgent: agent}[kind]
	if err := findings.Err(); err != nil {
		return fmt.Errorf("%w\nchecked as settings of kind %s", err, kind)
	}
	p.printFindings(findings)
	p.print(p.Stdout, fmt.Sprintf("%s: valid settings of kind %s", path, kind))
	return nil
}
