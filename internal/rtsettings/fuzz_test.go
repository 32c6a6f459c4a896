package rtsettings

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzRead guards against settings files that crash the parser, and against
// files that pass validation without a required setting.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"vm = \"vm1\"\nzone = \"a\"\npeers = \"10.0.0.1:7000\"\ncallers = \"10.0.0.1:80\"\nplatform = \"10.0.0.9:80\"\n",
		"vm = \"vm1\"\nzone = \"a\"\npeers = \"10.0.0.1:7000\"\nplatform = \"10.0.0.9:80\"\ntarget = \"t\"\nservice = \"s\"\n" +
			"kind = \"engine\"\naddress = \"127.0.0.1:90\"\nmemory = 400000\nslots = 8\nrate = 1e5\n",
		"drain = \"10m\"\ndrain = \"1s\"\n", "heartbeat = -1\n", "[vm]\nx = 1\n", "seeds = [1, \"a\", \"10.0.0.1:1\"]\n",
		"vm = \"\\u0000\"", "memory = 99999999999999999999", "= =", "\xff", "",
	} {
		f.Add([]byte(text))
	}
	path := filepath.Join(f.TempDir(), "settings.toml")
	f.Fuzz(func(t *testing.T, text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		entry, findings := ReadEntry(path)
		if findings.Err() == nil && (entry.VM == "" || entry.Zone == "" || entry.PeerAddress == "" || entry.CallerAddress == "" || entry.MaxTimeLimit <= 0) {
			t.Errorf("entry settings without a required value pass: %+v", entry)
		}
		agent, findings := ReadAgent(path)
		if findings.Err() == nil && (agent.VM == "" || agent.Target == "" || agent.TargetAddress == "" || agent.Slots < 1 || agent.ColdSlots < 1) {
			t.Errorf("agent settings without a required value pass: %+v", agent)
		}
	})
}
