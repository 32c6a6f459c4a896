package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbtally/rhubarbtally/platform/rtstandin"
)

const (
	program = "target/rhubarbtally-gateway"
	// Ports of a gateway, which has an address of its own.
	frontPort     = 7000
	readinessPort = 7001
	controlPort   = 7002
	peerPort      = 7003
	metricsPort   = 9464
	// readyTimeout is how long a gateway may take to get ready.
	readyTimeout = 10 * time.Second
	// gateways is how many there are.
	gateways = 2
	// maxSeeds is how many gateways each gateway knows at its start.
	maxSeeds = 3
)

// world is one small deployment with its stand-ins.
type world struct {
	host    string // first three numbers of its loopback addresses
	dir     string
	store   *rtstandin.Store
	started time.Time

	recordMu   sync.Mutex
	recordFile *os.File
	recordText *bufio.Writer

	mu        sync.Mutex
	listeners []net.Listener
	gateways  []*gateway
	servers   []*server
}

// gateway is one gateway, whose process may be down.
type gateway struct {
	world *world
	index int
	ip    string
	store string // address of the store for this gateway

	mu      sync.Mutex
	command *exec.Cmd // nil while it is down
}

// newWorld returns a world without gateways and servers, at addresses that are free.
func newWorld(recordPath string) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("gateway is not built: %w", err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &world{
		host: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)), dir: dir, store: rtstandin.NewStore(),
		started: time.Now(), recordFile: file, recordText: bufio.NewWriter(file),
	}, nil
}

// record writes one line with the time since the start.
func (w *world) record(format string, values ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.recordText, "%8.3f ", time.Since(w.started).Seconds())
	_, _ = fmt.Fprintf(w.recordText, format+"\n", values...)
}

func (w *world) closeRecord() error {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	return errors.Join(w.recordText.Flush(), w.recordFile.Close())
}

// serve serves at an address until the world stops.
func (w *world) serve(address string, handler http.Handler) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.listeners = append(w.listeners, listener)
	w.mu.Unlock()
	stand := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = stand.Serve(listener) }() // ends with its listener
	return listener, nil
}

// put writes an item to the store.
func (w *world) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.store.Put(key, text)
	return nil
}

// addGateways adds the gateways and starts them.
func (w *world) addGateways() error {
	for i := range gateways {
		g := &gateway{world: w, index: i, ip: fmt.Sprintf("%s.%d", w.host, 10+i)}
		listener, err := w.serve(w.host+".1:0", w.store)
		if err != nil {
			return err
		}
		g.store = listener.Addr().String()
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (g *gateway) name() string { return fmt.Sprint("edge-", g.index) }

func (g *gateway) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

// settings returns the settings file, with the bounds of the small site kvt-windhoek.
func (g *gateway) settings() map[string]any {
	var seeds []string
	for _, other := range g.world.gateways[:min(maxSeeds, len(g.world.gateways))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
	}
	return map[string]any{
		"node": g.name(), "role": "gateway", "instanceClass": "edge", "serves": []string{"edge", "control_plane"},
		"ip": g.ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen": map[string]string{
			"front": g.front(), "readiness": fmt.Sprintf("%s:%d", g.ip, readinessPort), "control": fmt.Sprintf("%s:%d", g.ip, controlPort),
		},
		"portRange": []int{peerPort, peerPort + 15}, "seedNodes": seeds, "bootstrap": true, "countsAsLoss": false,
		"heartbeatMs": heartbeat.Milliseconds(), "dataDir": nil,
		"limits": map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": stableWindow.Milliseconds(), "ackMs": 4000, "catchUpS": 4,
			"drainMs": drainBound.Milliseconds(), "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
			"rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtra": 102, "coldOvershoot": coldOvershoot, "coldSlack": coldSlack, "evacuateMs": 5000,
			"recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "maxHoldMs": 20000, "freeMs": 4000, "maxIdleMs": 9000,
		},
		"provider": map[string]any{
			"address": g.store, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
}

// Bounds of the site kvt-windhoek that the cases check.
const (
	stableWindow  = 3 * time.Second
	drainBound    = 2 * time.Second
	coldOvershoot = 1.5
	coldSlack     = 5
)

// start starts the process.
func (g *gateway) start() error {
	text, err := json.Marshal(g.settings())
	if err != nil {
		return err
	}
	path := filepath.Join(g.world.dir, g.name()+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.world.dir, g.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program)
	command.Env = []string{"RHUBARBTALLY_CONFIG=" + path}
	command.Stdout, command.Stderr = log, log
	err = command.Start()
	_ = log.Close() // the process has inherited its own descriptor
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.command = command
	g.world.record("gateway %s started", g.name())
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	command := g.command
	g.command = nil
	g.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	g.world.record("gateway %s killed", g.name())
	_ = command.Wait() // reports the signal
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() error {
	address := fmt.Sprintf("http://%s:%d/-/ready", g.ip, readinessPort)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(address) //nolint:gosec // an address of this world
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s does not get ready", g.name())
}

// stop ends all processes and listeners, and removes the settings and logs.
func (w *world) stop() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, s := range w.servers {
		s.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, listener := range w.listeners {
		_ = listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// sleep waits, and reports false if the case must end.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
