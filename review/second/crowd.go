package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = runCrowd }

const crowdConfig = `{"version":3,"routes":[
 {"name":"filing","host":"case.example","pathPrefix":"/filing/","type":"unsafe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1},
 {"name":"stream","host":"case.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":10000,"targetLatencyMs":1500,"targetGapMs":600,"priority":1,"service":"desk","maxAttempts":2,"resumable":true}],
 "services":[{"name":"desk","healthPath":"/health","maxConns":424}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-of-the-case"],"priority":1},{"name":"t2","apiKeys":["key-of-another"],"priority":1}]}`

const (
	memoryCrowd = 1800
	crowdRate   = 100 << 20 // bytes a second of all together; the link of the machine has 1,000 Mbit/s
	crowdBody   = 4_194_304 // maxBodyBytes
	crowdLength = 15 * time.Second
	crowdAt     = 3 * time.Second
	kept        = 6 // ordinary clients
)

// memoryOf returns the resident memory of a process and the bytes that its sockets at an
// address have received and that it has not read.
func memoryOf(pid int, front string) (resident, unread int64, err error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0, 0, fmt.Errorf("statm of the gateway: %q", statm)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, 0, err
	}
	unread, err = unreadAt(front)
	return pages * int64(os.Getpagesize()), unread, err
}

// unreadAt returns the bytes that wait in the connections accepted at an address.
func unreadAt(front string) (int64, error) {
	ip, port, err := net.SplitHostPort(front)
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, err
	}
	quad := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString([]byte{quad[3], quad[2], quad[1], quad[0]})), number)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	const listening = "0A"
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		waiting, err := strconv.ParseInt(queued, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += waiting
	}
	return sum, nil
}

// pacer lets bytes pass at the rate of a link.
type pacer struct {
	mu   sync.Mutex
	free time.Time // when the link has sent what has passed
}

// pass waits until the link has room for a number of bytes.
func (p *pacer) pass(bytes int) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(bytes) * time.Second / crowdRate)
	free := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(free))
}

// crowdClient sends a body of legal size up to its last byte and stays.
func (w *world) crowdClient(front string, link *pacer, end time.Time) {
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	// The bytes that the client's own kernel holds are of no interest.
	_ = connection.(*net.TCPConn).SetWriteBuffer(64 << 10)
	_ = connection.SetDeadline(end)
	_, err = fmt.Fprintf(connection, "POST /stream/crowd HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n",
		hostName, w.attemptID(), apiKey, crowdBody)
	if err != nil {
		return
	}
	piece := bytes.Repeat([]byte{'x'}, 1<<14)
	for sent := 0; sent < crowdBody-1; {
		link.pass(len(piece))
		n, err := connection.Write(piece[:min(len(piece), crowdBody-1-sent)])
		if err != nil {
			return
		}
		sent += n
	}
	_, _ = connection.Read(make([]byte, 4096)) // stays until it gets an answer or its time is over
}

// ordinary sends requests on a kept channel, one after the other, until a time. It counts
// those whose channel ended without an answer after they were sent.
func (w *world) ordinary(front string, end time.Time, served, lost *atomic.Int64) {
	for time.Now().Before(end) {
		connection, err := net.DialTimeout("tcp", front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(connection)
		for first := true; time.Now().Before(end); first = false {
			id := w.attemptID()
			_ = connection.SetDeadline(time.Now().Add(1500 * time.Millisecond))
			if _, err := fmt.Fprintf(connection, "POST /filing/a HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Credential: %s\r\nContent-Length: 1\r\n\r\nx",
				hostName, id, apiKey); err != nil {
				break
			}
			got := readAnswer(reader, "POST")
			if got.err != nil {
				w.note("client: %s on a kept channel (first request of it: %v) ended without an answer: %v", id, first, got.err)
				lost.Add(1)
				break
			}
			w.note("client: %s got %d, %d bytes, complete: %v", id, got.status, len(got.body), got.whole)
			if got.status == 200 {
				served.Add(1)
			}
		}
		_ = connection.Close()
	}
}

// runCrowd plays many clients that send long bodies of legal size and stop short of their
// end, beside ordinary ones. As the platform does, it ends the gateway if its memory goes
// over that of its machine.
func runCrowd(w *world) error {
	g, err := w.startDesk()
	if err != nil {
		return err
	}
	end := time.Now().Add(crowdLength)
	var served, lost atomic.Int64
	var clients sync.WaitGroup
	for range kept {
		clients.Go(func() { w.ordinary(g.front, end, &served, &lost) })
	}
	if w.trouble {
		clients.Go(func() {
			time.Sleep(crowdAt)
			w.crowd(g.front, memoryCrowd, &clients, end)
		})
	}
	killed := w.enforceMemory(g, end)
	clients.Wait()
	w.note("%d ordinary requests served, %d lost with their kept channel", served.Load(), lost.Load())
	const allowed = 3 // LOST
	if killed && lost.Load() > allowed {
		return errBroken
	}
	return nil
}

// crowd starts clients that send bodies and stay until a time.
func (w *world) crowd(front string, count int, clients *sync.WaitGroup, end time.Time) {
	w.note("%d clients begin to send %d bytes each, up to the last one", count, crowdBody)
	link := &pacer{}
	for range count {
		clients.Go(func() { w.crowdClient(front, link, end) })
	}
}

// startDesk starts two sound servers and a gateway.
func (w *world) startDesk() (*gateway, error) {
	if err := w.startStore(crowdConfig, nil); err != nil {
		return nil, err
	}
	for i := range 2 {
		address, err := w.address(20 + i)
		if err != nil {
			return nil, err
		}
		id := fmt.Sprint("i-", i)
		if _, err := w.startServer(id, address, "-work", "400ms"); err != nil {
			return nil, err
		}
		w.publish(id, "desk", address, 16)
	}
	return w.startGateway()
}

// enforceMemory ends the gateway when it uses more memory than its machine has, and
// reports whether it did.
func (w *world) enforceMemory(g *gateway, end time.Time) bool {
	peak, last := int64(0), time.Time{}
	for time.Now().Before(end) {
		resident, unread, err := memoryOf(g.command.Process.Pid, g.front)
		if err != nil {
			w.note("memory cannot be read: %v", err)
			return false
		}
		if time.Since(last) > 500*time.Millisecond {
			last = time.Now()
			w.note("platform: gateway has %.1f MiB resident, %.1f MiB received and not read", mib(resident), mib(unread))
		}
		peak = max(peak, resident+unread)
		if os.Getenv("NOKILL") == "" && resident+unread > memoryMB<<20 {
			w.note("platform: gateway has %.1f MiB resident and %.1f MiB received and not read, over %d: killed", mib(resident), mib(unread), memoryMB)
			_ = g.command.Process.Kill()
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.note("platform: at most %.1f MiB", mib(peak))
	return false
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }
