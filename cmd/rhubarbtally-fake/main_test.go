package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtgateway"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/platform"
)

// start runs the program until the test ends, and returns its address.
func start(t *testing.T, args ...string) rtid.Address {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	done := make(chan int, 1)
	go func() { done <- run(ctx, args, writer, t.Output()) }()
	t.Cleanup(func() {
		cancel()
		if status := <-done; status != exitDone {
			t.Errorf("exit status %d, want 0", status)
		}
	})
	line, err := bufio.NewReader(reader).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return rtid.Address(strings.TrimSpace(line))
}

func writeFile(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against changes of the files that the platform does not publish.
func TestPlatform(t *testing.T) {
	document := filepath.Join(t.TempDir(), "document")
	vms := filepath.Join(t.TempDir(), "vms")
	writeFile(t, document, "one")
	writeFile(t, vms, `[{"vm":"vm-1"}]`)
	address := start(t, "-kind", "platform", "-document", document, "-vms", vms, "-version", "7")
	client := &rtplatform.Client{HTTP: http.DefaultClient, Address: address}
	if version, body, err := client.Watch(t.Context(), 0); version != 7 || string(body) != "one" || err != nil {
		t.Errorf("got %d, %q, %v, want version 7", version, body, err)
	}
	writeFile(t, document, "two")
	if version, body, err := client.Watch(t.Context(), 7); version != 8 || string(body) != "two" || err != nil {
		t.Errorf("got %d, %q, %v, want version 8", version, body, err)
	}
	writeFile(t, vms, `[]`)
	if version, members, err := client.VMs(t.Context(), 1); version != 2 || len(members) != 0 || err != nil {
		t.Errorf("got %d, %v, %v, want an empty list", version, members, err)
	}
}

// Guards against an engine process that serves requests but never runs a pass,
// because Engine.Run is not started beside its handler.
func TestEngine(t *testing.T) {
	client := rttarget.NewEngine(http.DefaultClient, start(t, "-kind", "engine"))
	stream, err := client.Generate(t.Context(), rttarget.GenerateRequest{ID: "a", Prompt: []byte("p"), Output: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	for chunk := (rttarget.Chunk{}); chunk.End != rttarget.EndDone; {
		if chunk, err = stream.Next(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a stand-in of the users' store that does not write the items of its
// file, or that comes back from a copy without another era.
func TestStore(t *testing.T) {
	items := filepath.Join(t.TempDir(), "items")
	writeFile(t, items, `{"op/config":{"version":1}}`)
	address := start(t, "-kind", "store", "-items", items)
	store := platform.NewStore(&rtnet.TCP{}, address)
	watch := func(after rtid.StoreRevision) rtid.StoreRevision {
		changes, revision, err := store.Watch(t.Context(), after, 5*time.Second)
		if err != nil || len(changes) != 1 {
			t.Fatalf("changes %+v, error %v, want one change", changes, err)
		}
		return revision
	}
	first := watch(rtid.StoreRevision{})
	writeFile(t, items, `{"op/config":{"version":2}}`)
	second := watch(first)
	response, err := http.Post("http://"+string(address)+"/restore?age=0s", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("restore: status %d, error %v", response.StatusCode, err)
	}
	if _, _, revision, err := store.Page(t.Context(), ""); err != nil || revision.Era != second.Era+1 {
		t.Errorf("after the return at %v, error %v, want era %d", revision, err, second.Era+1)
	}
}

// Guards against a stand-in of a target that does not announce what its flags say.
func TestTarget(t *testing.T) {
	get := func(address rtid.Address) rtgateway.ResponseInfo {
		response, err := http.Get("http://" + string(address) + "/safe/x")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		return platform.Headers{}.ParseResponse(response.StatusCode, response.Header)
	}
	if info := get(start(t, "-kind", "target", "-id", "i-1", "-limit", "1.5", "-leaving")); info.RateLimit != 1.5 || !info.Stamped || !info.Leaving {
		t.Errorf("response %+v, want a limit of 1.5, and that the target is leaving", info)
	}
	if info := get(start(t, "-kind", "target", "-retryafter", "2.5")); !info.NotRun || info.Backoff != 2500*time.Millisecond || info.Leaving {
		t.Errorf("response %+v, want a refusal that asks for a pause of 2.5 s", info)
	}
}

// Guards against exit status 0 after a usage error.
func TestUsage(t *testing.T) {
	if got := run(t.Context(), []string{"-kind", "other"}, io.Discard, t.Output()); got != exitFailed {
		t.Errorf("unknown kind: exit status %d, want %d", got, exitFailed)
	}
	if got := run(t.Context(), []string{"-other"}, io.Discard, t.Output()); got != exitUsage {
		t.Errorf("unknown flag: exit status %d, want %d", got, exitUsage)
	}
}
