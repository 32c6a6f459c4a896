package rtsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const commonText = `vm = "e1"
zone = "wdh-a"
peers = "10.0.0.1:7000"
platform = "10.0.0.9:80"
`

const entryText = commonText + `callers = "0.0.0.0:8080"
`

const agentText = commonText + `target = "t1"
kind = "engine"
address = "127.0.0.1:9000"
service = "summaries"
memory = 400000
slots = 8
rate = 5000
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against top-level keys of the embedded Common that are not decoded, and
// against missing defaults.
func TestReadDefaults(t *testing.T) {
	entry, findings := ReadEntry(writeSettings(t, entryText+"seeds = [\"10.0.0.2:7000\"]\ndrain = \"20m\"\n"))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	if entry.VM != "e1" || entry.CallerAddress != "0.0.0.0:8080" || len(entry.Seeds) != 1 || entry.DrainTimeout != Duration(20*time.Minute) {
		t.Errorf("got %+v", entry)
	}
	if entry.OperatorAddress != DefaultOperatorAddress || entry.LogLevel != DefaultLogLevel || entry.MaxTimeLimit != DefaultMaxTimeLimit || entry.HeartbeatInterval != DefaultHeartbeatInterval {
		t.Errorf("defaults: got %+v", entry)
	}
	agent, findings := ReadAgent(writeSettings(t, agentText))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	if agent.Zone != "wdh-a" || agent.KVMemory != 400000 || agent.PrefillRate != 5000 || agent.ColdSlots != DefaultColdSlots || agent.DrainTimeout != DefaultDrainTimeout {
		t.Errorf("got %+v", agent)
	}
}

// Guards against faults that are not reported, findings that suppress others of
// the same file, and findings with a wrong line number.
func TestFindings(t *testing.T) {
	tests := []struct {
		name  string
		agent bool
		text  string
		want  []string // substrings of the findings, in order; no others are allowed
	}{
		{"empty entry", false, "", []string{"vm: required", "zone: required", "peers: required", "platform: required", "callers: required"}},
		{"syntax", false, "vm = \"a\"\nzone = \n", []string{"s.toml:2: zone: not valid TOML"}},
		{"key twice", false, "vm = \"a\"\nvm = \"b\"\n", []string{"s.toml:2: vm: not valid TOML"}},
		{"wrong types", false, strings.Replace(entryText, `"e1"`, "1", 1) + "drain = 10\nseeds = [1]\nlevel = true\nheartbeat = \"1x\"\n",
			[]string{"s.toml:1: vm: is an integer, want a string", "s.toml:6: drain: is an integer, want a duration", "s.toml:7: seeds: is a list, want a list of strings",
				"s.toml:8: level: is a boolean", "s.toml:9: heartbeat: is a string, want a duration"}},
		{"unknown keys", false, entryText + "slots = 1\nVM = \"b\"\n[limits]\nvm = 1\n", []string{"s.toml:6: slots: unknown", "s.toml:7: VM: unknown", "s.toml:8: limits: unknown"}},
		{"key in a multi-line string", false, "level = \"\"\"\nvm = 1\n\"\"\"\n" + strings.Replace(entryText, "e1", "e 1", 1), []string{"s.toml:1: level: level", "s.toml:4: vm: name"}},
		{"addresses", false, commonText + "callers = \"localhost:80\"\nseeds = [\"10.0.0.1:70\", \"10.0.0.1\"]\noperators = \"10.0.0.1:7000\"\n",
			[]string{"s.toml:5: callers: address", "s.toml:6: seeds[1]: address", "s.toml:7: operators: address \"10.0.0.1:7000\" is the same as that of peers"}},
		{"not reachable", false, strings.Replace(entryText, "10.0.0.1:7000", "0.0.0.0:0", 1), []string{"s.toml:3: peers", "s.toml:3: peers"}},
		{"longest over drain", false, entryText + "longest = \"11m\"\n", []string{"s.toml:6: longest: longest time limit 11m0s is over the drain limit 10m0s"}},
		{"drain below the default longest", false, entryText + "drain = \"1m\"\n", []string{"s.toml:6: drain: longest"}},
		{"durations", false, entryText + "heartbeat = \"0s\"\nlongest = \"-1s\"\n", []string{"heartbeat: 0s is not over 0", "longest: -1s is not over 0"}},
		{"empty agent", true, commonText, []string{"target: required", "service: required", "address: required", "slots: required", "kind: required"}},
		{"engine without memory and rate", true, strings.NewReplacer("memory = 400000\n", "", "rate = 5000\n", "").Replace(agentText), []string{"memory: required", "rate: required"}},
		{"memory of a service", true, strings.Replace(agentText, `"engine"`, `"service"`, 1), []string{"s.toml:9: memory: is for", "s.toml:11: rate: is for"}},
		{"kind", true, strings.Replace(agentText, `"engine"`, `"gpu"`, 1), []string{"s.toml:6: kind: kind \"gpu\""}},
		{"numbers", true, strings.NewReplacer("400000", "0", "5000", "nan", "slots = 8", "slots = 0").Replace(agentText), []string{"memory: 0", "slots: 0", "rate: NaN"}},
		{"cold over slots", true, agentText + "cold = 9\n", []string{"s.toml:12: cold: 9 is over slots"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := writeSettings(t, test.text)
			_, findings := ReadEntry(path)
			if test.agent {
				_, findings = ReadAgent(path)
			}
			all := findings.All()
			if len(all) != len(test.want) {
				t.Fatalf("got %d findings, want %d:\n%v", len(all), len(test.want), findings.Err())
			}
			for i, want := range test.want {
				if !strings.Contains(all[i].String(), want) {
					t.Errorf("finding %d: got %s, want %s", i, all[i], want)
				}
			}
		})
	}
	_, findings := ReadEntry("absent.toml")
	if err := findings.Err(); err == nil || err.Error() != "absent.toml: cannot be read: no such file or directory" {
		t.Errorf("absent file: got %v", err)
	}
}
