package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cut-answer"] = runCutAnswer }

const cutAnswerConfig = `{"version":3,"routes":[
 {"name":"safe","host":"case.example","pathPrefix":"/safe/","type":"safe","timeoutMs":10000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2},
 {"name":"order","host":"case.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":10000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1},
 {"name":"stream","host":"case.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":10000,"targetLatencyMs":1500,"targetGapMs":600,"priority":1,"service":"desk","maxAttempts":2}],
 "services":[{"name":"desk","healthPath":"/health","maxConns":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-of-the-case"],"priority":1}]}`

// The course of a round of the case, from the requests.
const (
	cutAt     = 500 * time.Millisecond
	crashAt   = 900 * time.Millisecond
	rebornAt  = 1900 * time.Millisecond
	healAt    = 2500 * time.Millisecond
	answerGap = 3500 * time.Millisecond // between the halves of a plain answer
	cutRounds = 3
)

// answered is what a client has received for one request.
type answered struct {
	status int
	stamp  string
	id     string
	body   string
	whole  bool // the answer ended as a complete one
	err    error
}

// send sends a request on a new channel and reads its answer to the end.
func (w *world) send(front, method, path, id string, deadline time.Duration, body string) answered {
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, hostName, id, deadline.Milliseconds(), apiKey, len(body), body)
	if err != nil {
		return answered{err: err}
	}
	return readAnswer(bufio.NewReader(connection), method)
}

// readAnswer reads one answer.
func readAnswer(reader *bufio.Reader, method string) answered {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answered{
		status: response.StatusCode, stamp: response.Header.Get("X-Response-Stamp"), id: response.Header.Get("X-Attempt-Id"),
		body: string(data), whole: err == nil, err: err,
	}
}

// runCutAnswer plays a server that is cut off from the gateway, crashes behind the cut
// and starts again, while it sends answers without a length.
func runCutAnswer(w *world) error {
	if err := w.startStore(cutAnswerConfig, nil); err != nil {
		return err
	}
	address, err := w.address(20)
	if err != nil {
		return err
	}
	l, err := w.link(21, address)
	if err != nil {
		return err
	}
	start := func(id string) (*process, error) {
		p, err := w.startServer(id, address, "-unframed", "-pause", answerGap.String())
		if err == nil {
			w.publish(id, "desk", l.address, 6)
		}
		return p, err
	}
	id := "i-first"
	server, err := start(id)
	if err != nil {
		return err
	}
	g, err := w.startGateway()
	if err != nil {
		return err
	}
	freeze := os.Getenv("VARIANT") == "freeze" // of the gateway, in place of the cut
	broken := 0
	for round := range cutRounds {
		var clients sync.WaitGroup
		begin := time.Now()
		var mu sync.Mutex
		for _, path := range []string{"/safe/a", "/order/a", "/stream/a"} {
			clients.Go(func() {
				id := w.attemptID()
				w.note("client: %s POST %s", id, path)
				got := w.send(g.front, http.MethodPost, path, id, 10*time.Second, "x")
				mu.Lock()
				defer mu.Unlock()
				if w.judgeCut(path, id, got) {
					broken++
				}
			})
		}
		if w.trouble {
			time.Sleep(time.Until(begin.Add(cutAt)))
			if freeze {
				w.note("gateway is frozen")
				_ = g.command.Process.Signal(syscall.SIGSTOP)
			} else {
				w.note("link to the server is cut")
				l.cut()
			}
			time.Sleep(time.Until(begin.Add(crashAt)))
			w.kill(server)
			w.note("server %s has crashed", id)
			time.Sleep(time.Until(begin.Add(rebornAt)))
			old := id
			id = fmt.Sprint("i-again-", round)
			if server, err = start(id); err != nil {
				l.heal()
				return err
			}
			time.Sleep(time.Until(begin.Add(healAt)))
			l.heal()
			_ = g.command.Process.Signal(syscall.SIGCONT)
			w.note("link and gateway work again")
			// The entry of a server that has crashed goes after three heartbeats.
			time.Sleep(time.Until(begin.Add(crashAt + 3600*time.Millisecond)))
			w.remove(old)
		}
		clients.Wait()
		time.Sleep(500 * time.Millisecond)
	}
	w.note("%d answers of %d looked complete and were not", broken, 3*cutRounds)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// judgeCut reports whether an answer breaks MIXED or ORDER: a success that looks complete
// and is not the server's whole body.
func (w *world) judgeCut(path, id string, got answered) bool {
	want := bodyOf(id)
	if strings.HasPrefix(path, "/stream") {
		want = ""
		for i := 1; i <= eventsOf; i++ {
			want += eventOf(id, i)
		}
	}
	bad := got.status/100 == 2 && got.whole && got.body != want
	w.note("client: %s %s got %d, stamp %q, %d bytes of %d, complete: %v, error: %v%s", id, path, got.status, got.stamp,
		len(got.body), len(want), got.whole, got.err, map[bool]string{true: "  << BROKEN"}[bad])
	return bad
}
