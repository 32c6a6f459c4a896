package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["starved"] = runStarved }

const (
	starveCrowd = 900
	// starveFrom is how long the crowd has sent before ordinary requests are judged.
	starveFrom = 500 * time.Millisecond
	// starveUntil is until when ordinary requests are judged, from the begin of the crowd,
	// which stays for 10 s, the time that its requests have.
	starveUntil = 7 * time.Second
)

// ordinaryKind is a kind of ordinary requests, with the sizes and times of the sheet.
type ordinaryKind struct {
	name, path string
	clients    int
	body       int
	deadline   time.Duration
	timeout    time.Duration // of the route
	kept       bool          // the client keeps its channel
	pause      time.Duration
}

var ordinaryKinds = []ordinaryKind{
	{"filing-submit", "/filing/a", 6, 3600, 1500 * time.Millisecond, 800 * time.Millisecond, true, 200 * time.Millisecond},
	{"day-transcript", "/stream/a", 6, 11_000, 10 * time.Second, 10 * time.Second, true, 200 * time.Millisecond},
}

// tally counts the requests of one kind that are judged.
type tally struct {
	mu             sync.Mutex
	sent, answered int
	served         int // with the whole answer of a server
	unanswered     int // at the timeout of the route
	late           int // of these, half a second later
}

// lateAnswer is how long after the timeout of its route a request must have an answer
// (CONFIG), and leastLate how many must have none.
const (
	lateAnswer = 500 * time.Millisecond
	leastLate  = 8
)

// broken reports whether CONFIG is broken: more than half of the requests that are still
// unanswered at their route's timeout have no answer half a second later.
func (t *tally) broken() bool { return t.late >= leastLate && 2*t.late > t.unanswered }

// ordinaryOf sends requests of one kind, one after the other, until a time.
func (w *world) ordinaryOf(front string, kind ordinaryKind, counts *tally, judged func(time.Time) bool, end time.Time) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(w.host + ".50")}}
	var connection net.Conn
	var reader *bufio.Reader
	for ; time.Now().Before(end); time.Sleep(kind.pause) {
		if connection == nil {
			opened, err := dialer.Dial("tcp", front)
			if err != nil {
				w.note("client: no channel: %v", err)
				continue
			}
			connection, reader = opened, bufio.NewReader(opened)
		}
		id, sent := w.attemptID(), time.Now()
		_ = connection.SetDeadline(sent.Add(kind.deadline))
		got := answered{}
		_, got.err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: key-of-another\r\nContent-Length: %d\r\n\r\n%s",
			kind.path, hostName, id, kind.deadline.Milliseconds(), kind.body, strings.Repeat("x", kind.body))
		if got.err == nil {
			got = readAnswer(reader, "POST")
		}
		counts.add(kind, judged(sent), time.Since(sent), got)
		w.note("client: %s %s, sent at %.3f, after %.3f s: %d, %d bytes, error: %v", id, kind.name, sent.Sub(w.began).Seconds(), time.Since(sent).Seconds(), got.status, len(got.body), got.err)
		if !kind.kept || got.err != nil {
			_ = connection.Close()
			connection = nil
		}
	}
}

// add counts a request.
func (t *tally) add(kind ordinaryKind, judged bool, took time.Duration, got answered) {
	if !judged {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if got.status > 0 {
		t.answered++
	}
	if got.status == 200 && got.whole {
		t.served++
	}
	if took > kind.timeout {
		t.unanswered++
	}
	if took > kind.timeout+lateAnswer {
		t.late++
	}
}

// runStarved plays a crowd that fits into the memory of the gateway, beside ordinary
// clients of another organisation at another address.
func runStarved(w *world) error {
	g, err := w.startDesk()
	if err != nil {
		return err
	}
	begin := time.Now().Add(crowdAt)
	end := time.Now().Add(crowdLength)
	judged := func(t time.Time) bool { return t.After(begin.Add(starveFrom)) && t.Before(begin.Add(starveUntil)) }
	var clients sync.WaitGroup
	counts := make([]tally, len(ordinaryKinds))
	for i, kind := range ordinaryKinds {
		for range kind.clients {
			clients.Go(func() { w.ordinaryOf(g.front, kind, &counts[i], judged, end) })
		}
	}
	if w.trouble {
		clients.Go(func() {
			time.Sleep(time.Until(begin))
			w.crowd(g.front, starveCrowd, &clients, end)
		})
	}
	_ = w.enforceMemory(g, end)
	clients.Wait()
	broken := false
	for i, kind := range ordinaryKinds {
		c := &counts[i]
		w.note("%s: %d sent while the crowd was there, %d answered at all, %d served; %d without an answer at %v, %d of these %v later",
			kind.name, c.sent, c.answered, c.served, c.unanswered, kind.timeout, c.late, lateAnswer)
		broken = broken || c.broken()
	}
	if broken {
		return errBroken
	}
	return nil
}
