package rtgateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	crashTargets = 12
	crashZones   = 3
	// prefillTime is how long a target works on a request before it begins to
	// write the answer.
	prefillTime = 100 * time.Millisecond
	// stableWindow is the time that the platform grants gateways to react.
	stableWindow = 3 * time.Second
	// maxLaterArrivals is how many requests with a part may reach targets after
	// the part has crashed manyCrashes of them.
	maxLaterArrivals = 3
	manyCrashes      = 5
)

// crashBed is a testbed whose targets crash: all their connections end at one
// moment, they refuse connections for some seconds and come back as a new
// incarnation.
type crashBed struct {
	*testbed
	random      *rand.Rand // of the test's goroutine
	deadly      []string   // parts on which a target crashes when it begins to answer
	grey        rtid.Address
	afterEvent  bool // a target crashes after the first event, not after the head
	closes      bool // connections end with EOF, not with a reset
	keepsID     bool // a target comes back under the ID that it had
	minDowntime time.Duration
	maxDowntime time.Duration

	mu      sync.Mutex
	open    map[*target]map[net.Conn]bool
	down    map[*target]bool
	crashes []crash
	starts  int // of targets after a crash
	greyRun int
}

// crash is the crash of one target.
type crash struct {
	at     time.Time
	target rtid.Target
	part   string // that caused it, or deadlyBody; empty for another cause
}

// arrival is a request that a test will send.
type arrival struct {
	after time.Duration // from the start of the series
	path  string
	parts string

	method string // POST if empty
	body   string // the parts if empty, because the body of a request holds its prompt
}

// exchange is a request that was sent, with the caller's reply.
type exchange struct {
	arrival
	id    string
	at    time.Time
	reply reply
}

// begun reports whether the caller got the beginning of an answer.
func (e *exchange) begun() bool { return e.reply.status == http.StatusOK && e.reply.body != "" }

// whole reports whether the caller got the whole answer.
func (e *exchange) whole() bool {
	want := allEvents()
	if strings.HasPrefix(e.path, "/safe/") || strings.HasPrefix(e.path, "/order/") {
		want = "ok"
	}
	return e.reply.status == http.StatusOK && e.reply.err == nil && e.reply.body == want
}

// rejected reports whether the caller was told that the request did not run
// and should not be sent again.
func (e *exchange) rejected() bool {
	return e.reply.status == http.StatusServiceUnavailable && e.reply.header.Get("Retry-After") == ""
}

// withCrashBed runs a test with targets that crash on the parts of deadly. The
// seed decides how a crash looks.
func withCrashBed(t *testing.T, seed uint64, deadly []string, test func(s *crashBed)) {
	t.Helper()
	withTestbed(t, crashTargets, func(b *testbed) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := &crashBed{
			testbed: b, random: random, deadly: deadly,
			afterEvent: seed%2 == 0, closes: seed%4 < 2, keepsID: seed%8 < 4,
			minDowntime: 2 * time.Second, maxDowntime: 5 * time.Second,
			open: make(map[*target]map[net.Conn]bool), down: make(map[*target]bool),
		}
		for _, target := range b.targets {
			target.set(s.answer)
		}
		s.republish()
		test(s)
	})
}

// republish publishes the present incarnations of all targets. The zone of a
// target follows from its position.
func (s *crashBed) republish() {
	s.testbed.mu.Lock()
	defer s.testbed.mu.Unlock()
	var instances []*rtcatalog.Instance
	for i, target := range s.targets {
		instances = append(instances, &rtcatalog.Instance{
			ID: target.id, Service: "work", Address: target.address, Zone: zoneOf(i), Slots: 16,
		})
	}
	s.view = rtcatalog.NewView(rtid.StoreRevision{Number: s.view.Revision.Number + 1}, s.view.Configuration, nil, instances)
}

func zoneOf(i int) rtid.Zone { return rtid.Zone([]string{"a", "b", "c"}[i*crashZones/crashTargets]) }

// answer is the script of the targets.
func (s *crashBed) answer(c net.Conn, r *run) {
	if !s.track(c, r.target, true) {
		return
	}
	defer s.track(c, r.target, false)
	time.Sleep(prefillTime)
	if r.target.address == s.grey && s.failsGrey(c, r) {
		return
	}
	part := cmp.Or(s.deadlyPartOf(r), deadlyWhole(r))
	if part == "" {
		answerOK(c, r)
		return
	}
	s.beginAnswer(c, r, s.afterEvent)
	s.crash(r.target, part)
}

// beginAnswer writes the head of an answer, and its first event.
func (s *crashBed) beginAnswer(c net.Conn, r *run, withEvent bool) {
	if strings.HasPrefix(r.request.URL.Path, "/safe/") || strings.HasPrefix(r.request.URL.Path, "/order/") {
		_, _ = io.WriteString(c, r.responseHead(200, "Content-Length: 2\r\n"))
		return
	}
	_, _ = io.WriteString(c, r.responseHead(200, chunked))
	if withEvent {
		_, _ = io.WriteString(c, chunk(event(r.lastEvent()+1)))
	}
}

// failsGrey fails or cuts a third of the answers of the grey target.
func (s *crashBed) failsGrey(c net.Conn, r *run) bool {
	s.mu.Lock()
	s.greyRun++
	n := s.greyRun
	s.mu.Unlock()
	switch n % 9 {
	case 0:
		_, _ = io.WriteString(c, r.responseHead(500, "Content-Length: 3\r\n")+"bad")
	case 3:
		// Ends the connection without an answer.
	case 6:
		s.beginAnswer(c, r, true)
	default:
		return false
	}
	return true
}

// deadlyPartOf returns the part of a request on which targets crash. The last
// part of a request never does.
func (s *crashBed) deadlyPartOf(r *run) string {
	for _, part := range sharedParts(r.request.Header.Get("Parts")) {
		if slices.Contains(s.deadly, part) {
			return part
		}
	}
	return ""
}

// sharedParts returns all parts but the last one, which is the request's own.
func sharedParts(parts string) []string {
	all := strings.Split(parts, ",")
	return all[:len(all)-1]
}

// track records whether a target has a connection open. It reports false if the
// target is down.
func (s *crashBed) track(c net.Conn, t *target, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !open:
		delete(s.open[t], c)
	case s.down[t]:
		return false
	case s.open[t] == nil:
		s.open[t] = map[net.Conn]bool{c: true}
	default:
		s.open[t][c] = true
	}
	return true
}

// crash ends all connections of a target and starts its next incarnation some
// seconds later.
func (s *crashBed) crash(t *target, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[t] {
		return
	}
	s.down[t] = true
	s.crashes = append(s.crashes, crash{at: time.Now(), target: t.id, part: part})
	if s.closes {
		for c := range s.open[t] {
			_ = c.Close()
		}
	}
	s.network.Kill(string(t.address))
	downtime := s.minDowntime + rand.N(s.maxDowntime-s.minDowntime)
	time.AfterFunc(downtime, func() { s.restart(t) })
}

// restart replaces a target by its next incarnation at the same address.
func (s *crashBed) restart(old *target) {
	s.mu.Lock()
	s.starts++
	id := rtid.Target(fmt.Sprintf("t%d", crashTargets+s.starts))
	s.mu.Unlock()
	if s.keepsID {
		id = old.id
	}
	next := &target{id: id, address: old.address, script: s.answer}
	s.testbed.mu.Lock()
	s.targets[slices.Index(s.targets, old)] = next
	s.testbed.mu.Unlock()
	s.listen(next)
	s.republish()
}

// crashesOf returns the crashes that a part has caused.
func (s *crashBed) crashesOf(part string) []crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool { return c.part != part })
}

// runsOf returns the runs of one request.
func (s *crashBed) runsOf(id string) []*run {
	return slices.DeleteFunc(s.allRuns(), func(r *run) bool { return r.request.Header.Get("Id") != id })
}

// runsWith returns the runs of requests that share a part.
func (s *crashBed) runsWith(part string) []*run {
	return slices.DeleteFunc(s.allRuns(), func(r *run) bool {
		return !slices.Contains(sharedParts(r.request.Header.Get("Parts")), part)
	})
}

// requests returns requests that arrive at random moments of a span, at a rate
// per second.
func (s *crashBed) requests(from, to time.Duration, rate float64, parts func() string) []arrival {
	var arrivals []arrival
	for {
		from += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if from >= to {
			return arrivals
		}
		path := "/stream/x"
		if s.random.IntN(4) == 0 {
			path = "/safe/x"
		}
		arrivals = append(arrivals, arrival{after: from, path: path, parts: parts()})
	}
}

// send sends one request and waits for the reply.
func (s *crashBed) send(id, path, parts string) *exchange {
	return s.sendArrival(id, arrival{path: path, parts: parts})
}

func (s *crashBed) sendArrival(id string, a arrival) *exchange {
	e := &exchange{arrival: a, id: id, at: time.Now()}
	method, body := cmp.Or(a.method, http.MethodPost), cmp.Or(a.body, a.parts)
	if method == http.MethodGet {
		body = ""
	}
	e.reply = s.call(method, a.path, headers(id, "Parts", a.parts), body)
	return e
}

// play sends requests at their moments and waits for all replies.
func (s *crashBed) play(arrivals []arrival) []*exchange {
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.after, b.after) })
	start := time.Now()
	exchanges := make([]*exchange, len(arrivals))
	tasks := make([]*rttask.Task, 0, len(arrivals))
	for i, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.after)))
		tasks = append(tasks, rttask.Start(s.t.Context(), "call", func(context.Context) error {
			exchanges[i] = s.sendArrival(fmt.Sprint("id-", i), a)
			return nil
		}))
	}
	for _, task := range tasks {
		if err := <-task.Done(); err != nil {
			s.t.Error(err)
		}
	}
	return exchanges
}

// has reports whether a part is among the shared parts of a request.
func (a *arrival) has(part string) bool { return slices.Contains(sharedParts(a.parts), part) }

// hasAny reports whether one of the parts is among those of a request.
func (a *arrival) hasAny(parts []string) bool { return slices.ContainsFunc(parts, a.has) }
