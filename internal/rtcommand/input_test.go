package rtcommand

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
)

// inputs holds the files of the test cases by name.
var inputs = map[string]string{
	"good.csv": "kind,name,zone,service,value\nservice,filings,,,order\norganisation,high-court,,filings,0.5\nzone,wdh-a,,,in\ncapacity,,wdh-a,filings,20\n",
	"out.csv":  "kind,name,zone,service,value\nservice,filings,,,order\norganisation,high-court,,filings,0.5\nzone,wdh-a,,,out\ncapacity,,wdh-a,filings,0\n",
	"bad.csv":  "kind,name,zone,service,value\nservice,filings,,,call\norganisation,high-court,,letters,2\nzone,wdh-a,,,on\ncapacity,,wdh-a,filings,-1\n",
	"old.json": `{"revision":6,"base":5,"organisations":[{"name":"high-court","services":["filings"],"share":0.5}],
"services":[{"name":"filings","kind":"order"}],"zones":[{"name":"wdh-a","state":"in","capacity":{"filings":20}}]}`,
	"bad.json":   `{"revision":"7","base":6,"organisations":[],"services":[],"shares":{}}`,
	"entry.toml": "vm = \"e1\"\nzone = \"wdh-a\"\npeers = \"10.0.0.1:7000\"\nplatform = \"10.0.0.9:80\"\ncallers = \"0.0.0.0:80\"\n",
	"agent.toml": "vm = \"a1\"\nzone = \"wdh-a\"\npeers = \"10.0.0.1:7000\"\nplatform = \"10.0.0.9:80\"\ntarget = \"t1\"\nkind = \"service\"\naddress = \"127.0.0.1:90\"\nservice = \"filings\"\nslots = 4\n",
	"bad.toml":   "vm = 7\ncolour = \"red\"\npeers = \"e1:7000\"\nlongest = \"11m\"\n",
}

// Guards against invalid input that gets an exit status other than 2, is not
// explained or leaves a document behind, and against missing output for valid
// input.
func TestInput(t *testing.T) {
	tests := []struct {
		args string
		code int
		want []string // substrings of the output
	}{
		{"-h", ExitOK, []string{"SUBCOMMANDS", "RHUBARBTALLY_OUT"}},
		{"sheet -h", ExitOK, []string{"compile"}},
		{"sheet check -h", ExitOK, []string{"rhubarbtally sheet check FILE"}},
		{"sheet compile -h", ExitOK, []string{"-after", "-out", "-revision"}},
		{"config -h", ExitOK, []string{"check"}},
		{"config check -h", ExitOK, []string{"-kind"}},
		{"status -h", ExitOK, []string{"ADDRESS..."}},
		{"dump -h", ExitOK, []string{"ADDRESS"}},
		{"version -h", ExitOK, []string{"rhubarbtally version"}},
		{"version", ExitOK, []string{"rhubarbtally ", "go1"}},
		{"", ExitInput, []string{"subcommand is missing"}},
		{"sheets", ExitInput, []string{`unknown subcommand "sheets"`}},
		{"demo", ExitInput, []string{`unknown subcommand "demo"`}},
		{"sheet check", ExitInput, []string{"want one argument"}},
		{"sheet check -x good.csv", ExitInput, []string{"not defined: -x"}},
		{"sheet compile -revision -1 good.csv", ExitInput, []string{`invalid value "-1"`}},
		{"config check -kind client entry.toml", ExitInput, []string{`kind "client" is not entry or agent`}},
		{"status", ExitInput, []string{"address is missing"}},
		{"status 10.0.0.1", ExitInput, []string{`"10.0.0.1" is not host:port`}},
		{"dump 10.0.0.1", ExitInput, []string{`"10.0.0.1" is not host:port`}},
		{"version now", ExitInput, []string{"takes no arguments"}},

		{"sheet check good.csv", ExitOK, []string{"good.csv: valid; organisations: 1, services: 1, availability zones: 1"}},
		{"sheet check bad.csv", ExitInput, []string{"bad.csv:2:5: value: value \"call\"", "\nbad.csv:3:4: service: service \"letters\"", "\nbad.csv:3:5: value: share 2", "\nbad.csv:4:5: value: state \"on\"", "\nbad.csv:5:5: value: capacity -1"}},
		{"sheet check absent.csv", ExitInput, []string{"absent.csv: cannot be read: no such file"}},
		{"sheet check .", ExitInput, []string{".: cannot be read"}},
		{"sheet compile -out new.json bad.csv", ExitInput, []string{"bad.csv:2:5"}},
		{"sheet compile -out old.json bad.csv", ExitInput, []string{"bad.csv:2:5"}},
		{"sheet compile -after bad.json -out new.json bad.csv", ExitInput, []string{"bad.csv:2:5", "bad.json:1:13: revision: is a string, want a number", "bad.json:1:59: shares: unknown field", "bad.json:1:1: zones: field is missing"}},
		{"sheet compile -after absent.json -out new.json good.csv", ExitInput, []string{"absent.json: cannot be read"}},
		{"sheet compile -after old.json -revision 6 -out new.json good.csv", ExitInput, []string{"good.csv: revision: revision 6 is not greater than base 6"}},
		{"sheet compile -out absent/new.json good.csv", ExitFailure, []string{"write document"}},
		{"sheet compile good.csv", ExitOK, []string{`"revision": 1`, "warning: made without -after"}},
		{"sheet compile -after old.json -revision 9 good.csv", ExitOK, []string{`"revision": 9`, "no changes"}},
		{"sheet compile -after old.json out.csv", ExitOK, []string{`"base": 6`, "revision 7, made from revision 6", "\navailability zone wdh-a: state from in to out\n", "warning: takes the last availability zone that is in out: wdh-a"}},

		{"config check entry.toml", ExitOK, []string{"valid settings of kind entry"}},
		{"config check agent.toml", ExitOK, []string{"valid settings of kind agent"}},
		{"config check -kind agent entry.toml", ExitInput, []string{"entry.toml:5: callers: unknown key", "checked as settings of kind agent"}},
		{"config check bad.toml", ExitInput, []string{"bad.toml:1: vm: is an integer", "\nbad.toml:2: colour: unknown key", "\nbad.toml:3: peers: address", "\nbad.toml:4: longest: longest time limit", "bad.toml: zone: required"}},
		{"config check absent.toml", ExitInput, []string{"absent.toml: cannot be read"}},
	}
	t.Chdir(t.TempDir())
	for name, text := range inputs {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			code, stdout, stderr := run(strings.Fields(test.args)...)
			if code != test.code {
				t.Errorf("exit status %d, want %d", code, test.code)
			}
			if code != ExitOK && stdout != "" {
				t.Errorf("standard output of a failed command is not empty: %s", stdout)
			}
			for _, want := range test.want {
				if !strings.Contains(stdout+stderr, want) {
					t.Errorf("got %s%s, want %q", stdout, stderr, want)
				}
			}
		})
	}
	if _, err := os.Stat("new.json"); err == nil {
		t.Error("new.json was written by a command that reported errors")
	}
	if data, err := os.ReadFile("old.json"); err != nil || string(data) != inputs["old.json"] {
		t.Errorf("old.json was changed by a command that reported errors, or cannot be read: %v", err)
	}
	checkReplacement(t)
}

// checkReplacement compiles to an existing file that an environment variable
// names.
func checkReplacement(t *testing.T) {
	t.Setenv("RHUBARBTALLY_OUT", "old.json")
	if code, stdout, stderr := run("sheet", "compile", "-after", "old.json", "out.csv"); code != ExitOK || stdout != "" {
		t.Errorf("exit status %d: %s%s", code, stdout, stderr)
	}
	data, err := os.ReadFile("old.json")
	if err != nil || !strings.Contains(string(data), `"revision": 7`) {
		t.Errorf("old.json was not replaced by revision 7: error %v, content\n%s", err, data)
	}
	entries, err := os.ReadDir(".")
	if err != nil || len(entries) != len(inputs) {
		t.Errorf("want only the input files in the folder: got %v, %v", entries, err)
	}
}

func run(args ...string) (code int, stdout, stderr string) {
	var out, messages bytes.Buffer
	program := Program{Stdout: &out, Stderr: &messages}
	code = program.Run(context.Background(), args)
	return code, out.String(), messages.String()
}
