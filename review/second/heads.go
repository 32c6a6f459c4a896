package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = runHeads }

const headsConfig = `{"version":3,"routes":[
 {"name":"stream","host":"case.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":10000,"targetLatencyMs":300,"targetGapMs":250,"priority":1,"service":"engine","maxAttempts":2,"resumable":true,"sticky":true},
 {"name":"filing","host":"case.example","pathPrefix":"/filing/","type":"unsafe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1}],
 "services":[
 {"name":"engine","healthPath":"/health","maxConns":424,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":36.0,
  "engine":{"slots":16,"kvTokens":315000,"stepsPerPass":51,"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":11121,"answer":1622},"hopMs":0.05}},
 {"name":"desk","healthPath":"/health","maxConns":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-of-the-case"],"priority":1}]}`

const (
	headEngines = 21
	// headRate is the traffic of the site, 53.7 requests a second, over the two machines
	// that are left of four when as many are lost as the settings name; their shares are
	// uneven.
	headRate   = 30
	headLength = 20 * time.Second
)

// prompt sends a prompt to an engine and reads the answer.
func (w *world) prompt(front string) answered {
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	id := w.attemptID()
	_, err = fmt.Fprintf(connection, "POST /stream/a HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 5000,1600\r\nX-Prompt-Prefix: 5c1e07a2:40,%s:4960\r\nX-Deadline-Ms: 10000\r\nX-Credential: %s\r\nContent-Length: 1\r\n\r\nx",
		hostName, id, id, apiKey)
	if err != nil {
		return answered{err: err}
	}
	return readAnswer(bufio.NewReader(connection), http.MethodPost)
}

// runHeads plays engines in trouble, beside a sound service.
func runHeads(w *world) error {
	if err := w.startStore(headsConfig, nil); err != nil {
		return err
	}
	engine := []string{"-pause", "40ms"}
	if w.trouble {
		engine = []string{"-endless"}
	}
	for i := range headEngines + 2 {
		address, err := w.address(20 + i)
		if err != nil {
			return err
		}
		id, service, flags := fmt.Sprint("i-", i), "engine", engine
		if i >= headEngines {
			service, flags = "desk", []string{"-work", "400ms"}
		}
		if _, err := w.startServer(id, address, flags...); err != nil {
			return err
		}
		w.publish(id, service, address, 16)
	}
	g, err := w.startGateway()
	if err != nil {
		return err
	}
	end := time.Now().Add(headLength)
	var served, lost, streams atomic.Int64
	var clients sync.WaitGroup
	for range kept {
		clients.Go(func() { w.ordinary(g.front, end, &served, &lost) })
	}
	clients.Go(func() {
		for time.Now().Before(end) && !g.hasEnded() {
			time.Sleep(time.Second / headRate)
			clients.Go(func() {
				if got := w.prompt(g.front); got.status == http.StatusOK && got.whole {
					streams.Add(1)
				}
			})
		}
	})
	killed := w.enforceMemory(g, end)
	clients.Wait()
	w.note("%d streams and %d orders served, %d orders lost with their kept channel", streams.Load(), served.Load(), lost.Load())
	const allowed = 3 // LOST
	if killed && lost.Load() > allowed {
		return errBroken
	}
	return nil
}

// hasEnded reports whether the process of a gateway has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}
