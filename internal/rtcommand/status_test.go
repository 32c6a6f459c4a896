package rtcommand

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// startEndpoint starts an operator endpoint that responds with body, or with
// status 503 if body is empty, and returns its address.
func startEndpoint(t *testing.T, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" && r.URL.Path != "/dump" || body == "" {
			http.Error(w, "starting", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against exit status 0 although processes have different versions of the
// document in force or do not answer.
func TestStatus(t *testing.T) {
	entry := startEndpoint(t, `{"vm":"e1","role":"entry","zone":"wdh-a","version":7,"revision":3,"ready":true,"state":"in","conflicts":2,"new":1}`)
	same := startEndpoint(t, `{"vm":"a1","role":"agent","zone":"wdh-b","version":7,"revision":3,"leaving":true,"state":"out"}`)
	older := startEndpoint(t, `{"vm":"a2","role":"agent","zone":"wdh-b","version":6}`)
	starting := startEndpoint(t, "")
	other := startEndpoint(t, "<html>")
	tests := []struct {
		name      string
		addresses []string
		code      int
		stderr    []string
	}{
		{"same version", []string{entry, same}, ExitOK, nil},
		{"versions differ", []string{entry, same, older}, ExitFailure, []string{"versions differ: 6 at " + older + "; 7 at " + entry + ", " + same}},
		{"no answer", []string{entry, starting}, ExitFailure, []string{starting + " does not answer: GET /status: 503"}},
		{"not a status", []string{other, older, entry}, ExitFailure, []string{other + " does not answer: response is not a status", "versions differ"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := run(append([]string{"status"}, test.addresses...)...)
			if code != test.code {
				t.Errorf("exit status %d, want %d", code, test.code)
			}
			for _, want := range test.stderr {
				if !strings.Contains(stderr, want) {
					t.Errorf("got %s, want %s", stderr, want)
				}
			}
			lines := strings.Split(strings.TrimSpace(stdout), "\n")
			if len(lines) != len(test.addresses)+1 {
				t.Errorf("got %d lines, want one for each address and a header:\n%s", len(lines), stdout)
			}
		})
	}
	_, stdout, _ := run("status", entry, same)
	rows := strings.Split(stdout, "\n")
	for i, want := range []string{"", entry + " e1 entry wdh-a in 7 3 yes no 2", same + " a1 agent wdh-b out 7 3 no yes 0"} {
		if got := strings.Join(strings.Fields(rows[i]), " "); want != "" && got != want {
			t.Errorf("row %d: got %q, want %q", i, got, want)
		}
	}
}

// Guards against a dump that is not printed, and against exit status 0 if the
// process does not provide one.
func TestDump(t *testing.T) {
	for _, test := range []struct {
		body string
		code int
	}{{`{"queue":{}}`, ExitOK}, {"", ExitFailure}} {
		code, stdout, stderr := run("dump", startEndpoint(t, test.body))
		if code != test.code || stdout != test.body {
			t.Errorf("got exit status %d, %q, %s", code, stdout, stderr)
		}
	}
}

// Guards against exit status 0 after a demo that failed.
func TestDemo(t *testing.T) {
	for _, test := range []struct {
		err  error
		code int
	}{{nil, ExitOK}, {errors.New("demo failed"), ExitFailure}} {
		var stdout, stderr bytes.Buffer
		program := Program{Stdout: &stdout, Stderr: &stderr, Demo: func(_ context.Context, w io.Writer) error {
			_, _ = io.WriteString(w, "report")
			return test.err
		}}
		if code := program.Run(context.Background(), []string{"demo"}); code != test.code || stdout.String() != "report" {
			t.Errorf("got exit status %d, %q, %s", code, &stdout, &stderr)
		}
	}
}
