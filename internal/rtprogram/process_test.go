package rtprogram

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// waitTimeout limits each wait for a condition of a process.
const waitTimeout = 20 * time.Second

// portsPerScript is the number of addresses that a script gets as $addr1 and so
// on.
const portsPerScript = 24

// TestProcesses guards against failures that occur only with the real programs in
// separate processes: at start, after SIGKILL and SIGSTOP, during a graceful
// shutdown and with invalid settings.
func TestProcesses(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Values[stateKey{}] = &scriptState{
				daemons: make(map[string]*exec.Cmd),
				drafts:  make(map[string]*draftTask),
				orders:  make(map[string]string),
			}
			return setAddresses(env)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"daemon":  startDaemon,
			"signal":  signalDaemon,
			"exited":  awaitExit,
			"ready":   awaitReady,
			"await":   awaitCommand,
			"draft":   startDraft,
			"started": awaitText,
			"drafted": awaitDraft,
			"order":   createOrder,
			"put":     putOrder,
			"pipe":    createPipe,
			"pour":    writeSettingsToPipe,
			"hangups": sendHangups,
		},
	})
}

type stateKey struct{}

// scriptState is the state of one script.
type scriptState struct {
	daemons map[string]*exec.Cmd
	drafts  map[string]*draftTask
	orders  map[string]string // order IDs by name
}

type draftTask struct {
	task      *rttask.Task
	firstText chan struct{} // closed when the first text has arrived
	latest    rtfleet.Draft // as received so far
}

func state(ts *testscript.TestScript) *scriptState {
	return ts.Value(stateKey{}).(*scriptState)
}

// basePort is the port from which the port ranges of the scripts are counted.
// Each script has a range of portsPerScript ports of its own above it.
const basePort = 7000

var scripts atomic.Int32

// setAddresses sets loopback addresses for the script that no other process uses.
// The IP address is derived from the process ID, because a port that is free now
// can be taken before a daemon listens on it.
func setAddresses(env *testscript.Env) error {
	host := func(network int) string {
		return fmt.Sprintf("127.%d.%d.%d", network+os.Getpid()/250/250%100, 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	}
	scriptPort := basePort + portsPerScript*int(scripts.Add(1))
	// The settings of a gateway contain fixed ports, so it has an IP address of
	// its own.
	env.Setenv("gateway", host(101))
	for i := range portsPerScript {
		env.Setenv(fmt.Sprint("addr", i+1), fmt.Sprintf("%s:%d", host(1), scriptPort+i))
	}
	return nil
}

// startDaemon runs "daemon NAME PROGRAM ARGS...": starts a program that is killed
// at the end of the script, with standard output and standard error in NAME.log.
func startDaemon(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	path, err := exec.LookPath(filepath.Join(strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator))[0], args[1]))
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	command := exec.Command(path, args[2:]...)
	command.Dir = ts.MkAbs(".")
	command.Stdout, command.Stderr = log, log
	ts.Check(command.Start())
	state(ts).daemons[name] = command
	ts.Defer(func() {
		// SIGKILL also ends a process that SIGSTOP has stopped. The error is
		// ignored, because the process may have ended already.
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil {
			ts.Logf("%s.log:\n%s", name, data)
		}
	})
}

// signalDaemon runs "signal NAME KILL|STOP|CONT|TERM|HUP": sends a signal.
func signalDaemon(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP,
	}
	ts.Check(state(ts).daemons[args[0]].Process.Signal(signals[args[1]]))
}

// createPipe runs "pipe FILE": creates a named pipe. A process that opens it to
// read blocks until a writer opens it.
func createPipe(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(syscall.Mkfifo(ts.MkAbs(args[0]), 0o600))
}

// writeSettingsToPipe runs "pour PIPE FILE NAME HUP": waits until the daemon
// opens the pipe to read its settings, sends it SIGHUP and then writes FILE, with
// variables expanded, to the pipe. A regular file replaces the pipe for later
// reads.
func writeSettingsToPipe(ts *testscript.TestScript, _ bool, args []string) {
	pipe, err := os.OpenFile(ts.MkAbs(args[0]), os.O_WRONLY, 0)
	ts.Check(err)
	signalDaemon(ts, false, args[2:])
	settings := []byte(os.Expand(ts.ReadFile(args[1]), ts.Getenv))
	ts.Check(os.Remove(ts.MkAbs(args[0])))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), settings, 0o600))
	_, err = pipe.Write(settings)
	ts.Check(err)
	ts.Check(pipe.Close())
}

// sendHangups runs "hangups NAME": sends SIGHUP repeatedly until the daemon has
// ended.
func sendHangups(ts *testscript.TestScript, _ bool, args []string) {
	command := state(ts).daemons[args[0]]
	awaitEnd(ts, args[0], command, func() {
		// The daemon may end between the check and the signal.
		_ = command.Process.Signal(syscall.SIGHUP)
	})
}

// awaitEnd waits for the end of a daemon and calls poll repeatedly until then.
func awaitEnd(ts *testscript.TestScript, name string, command *exec.Cmd, poll func()) {
	ended := rttask.Start(context.Background(), name, func(context.Context) error { return command.Wait() })
	timeout := time.After(waitTimeout)
	for {
		select {
		case err := <-ended.Done():
			ts.Logf("%s ended: %v", name, err) // "exited" checks the status
			return
		case <-timeout:
			ts.Fatalf("%s has not ended after %v", name, waitTimeout)
		case <-time.After(200 * time.Microsecond):
			poll()
		}
	}
}

// awaitExit runs "exited NAME STATUS": waits for the end of a daemon and checks
// its exit status.
func awaitExit(ts *testscript.TestScript, _ bool, args []string) {
	command := state(ts).daemons[args[0]]
	if command.ProcessState == nil {
		awaitEnd(ts, args[0], command, func() {})
	}
	if got := strconv.Itoa(command.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s: exit status %s, want %s", args[0], got, args[1])
	}
}

// awaitCommand runs "await PROGRAM ARGS...": runs a program repeatedly until it
// succeeds.
func awaitCommand(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := ts.Exec(args[0], args[1:]...)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v still fails with %v after %v", args, err, waitTimeout)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// awaitReady runs "ready ENTRY": waits until the entry completes a draft and
// issues an order ID.
func awaitReady(ts *testscript.TestScript, _ bool, args []string) {
	caller := newCaller(args[0])
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		draft, err := caller.Draft(ctx, rtapi.DraftRequest{Service: "drafts", Prompt: "ready", Output: 1, Limit: "5s"}, nil)
		if err == nil && draft.Outcome == rtapi.Done {
			var created rtapi.OrderID
			if err = caller.Call(ctx, http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created); err == nil && created.ID != "" {
				return
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			ts.Fatalf("%s does not serve after %v: last draft %+v, error %v", args[0], waitTimeout, draft, err)
		}
	}
}

func newCaller(address string) rtfleet.Caller {
	return rtfleet.Caller{Client: http.DefaultClient, Address: rtid.Address(address), Organisation: "high-court"}
}

// startDraft runs "draft NAME ENTRY OUTPUT": sends a draft in the background.
func startDraft(ts *testscript.TestScript, _ bool, args []string) {
	output, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	draft := &draftTask{firstText: make(chan struct{})}
	state(ts).drafts[args[0]] = draft
	draft.task = rttask.Start(context.Background(), args[0], func(ctx context.Context) error {
		request := rtapi.DraftRequest{Service: "drafts", Prompt: args[0], Output: output, Limit: "10s"}
		received, err := newCaller(args[1]).Draft(ctx, request, func(received rtfleet.Draft) {
			if draft.latest.FirstText == 0 && received.FirstText > 0 {
				close(draft.firstText)
			}
			draft.latest = received
		})
		draft.latest = received
		return err
	})
}

// awaitText runs "started NAME": waits for the first text of a draft.
func awaitText(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case <-state(ts).drafts[args[0]].firstText:
	case <-time.After(waitTimeout):
		ts.Fatalf("draft %s: no text after %v", args[0], waitTimeout)
	}
}

// awaitDraft runs "drafted NAME OUTCOME...": waits for the end of a draft and
// checks that its outcome is one of those given.
func awaitDraft(ts *testscript.TestScript, _ bool, args []string) {
	draft := state(ts).drafts[args[0]]
	select {
	case err := <-draft.task.Done():
		ts.Check(err)
	case <-time.After(waitTimeout):
		ts.Fatalf("draft %s has not ended after %v", args[0], waitTimeout)
	}
	expectOutcome(ts, "draft "+args[0], draft.latest.Outcome, draft.latest.Reason, args[1:])
}

// createOrder runs "order NAME ENTRY": requests an order ID and sets $order_NAME.
func createOrder(ts *testscript.TestScript, _ bool, args []string) {
	var created rtapi.OrderID
	ts.Check(newCaller(args[1]).Call(context.Background(), http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created))
	state(ts).orders[args[0]] = created.ID
	ts.Setenv("order_"+args[0], created.ID)
}

// putOrder runs "put NAME ENTRY OUTCOME...": sends an order and checks that its
// outcome is one of those given.
func putOrder(ts *testscript.TestScript, _ bool, args []string) {
	var status rtapi.Status
	path := "/v1/orders/" + state(ts).orders[args[0]] + "?limit=5s"
	ts.Check(newCaller(args[1]).Call(context.Background(), http.MethodPut, path, []byte("file it"), &status))
	expectOutcome(ts, "order "+args[0], status.Outcome, status.Reason, args[2:])
}

func expectOutcome(ts *testscript.TestScript, name string, outcome rtapi.Outcome, reason rtapi.Reason, want []string) {
	for _, allowed := range want {
		if outcome.String() == allowed {
			return
		}
	}
	ts.Fatalf("%s: outcome %s, reason %s, want one of %v", name, outcome, reason, want)
}
