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

// patience bounds each wait for a condition of a process.
const patience = 20 * time.Second

// ports is the number of free addresses that a script gets as $addr1 and so on.
const ports = 24

// TestProcesses guards the real programs as separate processes: start, kill,
// freeze, planned stop, bad settings.
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
			env.Values[stateKey{}] = &processes{
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
			"pour":    pourSettings,
			"hangups": sendHangups,
		},
	})
}

type stateKey struct{}

// processes is the state of one script.
type processes struct {
	daemons map[string]*exec.Cmd
	drafts  map[string]*draftTask
	orders  map[string]string // order ids by name
}

type draftTask struct {
	task *rttask.Task
	text chan struct{} // closed at the first text
	seen rtfleet.Draft
}

func state(ts *testscript.TestScript) *processes {
	return ts.Value(stateKey{}).(*processes)
}

// Ports of the scripts. Each script has a range of its own.
const firstPort = 7000

var scripts atomic.Int32

// setAddresses gives the script loopback addresses that no other process uses:
// the IP address follows from the process id, because a port that is free now
// can be taken before a daemon listens on it.
func setAddresses(env *testscript.Env) error {
	host := func(network int) string {
		return fmt.Sprintf("127.%d.%d.%d", network+os.Getpid()/250/250%100, 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	}
	first := firstPort + ports*int(scripts.Add(1))
	// A gateway's ports are fixed, so it has an address of its own.
	env.Setenv("gateway", host(101))
	for i := range ports {
		env.Setenv(fmt.Sprint("addr", i+1), fmt.Sprintf("%s:%d", host(1), first+i))
	}
	return nil
}

// startDaemon runs "daemon NAME PROGRAM ARGS...". It writes standard output and
// standard error to NAME.log and ends with the script.
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
		// A frozen process must not outlive the test, and one that has
		// already ended needs no kill.
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil {
			ts.Logf("%s.log:\n%s", name, data)
		}
	})
}

// signalDaemon runs "signal NAME KILL|STOP|CONT|TERM|HUP".
func signalDaemon(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP,
	}
	ts.Check(state(ts).daemons[args[0]].Process.Signal(signals[args[1]]))
}

// createPipe runs "pipe FILE": a process that reads the file waits there.
func createPipe(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(syscall.Mkfifo(ts.MkAbs(args[0]), 0o600))
}

// pourSettings runs "pour PIPE FILE NAME HUP": waits until the daemon reads its
// settings from the pipe, sends it SIGHUP and then gives it the file with its
// variables replaced. A plain file takes the place of the pipe.
func pourSettings(ts *testscript.TestScript, _ bool, args []string) {
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

// sendHangups runs "hangups NAME": sends SIGHUP until the daemon has ended.
func sendHangups(ts *testscript.TestScript, _ bool, args []string) {
	command := state(ts).daemons[args[0]]
	awaitEnd(ts, args[0], command, func() {
		// The daemon may end between the check and the signal.
		_ = command.Process.Signal(syscall.SIGHUP)
	})
}

// awaitEnd waits for the end of a daemon and does something meanwhile.
func awaitEnd(ts *testscript.TestScript, name string, command *exec.Cmd, meanwhile func()) {
	ended := rttask.Start(context.Background(), name, func(context.Context) error { return command.Wait() })
	patient := time.After(patience)
	for {
		select {
		case err := <-ended.Done():
			ts.Logf("%s ended: %v", name, err) // "exited" checks the status
			return
		case <-patient:
			ts.Fatalf("%s still runs after %v", name, patience)
		case <-time.After(200 * time.Microsecond):
			meanwhile()
		}
	}
}

// awaitExit runs "exited NAME STATUS".
func awaitExit(ts *testscript.TestScript, _ bool, args []string) {
	command := state(ts).daemons[args[0]]
	if command.ProcessState == nil {
		awaitEnd(ts, args[0], command, func() {})
	}
	if got := strconv.Itoa(command.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s: exit status %s, want %s", args[0], got, args[1])
	}
}

// awaitCommand runs "await PROGRAM ARGS..." until it succeeds.
func awaitCommand(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(patience)
	for {
		err := ts.Exec(args[0], args[1:]...)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v: %v after %v", args, err, patience)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// awaitReady runs "ready ENTRY": waits until the entry accepts a draft and
// issues an order id.
func awaitReady(ts *testscript.TestScript, _ bool, args []string) {
	caller := callerOf(args[0])
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
			ts.Fatalf("%s does not serve after %v: %+v, %v", args[0], patience, draft, err)
		}
	}
}

func callerOf(address string) rtfleet.Caller {
	return rtfleet.Caller{Client: http.DefaultClient, Address: rtid.Address(address), Organisation: "high-court"}
}

// startDraft runs "draft NAME ENTRY OUTPUT": sends a draft in the background.
func startDraft(ts *testscript.TestScript, _ bool, args []string) {
	output, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	draft := &draftTask{text: make(chan struct{})}
	state(ts).drafts[args[0]] = draft
	draft.task = rttask.Start(context.Background(), args[0], func(ctx context.Context) error {
		request := rtapi.DraftRequest{Service: "drafts", Prompt: args[0], Output: output, Limit: "10s"}
		seen, err := callerOf(args[1]).Draft(ctx, request, func(seen rtfleet.Draft) {
			if draft.seen.FirstText == 0 && seen.FirstText > 0 {
				close(draft.text)
			}
			draft.seen = seen
		})
		draft.seen = seen
		return err
	})
}

// awaitText runs "started NAME": waits for the first text of a draft.
func awaitText(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case <-state(ts).drafts[args[0]].text:
	case <-time.After(patience):
		ts.Fatalf("draft %s: no text after %v", args[0], patience)
	}
}

// awaitDraft runs "drafted NAME OUTCOME...": waits for the end of a draft.
func awaitDraft(ts *testscript.TestScript, _ bool, args []string) {
	draft := state(ts).drafts[args[0]]
	select {
	case err := <-draft.task.Done():
		ts.Check(err)
	case <-time.After(patience):
		ts.Fatalf("draft %s has not ended after %v", args[0], patience)
	}
	expectOutcome(ts, "draft "+args[0], draft.seen.Outcome, draft.seen.Reason, args[1:])
}

// createOrder runs "order NAME ENTRY": obtains an order id.
func createOrder(ts *testscript.TestScript, _ bool, args []string) {
	var created rtapi.OrderID
	ts.Check(callerOf(args[1]).Call(context.Background(), http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created))
	state(ts).orders[args[0]] = created.ID
	ts.Setenv("order_"+args[0], created.ID)
}

// putOrder runs "put NAME ENTRY OUTCOME...": sends an order.
func putOrder(ts *testscript.TestScript, _ bool, args []string) {
	var status rtapi.Status
	path := "/v1/orders/" + state(ts).orders[args[0]] + "?limit=5s"
	ts.Check(callerOf(args[1]).Call(context.Background(), http.MethodPut, path, []byte("file it"), &status))
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
