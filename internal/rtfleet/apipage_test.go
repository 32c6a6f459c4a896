package rtfleet

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
)

// curlExamples returns the indented curl commands of a page, in order.
func curlExamples(page string) []string {
	var commands []string
	lines := strings.Split(page, "\n")
	for i := 0; i < len(lines); i++ {
		if !strings.HasPrefix(lines[i], "    curl ") {
			continue
		}
		command := lines[i]
		for strings.HasSuffix(command, "\\") {
			i++
			command += "\n" + lines[i]
		}
		commands = append(commands, strings.TrimSpace(command))
	}
	return commands
}

// Guards against examples in docs/api.md that do not work. They run in the order
// of the page; $ID is the ID of the last response that had one.
func TestExamplesOfPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := curlExamples(string(page))
	if len(commands) < 9 {
		t.Fatalf("%d curl examples, want at least one for each of the 9 routes", len(commands))
	}
	entry := startExampleFleet(t)
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "filing.xml"), []byte("<filing/>"), 0o600); err != nil {
		t.Fatal(err)
	}
	id := ""
	for _, command := range commands {
		id = runExample(t, directory, entry, id, command)
	}
}

// runExample repeats one command until it succeeds, because the fleet is still
// starting. It returns the ID for the next command.
func runExample(t *testing.T, directory string, entry rtid.Address, id, command string) string {
	t.Helper()
	script := strings.Replace(command, "curl ", "curl --fail --silent --show-error --max-time 10 ", 1)
	for deadline := time.Now().Add(20 * time.Second); ; {
		shell := exec.Command("sh", "-c", script)
		shell.Dir = directory
		shell.Env = append(os.Environ(), "ENTRY=http://"+string(entry), "ID="+id)
		out, err := shell.CombinedOutput()
		if err == nil {
			return idIn(out, id)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v\n%s", command, err, out)
		}
		<-time.After(100 * time.Millisecond)
	}
}

// idIn returns the ID in the first line of a response, or else last.
func idIn(out []byte, last string) string {
	var response struct {
		ID string `json:"id"`
	}
	first, _, _ := strings.Cut(string(out), "\n")
	if json.Unmarshal([]byte(first), &response) == nil && response.ID != "" {
		return response.ID
	}
	return last
}

// startExampleFleet starts a fleet over loopback TCP with the services of
// docs/api.md, and returns the caller address of its entry.
func startExampleFleet(t testing.TB) rtid.Address {
	t.Helper()
	document := testDocument()
	document.Services = []rtdocument.Service{
		{Name: "filings", Kind: rtdocument.KindOrder},
		{Name: "summaries", Kind: rtdocument.KindDraft, Model: "court-1"},
	}
	for i := range document.Organisations {
		document.Organisations[i].Services = []rtid.Service{"filings", "summaries"}
	}
	document.Zones = document.Zones[:1]
	document.Zones[0].Capacity = map[rtid.Service]float64{"summaries": 100, "filings": 10}
	networks := &Loopback{}
	fleet, err := New(t.Context(), Options{
		Networks: networks, Document: document, Entries: 1, Engines: 1, Services: 1,
		Engine:       rtfake.EngineConfig{Warm: true},
		Agent:        rtsettings.Agent{KVMemory: 400_000, Slots: 4, ColdSlots: 2, PrefillRate: 400_000},
		DrainTimeout: time.Second,
		MaxTimeLimit: time.Minute,
	})
	t.Cleanup(func() {
		// The context of the test has ended and has stopped the fleet, so that
		// Close may return its error.
		if err := fleet.Close(); err != nil {
			t.Logf("close fleet: %v", err)
		}
		if err := networks.Close(); err != nil {
			t.Error(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return fleet.Entries[0].CallerAddress
}
