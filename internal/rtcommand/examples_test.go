package rtcommand

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
)

const examplesDir = "../../examples"

// Guards against example files that the programs reject or that contradict each
// other.
func TestExamples(t *testing.T) {
	published, err := os.ReadFile(filepath.Join(examplesDir, "document.json"))
	if err != nil {
		t.Fatal(err)
	}
	var compiled, messages bytes.Buffer
	program := Program{Stdout: &compiled, Stderr: &messages}
	if code := program.Run(context.Background(), []string{"sheet", "compile", filepath.Join(examplesDir, "sheet.csv")}); code != ExitOK {
		t.Fatalf("exit status %d: %s", code, &messages)
	}
	if !bytes.Equal(compiled.Bytes(), published) {
		t.Errorf("document.json is not what sheet.csv compiles to:\n%s", &compiled)
	}
	document, findings := rtdocument.Decode(published)
	if all := findings.All(); len(all) != 0 {
		t.Fatalf("document.json: %v", all)
	}
	for i := range document.Zones {
		checkExampleSettings(t, &document, document.Zones[i].Name)
	}
}

func checkExampleSettings(t *testing.T, document *rtdocument.Document, zone rtid.Zone) {
	entry, findings := rtsettings.ReadEntry(filepath.Join(examplesDir, string(zone), "entry.toml"))
	if all := findings.All(); len(all) != 0 || entry.Zone != zone {
		t.Errorf("entry of zone %s: zone %s, %v", zone, entry.Zone, all)
	}
	kinds := map[string]rtdocument.Kind{rtsettings.KindEngine: rtdocument.KindDraft, rtsettings.KindService: rtdocument.KindOrder}
	for _, name := range []string{"agent-engine.toml", "agent-service.toml"} {
		agent, findings := rtsettings.ReadAgent(filepath.Join(examplesDir, string(zone), name))
		if all := findings.All(); len(all) != 0 || agent.Zone != zone {
			t.Errorf("%s of zone %s: zone %s, %v", name, zone, agent.Zone, all)
		}
		service := document.Service(agent.Service)
		if service == nil || service.Kind != kinds[agent.Kind] {
			t.Errorf("%s of zone %s: a target of kind %s cannot serve service %s", name, zone, agent.Kind, agent.Service)
		}
	}
}
