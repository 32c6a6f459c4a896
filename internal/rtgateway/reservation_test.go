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

// ledger is the memory that engines have set aside, by ticket.
type ledger struct {
	mu     sync.Mutex
	random *rand.Rand
	until  map[string]time.Time // end of the hold
	lost   map[string]int       // releases of a ticket in a row that had no answer
}

// maxLost bounds these; nothing can be released if all orders are lost.
const maxLost = 2

// apply carries an order out.
func (l *ledger) apply(order string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ticket string
	var tokens, hold int64
	if n, _ := fmt.Sscanf(order, "reserve %s %d %d", &ticket, &tokens, &hold); n == 3 {
		l.until[ticket] = time.Now().Add(time.Duration(hold))
		return
	}
	if n, _ := fmt.Sscanf(order, "release %s", &ticket); n == 1 {
		delete(l.until, ticket)
	}
}

// held returns the tickets that hold memory now.
func (l *ledger) held() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []string
	for ticket, until := range l.until {
		if time.Now().Before(until) {
			held = append(held, ticket)
		}
	}
	return held
}

func (l *ledger) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// order draws what becomes of an order: carried out or not, now or up to 12 s
// later, with or without an answer.
func (l *ledger) order(order string) int {
	drawn := l.draw(8)
	if strings.HasPrefix(order, "release") && l.answered(order, drawn > 2) {
		l.apply(order)
		return http.StatusOK
	}
	switch drawn {
	case 0:
		return noAnswer
	case 1:
		l.apply(order)
		return noAnswer
	case 2:
		late := time.Duration(2000+l.draw(10000)) * time.Millisecond
		time.AfterFunc(late, func() { l.apply(order) })
		return noAnswer
	case 3:
		return http.StatusConflict
	}
	l.apply(order)
	return http.StatusOK
}

// answered counts a release and reports whether it is answered.
func (l *ledger) answered(order string, drawn bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if drawn || l.lost[order] == maxLost {
		l.lost[order] = 0
		return true
	}
	l.lost[order]++
	return false
}

// Guards against memory that nobody uses and that stays set aside longer than
// engines' operators allow, whatever becomes of orders and requests, and
// against a ticket that two sends use. Orders that are carried out late may set
// memory aside again for less than the 2 s that count.
func TestReservationsEnd(t *testing.T) {
	const (
		seeds  = 150
		bound  = 4 * time.Second // after the last request that used the memory
		counts = 2 * time.Second // shorter stretches do not count
		slack  = 100 * time.Millisecond
		step   = 50 * time.Millisecond
	)
	for seed := range uint64(seeds) {
		inWorld(t, 24, func(w *world) {
			engineWorld(w)
			l := &ledger{random: rand.New(rand.NewPCG(seed, 0)), until: make(map[string]time.Time), lost: make(map[string]int)}
			used := make(map[string]int)
			for _, target := range w.targets {
				target.orderly = l.order
				target.set(func(c net.Conn, r *run) {
					countTickets(w, r, used)
					scripts := []script{answerWell, notRunning, hang, text(func(*run) string { return "" })}
					scripts[l.draw(len(scripts))](c, r)
				})
			}
			w.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000", "Left", "5s"), "")
			ended := time.Now()
			since := make(map[string]time.Time) // begin of the stretch in which a ticket is held
			for time.Since(ended) < 25*time.Second {
				time.Sleep(step)
				now := make(map[string]time.Time)
				for _, ticket := range l.held() {
					now[ticket] = time.Now()
					if began, ok := since[ticket]; ok {
						now[ticket] = began
					}
					if time.Since(ended) > bound && time.Since(now[ticket]) > counts+slack {
						w.t.Errorf("seed %d: %s is held %v after the request, for %v", seed, ticket, time.Since(ended), time.Since(now[ticket]))
					}
				}
				since = now
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			for ticket, sends := range used {
				if sends > 1 {
					w.t.Errorf("seed %d: %d sends with ticket %s", seed, sends, ticket)
				}
			}
		})
	}
}

// countTickets counts the sends that use each ticket.
func countTickets(w *world, r *run, used map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for helper := range strings.SplitSeq(r.request.Header.Get("Helpers"), ",") {
		if _, ticket, _ := strings.Cut(helper, "/"); ticket != "" {
			used[ticket]++
		}
	}
}
