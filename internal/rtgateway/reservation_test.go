package rtgateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// reservedMemory is the memory that engines have reserved, by ticket.
type reservedMemory struct {
	mu     sync.Mutex
	random *rand.Rand
	until  map[string]time.Time // end of the reservation
	lost   map[string]int       // releases of a ticket in a row without a reply
}

// maxLost limits the releases of a ticket in a row that get no reply: nothing
// could be released if all commands were lost.
const maxLost = 2

// apply executes a command.
func (m *reservedMemory) apply(command string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ticket string
	var tokens, ttl int64
	if n, _ := fmt.Sscanf(command, "reserve %s %d %d", &ticket, &tokens, &ttl); n == 3 {
		m.until[ticket] = time.Now().Add(time.Duration(ttl))
		return
	}
	if n, _ := fmt.Sscanf(command, "release %s", &ticket); n == 1 {
		delete(m.until, ticket)
	}
}

// tickets returns the tickets with memory reserved at this moment.
func (m *reservedMemory) tickets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var held []string
	for ticket, until := range m.until {
		if time.Now().Before(until) {
			held = append(held, ticket)
		}
	}
	return held
}

func (m *reservedMemory) draw(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

// answer draws what happens to a command: executed or not, at once or 2 s to 12 s
// later, with or without a reply.
func (m *reservedMemory) answer(command string) int {
	drawn := m.draw(8)
	if strings.HasPrefix(command, "release") && m.answered(command, drawn > 2) {
		m.apply(command)
		return http.StatusOK
	}
	switch drawn {
	case 0:
		return noAnswer
	case 1:
		m.apply(command)
		return noAnswer
	case 2:
		delay := time.Duration(2000+m.draw(10000)) * time.Millisecond
		time.AfterFunc(delay, func() { m.apply(command) })
		return noAnswer
	case 3:
		return http.StatusConflict
	}
	m.apply(command)
	return http.StatusOK
}

// answered counts a release and reports whether it gets a reply.
func (m *reservedMemory) answered(command string, drawn bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if drawn || m.lost[command] == maxLost {
		m.lost[command] = 0
		return true
	}
	m.lost[command]++
	return false
}

// Guards against unused memory that stays reserved longer than the operators
// of the engines allow, however commands and requests end, and against a
// ticket that two attempts use. Commands that are executed late may reserve
// memory again for less than the 2 s that count.
func TestReservationsEnd(t *testing.T) {
	const (
		seeds  = 150
		bound  = 4 * time.Second // after the last request that used the memory
		counts = 2 * time.Second // shorter reservations do not count
		slack  = 100 * time.Millisecond
		step   = 50 * time.Millisecond
	)
	for seed := range uint64(seeds) {
		withTestbed(t, 24, func(b *testbed) {
			useEngineService(b)
			memory := &reservedMemory{random: rand.New(rand.NewPCG(seed, 0)), until: make(map[string]time.Time), lost: make(map[string]int)}
			sendsByTicket := make(map[string]int)
			for _, target := range b.targets {
				target.commandStatus = memory.answer
				target.set(func(c net.Conn, r *run) {
					countTickets(b, r, sendsByTicket)
					scripts := []script{answerOK, refuseNotRun, neverAnswer, writeText(func(*run) string { return "" })}
					scripts[memory.draw(len(scripts))](c, r)
				})
			}
			b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000", "Remaining", "5s"), "")
			ended := time.Now()
			heldSince := make(map[string]time.Time) // when the current reservation of a ticket was first seen
			for time.Since(ended) < 25*time.Second {
				time.Sleep(step)
				now := make(map[string]time.Time)
				for _, ticket := range memory.tickets() {
					now[ticket] = time.Now()
					if firstSeen, ok := heldSince[ticket]; ok {
						now[ticket] = firstSeen
					}
					if time.Since(ended) > bound && time.Since(now[ticket]) > counts+slack {
						b.t.Errorf("seed %d: ticket %s has memory reserved %v after the request, for %v", seed, ticket, time.Since(ended), time.Since(now[ticket]))
					}
				}
				heldSince = now
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			for ticket, sends := range sendsByTicket {
				if sends > 1 {
					b.t.Errorf("seed %d: %d attempts with ticket %s, want 1", seed, sends, ticket)
				}
			}
		})
	}
}

// countTickets counts the attempts that use each ticket.
func countTickets(b *testbed, r *run, sendsByTicket map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for helper := range strings.SplitSeq(r.request.Header.Get("Helpers"), ",") {
		if _, ticket, _ := strings.Cut(helper, "/"); ticket != "" {
			sendsByTicket[ticket]++
		}
	}
}

// Guards against a reply to a memory command without end that delays the request
// or counts as memory reserved.
func TestEndlessCommandReplies(t *testing.T) {
	for _, status := range []int{endlessHead, endlessBody} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			withTestbed(t, 24, func(b *testbed) {
				useEngineService(b)
				for _, target := range b.targets {
					target.commandStatus = func(string) int { return status }
				}
				got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000", "Remaining", "5s"), "")
				if got.status != http.StatusServiceUnavailable || got.took > 5*time.Second {
					b.t.Errorf("got status %d after %v, want 503 within 5s", got.status, got.took)
				}
				if runs := b.allRuns(); len(runs) > 0 {
					b.t.Errorf("sent without reserved memory: %s", describe(runs))
				}
			})
		})
	}
}

// Guards against a reply that belongs to a request and counts as that to a memory
// command: the prompt would be sent without memory, or the memory would not be
// released.
func TestCommandRepliesOfRequests(t *testing.T) {
	withTestbed(t, 24, func(b *testbed) {
		useEngineService(b)
		for _, target := range b.targets {
			target.commandHeader = "Id: other\r\n"
		}
		got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000", "Remaining", "5s"), "")
		if got.status != http.StatusServiceUnavailable {
			b.t.Errorf("got status %d, want 503", got.status)
		}
		if runs := b.allRuns(); len(runs) > 0 {
			b.t.Errorf("sent without reserved memory: %s", describe(runs))
		}
		time.Sleep(2 * releaseRetryInterval)
		for _, target := range b.targets {
			target.mu.Lock()
			commands := target.commands
			target.mu.Unlock()
			if n := len(commands); n > 0 && (n < 3 || !strings.HasPrefix(commands[n-2], "release")) {
				b.t.Errorf("commands at %s are %q, want repeated releases", target.id, commands)
			}
		}
	})
}
