package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbtally/rhubarbtally/platform/rtstandin"
)

// The command of the deploy file.
const (
	gatewayProgram = "target/rhubarbtally-gateway"
	featuresFile   = "deploy/features.toml"
)

const (
	// startTimeout is how long the processes may take to serve.
	startTimeout = 10 * time.Second
	// The limits of a machine of kvt-windhoek that serves clients.
	memoryMB = 284
	maxFiles = 4100
	hostName = "case.example"
	apiKey   = "key-of-the-case"
)

// world is what one play of a case consists of.
type world struct {
	trouble bool
	began   time.Time
	dir     string
	host    string // first three numbers of the loopback addresses
	store   *rtstandin.Store
	storeIP string

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	ends    []func()
	attempt int
	runs    map[string]run // by the id of the request; the last one of each
}

// run is a run of a request at a server.
type run struct {
	server string
	at     time.Time
	ended  bool
}

// ran records a line of a server about a run.
func (w *world) ran(server, line string) {
	what, rest, _ := strings.Cut(line, " ")
	id, _, _ := strings.Cut(rest, " ")
	w.mu.Lock()
	defer w.mu.Unlock()
	switch what {
	case "runs":
		w.runs[id] = run{server: server, at: time.Now()}
	case "ended":
		r := w.runs[id]
		r.ended = true
		w.runs[id] = r
	}
}

// newWorld returns a world with a store that holds nothing.
func newWorld(record string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		trouble: trouble, began: time.Now(), dir: dir, host: fmt.Sprintf("127.%d.%d", 1+pid%250, 1+pid/250%250),
		store: rtstandin.NewStore(), runs: make(map[string]run), file: file, record: bufio.NewWriter(file),
	}
	w.note("trouble: %v", trouble)
	return w, nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), line)
	_ = w.record.Flush()
	fmt.Printf("%8.3f  %s\n", time.Since(w.began).Seconds(), line)
}

// atEnd adds something to do at the end of the play.
func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, f)
}

// close ends all that was started, the last first.
func (w *world) close() {
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Flush()
	_ = w.file.Close()
}

// address returns a free address of the machine with a number.
func (w *world) address(machine int) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.host, machine))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// serve serves a handler at a free address until the end of the play.
func (w *world) serve(machine int, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.host, machine))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	w.atEnd(func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// startStore serves the store with a configuration.
func (w *world) startStore(configuration string, wrap func(http.Handler) http.Handler) error {
	w.store.Put("op/config", []byte(configuration))
	var handler http.Handler = w.store
	if wrap != nil {
		handler = wrap(handler)
	}
	address, err := w.serve(1, handler)
	w.storeIP = address
	return err
}

// publish writes the entry of a server, as the server itself would.
func (w *world) publish(id, service, address string, slots int) {
	entry, _ := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	w.store.Put("servers/"+id, entry)
	w.note("store: servers/%s is ready at %s", id, address)
}

// remove removes the entry of a server.
func (w *world) remove(id string) {
	w.store.Put("servers/"+id, nil)
	w.note("store: servers/%s is removed", id)
}

// gateway is one gateway process.
type gateway struct {
	front, ready string
	command      *exec.Cmd
	log          string
	ended        chan struct{} // closed when the process has ended
}

// startGateway starts a gateway with the command of the deploy file.
func (w *world) startGateway() (*gateway, error) {
	const machine = 10
	g := &gateway{log: filepath.Join(w.dir, fmt.Sprintf("edge-%d.log", machine)), ended: make(chan struct{})}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = w.address(machine); err != nil {
			return nil, err
		}
	}
	g.front, g.ready = addresses[0], addresses[1]
	ip, port, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return nil, err
	}
	first := 0
	if _, err := fmt.Sscan(port, &first); err != nil {
		return nil, err
	}
	settings, err := json.Marshal(map[string]any{
		"node": fmt.Sprint("edge-", machine), "role": "gateway", "instanceClass": "edge", "serves": []string{"edge", "control_plane"},
		"ip": ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen":    map[string]string{"front": g.front, "readiness": g.ready, "control": addresses[3]},
		"portRange": []int{first, first + 15}, "seedNodes": []string{addresses[3]}, "bootstrap": true,
		"limits":  map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": memoryMB, "maxFds": maxFiles, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "heartbeatMs": 1200,
		"bounds": map[string]any{
			"stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtra": 102, "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
		},
		"provider": map[string]any{"address": w.storeIP, "form": "read", "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.dir, fmt.Sprintf("edge-%d.json", machine))
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(g.log)
	if err != nil {
		return nil, err
	}
	g.command = exec.Command(gatewayProgram, "-features", featuresFile)
	g.command.Env = append(os.Environ(), "RHUBARBTALLY_CONFIG="+path)
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	_ = log.Close() // the process has its own descriptor
	go func() {
		_ = g.command.Wait()
		close(g.ended)
	}()
	w.atEnd(func() {
		_ = g.command.Process.Signal(syscall.SIGKILL)
		_ = g.command.Process.Signal(syscall.SIGCONT)
		<-g.ended
		w.keepLog(g)
	})
	return g, w.awaitReady(g)
}

// keepLog copies the log of a gateway to where KEEP_LOGS says.
func (w *world) keepLog(g *gateway) {
	to := os.Getenv("KEEP_LOGS")
	if to == "" {
		return
	}
	if data, err := os.ReadFile(g.log); err == nil {
		_ = os.WriteFile(filepath.Join(to, filepath.Base(g.log)), data, 0o600)
	}
}

// awaitReady waits until a gateway says that it is ready.
func (w *world) awaitReady(g *gateway) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			w.note("%s is ready, process %d", filepath.Base(g.log), g.command.Process.Pid)
			return nil
		}
	}
	return errors.New("gateway is not ready")
}

// process is one server process.
type process struct {
	id      string
	address string
	command *exec.Cmd
	ended   chan struct{}
}

// startServer starts a server process at an address. What it runs is in the record.
func (w *world) startServer(id, address string, more ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{id: id, address: address, ended: make(chan struct{})}
	p.command = exec.Command(self, append([]string{"server", "-id", id, "-listen", address}, more...)...)
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	listening := make(chan error, 1)
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			if lines.Text() == "listening" {
				listening <- nil
				continue
			}
			w.ran(id, lines.Text())
			w.note("server %s: %s", id, lines.Text())
		}
		_, _ = io.Copy(io.Discard, output)
		_ = p.command.Wait()
		close(p.ended)
		listening <- errors.New("server has ended")
	}()
	w.atEnd(func() { w.kill(p) })
	select {
	case err := <-listening:
		return p, err
	case <-time.After(startTimeout):
		return nil, errors.New("server does not listen")
	}
}

// kill kills a server process.
func (w *world) kill(p *process) {
	_ = p.command.Process.Kill()
	<-p.ended
}

// attemptID returns an id that no other request has.
func (w *world) attemptID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempt++
	return fmt.Sprintf("%08x%04x", w.began.UnixNano()&0xffffffff, w.attempt)
}
