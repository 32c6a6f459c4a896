package rtcommand

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sourcegraph/conc/iter"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
)

// Limits of the calls to operator endpoints.
const (
	defaultTimeout               = 5 * time.Second
	maxCalls                     = 32 // concurrent calls; limits open connections when the whole fleet is queried
	maxStatusSize     rtid.Bytes = 1 << 20
	maxErrorBodySize  rtid.Bytes = 1 << 10
	statusColumnCount            = 10
)

// Status is the response to GET /status of an entry or agent.
type Status struct {
	VM        rtid.VM              `json:"vm"`
	Role      string               `json:"role"` // entry or agent
	Zone      rtid.Zone            `json:"zone"`
	Version   rtid.Version         `json:"version"`
	Revision  rtid.Revision        `json:"revision"`
	Ready     bool                 `json:"ready"`
	Draining  bool                 `json:"leaving"`
	State     rtdocument.ZoneState `json:"state"`     // of the availability zone, in the configuration in force
	Conflicts uint64               `json:"conflicts"` // accepted documents whose base was not the revision in force
}

// statusResult is the status of one process, or the error of the call.
type statusResult struct {
	address string
	status  Status
	err     error
}

func (p *Program) status() *ffcli.Command {
	command := p.command("status", "[-timeout DURATION] ADDRESS...", "show the state of entries and agents")
	command.LongHelp = "ADDRESS is the operator address of a process. The exit status is 1 if a process\n" +
		"does not answer or if the processes have different versions of the document in force."
	timeout := command.FlagSet.Duration("timeout", defaultTimeout, "limit of each call")
	command.Exec = func(ctx context.Context, args []string) error {
		if len(args) == 0 {
			return &usageError{command: command.FlagSet.Name(), text: "address is missing"}
		}
		if err := checkAddresses(command, args); err != nil {
			return err
		}
		results := readStatuses(ctx, args, *timeout)
		if err := p.printStatuses(results); err != nil {
			return err
		}
		return errors.Join(checkResponses(results), checkVersions(results))
	}
	return command
}

func checkAddresses(command *ffcli.Command, addresses []string) error {
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &usageError{command: command.FlagSet.Name(), text: fmt.Sprintf("address %q is not host:port", address)}
		}
	}
	return nil
}

// readStatuses calls all processes, up to maxCalls concurrently. The results are
// in the order of the addresses.
func readStatuses(ctx context.Context, addresses []string, timeout time.Duration) []statusResult {
	client := rtnet.Client(&rtnet.TCP{})
	defer client.CloseIdleConnections()
	mapper := iter.Mapper[string, statusResult]{MaxGoroutines: maxCalls}
	return mapper.Map(addresses, func(address *string) statusResult {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		status, err := readStatus(ctx, client, *address)
		return statusResult{address: *address, status: status, err: err}
	})
}

func readStatus(ctx context.Context, client *http.Client, address string) (Status, error) {
	var status Status
	body, err := get(ctx, client, address, "/status")
	if err != nil {
		return status, err
	}
	// The body has been read or is not needed, so an error in closing it does not
	// matter.
	defer func() { _ = body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(body, int64(maxStatusSize)))
	if err := decoder.Decode(&status); err != nil {
		return status, fmt.Errorf("response is not a status: %w", err)
	}
	return status, nil
}

// get returns the body of a response with status 200. The caller closes it.
func get(ctx context.Context, client *http.Client, address, path string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, int64(maxErrorBodySize)))
	return nil, fmt.Errorf("GET %s: %s: %s", path, response.Status, strings.TrimSpace(string(text)))
}

func (p *Program) printStatuses(results []statusResult) error {
	table := tabwriter.NewWriter(p.Stdout, 0, 0, 2, ' ', 0)
	header := [statusColumnCount]string{"ADDRESS", "VM", "ROLE", "ZONE", "STATE", "VERSION", "REVISION", "READY", "LEAVING", "CONFLICTS"}
	rows := [][statusColumnCount]string{header}
	for _, result := range results {
		rows = append(rows, tableRow(result))
	}
	for _, row := range rows {
		// The tabwriter reports write errors in Flush.
		_, _ = fmt.Fprintln(table, strings.Join(row[:], "\t"))
	}
	return table.Flush()
}

func tableRow(result statusResult) [statusColumnCount]string {
	if result.err != nil {
		return [statusColumnCount]string{result.address, "-", "-", "-", "-", "-", "-", "-", "-", "-"}
	}
	s := result.status
	// A process without a configuration reports no state of its zone.
	state := cmp.Or(string(s.State), "-")
	return [statusColumnCount]string{result.address, string(s.VM), s.Role, string(s.Zone), state,
		fmt.Sprint(s.Version), fmt.Sprint(s.Revision), yesNo(s.Ready), yesNo(s.Draining), fmt.Sprint(s.Conflicts)}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// checkResponses returns an error for each process that did not answer.
func checkResponses(results []statusResult) error {
	var errs []error
	for _, result := range results {
		if result.err != nil {
			errs = append(errs, fmt.Errorf("%s does not answer: %w", result.address, result.err))
		}
	}
	return errors.Join(errs...)
}

// checkVersions returns an error that lists the versions in force with their
// processes, or nil if there is at most one version.
func checkVersions(results []statusResult) error {
	addresses := make(map[rtid.Version][]string)
	var versions []rtid.Version
	for _, result := range results {
		if result.err != nil {
			continue
		}
		version := result.status.Version
		if addresses[version] == nil {
			versions = append(versions, version)
		}
		addresses[version] = append(addresses[version], result.address)
	}
	if len(versions) < 2 {
		return nil
	}
	slices.Sort(versions)
	var parts []string
	for _, version := range versions {
		parts = append(parts, fmt.Sprintf("%d at %s", version, strings.Join(addresses[version], ", ")))
	}
	return fmt.Errorf("versions differ: %s", strings.Join(parts, "; "))
}

func (p *Program) dump() *ffcli.Command {
	command := p.command("dump", "[-timeout DURATION] ADDRESS", "print the state of an entry or agent as JSON")
	timeout := command.FlagSet.Duration("timeout", defaultTimeout, "limit of the call")
	command.Exec = func(ctx context.Context, args []string) error {
		address, err := oneArgument(command, args)
		if err != nil {
			return err
		}
		if err := checkAddresses(command, args); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		return p.copyDump(ctx, address)
	}
	return command
}

func (p *Program) copyDump(ctx context.Context, address string) error {
	client := rtnet.Client(&rtnet.TCP{})
	defer client.CloseIdleConnections()
	body, err := get(ctx, client, address, "/dump")
	if err != nil {
		return fmt.Errorf("%s does not answer: %w", address, err)
	}
	defer func() { _ = body.Close() }()
	if _, err := io.Copy(p.Stdout, body); err != nil {
		return fmt.Errorf("dump of %s is incomplete: %w", address, err)
	}
	return nil
}
