package rtgateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rthelper"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// refuseForHelper returns a script that refuses a request because of a helper.
func refuseForHelper(fault string) script {
	return func(c net.Conn, _ *run) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nNotrun: 1\r\nFault: %s\r\nContent-Length: 0\r\n\r\n", fault)
	}
}

// helpersOfRun returns the helpers of a request, each with its ticket.
func helpersOfRun(r *run) []string { return strings.Split(r.request.Header.Get("Helpers"), ",") }

// firstHelper returns the address of the first helper of a request with or without a
// ticket.
func firstHelper(r *run, ticket bool) string {
	for _, helper := range helpersOfRun(r) {
		if address, held, _ := strings.Cut(helper, "/"); (held != "") == ticket {
			return address
		}
	}
	return ""
}

// refuseFirst returns a script that refuses the first request because of a helper with or
// without a ticket, and answers others.
func refuseFirst(b *testbed, ticket bool) script {
	return func(c net.Conn, r *run) {
		if len(b.allRuns()) > 1 {
			answerOK(c, r)
			return
		}
		refuseForHelper(firstHelper(r, ticket))(c, r)
	}
}

// missingFrom returns the entries of a list that another one lacks.
func missingFrom(other, list []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(entry string) bool { return slices.Contains(other, entry) })
}

// Guards against an attempt that gives up its target, its other helpers and the memory
// reserved there because one helper has refused.
func TestHelperIsReplaced(t *testing.T) {
	tests := []struct {
		name   string
		size   string
		ticket bool // of the helper at fault
	}{{"helper", "100000", false}, {"helper beside memory", "330000", false}, {"helper with memory", "330000", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 40, func(b *testbed) {
				useEngineService(b)
				for _, target := range b.targets {
					target.set(refuseFirst(b, test.ticket))
				}
				got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", test.size), "")
				runs := b.allRuns()
				if got.status != http.StatusOK || len(runs) != 2 {
					t.Fatalf("got status %d after %d attempts, want 200 after 2", got.status, len(runs))
				}
				first, second := helpersOfRun(runs[0]), helpersOfRun(runs[1])
				if runs[0].target != runs[1].target || len(first) != len(second) || len(missingFrom(second, first)) != 1 {
					t.Errorf("sent to %s with %v, then to %s with %v, want the same but for one helper", runs[0].target.id, first, runs[1].target.id, second)
				}
				if lines := b.logged(`"replaced"="t`); len(lines) != 1 {
					t.Errorf("%d lines name the helper that took the place, want 1", len(lines))
				}
			})
		})
	}
}

// Guards against a request that fails because no other engine can take the part of a
// helper that refuses.
func TestRefusingHelperIsLeftOut(t *testing.T) {
	withTestbed(t, 4, func(b *testbed) {
		useEngineService(b)
		for _, target := range b.targets {
			target.set(refuseFirst(b, false))
		}
		got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "100000"), "")
		runs := b.allRuns()
		if got.status != http.StatusOK || len(runs) != 2 || runs[0].target != runs[1].target || len(missingFrom(helpersOfRun(runs[1]), helpersOfRun(runs[0]))) != 1 {
			t.Errorf("got status %d after %s, want 200 from the same target without the helper", got.status, describe(runs))
		}
	})
}

// Guards against memory that stays reserved when no attempt may follow the one in which a
// helper has refused.
func TestMemoryIsReleasedAfterHelperRefusals(t *testing.T) {
	for _, ticket := range []bool{false, true} {
		withTestbed(t, 40, func(b *testbed) {
			useEngineService(b)
			memory := &reservedMemory{until: make(map[string]time.Time)}
			for _, target := range b.targets {
				target.commandStatus = func(command string) int { memory.apply(command); return http.StatusOK }
				target.set(func(c net.Conn, r *run) {
					refuseForHelper(firstHelper(r, ticket))(c, r)
				})
			}
			got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000"), "")
			if got.status != http.StatusServiceUnavailable || len(b.allRuns()) != maxHelperRefusals {
				t.Errorf("got status %d after %d attempts, want 503 after %d", got.status, len(b.allRuns()), maxHelperRefusals)
			}
			time.Sleep(10 * time.Millisecond)
			if held := memory.tickets(); len(held) > 0 {
				t.Errorf("memory is reserved after the request: %v", held)
			}
			if load := b.gateway.LocalLoads(); len(load) > 0 {
				t.Errorf("load after the request: %v", load)
			}
		})
	}
}

// Guards against an engine that refuses to help for long, as while the store cannot say
// that it is draining, and is tried again every 3 s.
func TestRefusingHelperIsTriedLessOften(t *testing.T) {
	const length, interval = 20 * time.Second, 250 * time.Millisecond
	withTestbed(t, 8, func(b *testbed) {
		useEngineService(b)
		draining, refused := b.targets[1], 0
		for _, target := range b.targets {
			target.set(func(c net.Conn, r *run) {
				if target != draining && strings.Contains(r.request.Header.Get("Helpers"), string(draining.address)) {
					refused++
					refuseForHelper(string(draining.address))(c, r)
					return
				}
				answerOK(c, r)
			})
		}
		for i, start := 0, time.Now(); time.Since(start) < length; i++ {
			b.call(http.MethodPost, "/stream/x", headers(fmt.Sprint("id-", i), "Size", "100000"), "")
			time.Sleep(interval)
		}
		if refused == 0 || refused > 3 { // at the start, after 3 s and after 9 s
			t.Errorf("%d attempts were refused within %v, want 1 to 3", refused, length)
		}
	})
}

// Guards against a gateway that discovers by itself what a peer has reported, against
// reports that take all helpers away, and against ones of targets that are not published.
func TestReportedHelperRefusals(t *testing.T) {
	tests := []struct {
		name     string
		reported []rtid.Target
		others   bool // which do not help with the prompt
	}{{"engines with long prompts", []rtid.Target{"t0", "t1"}, true}, {"all", []rtid.Target{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"}, false}, {"not published", []rtid.Target{"x"}, false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 8, func(b *testbed) {
				useEngineService(b)
				var refusals []rthelper.Refusal
				for _, target := range test.reported {
					refusals = append(refusals, rthelper.Refusal{Target: rtid.TargetIncarnation{ID: target}, Remaining: time.Minute})
				}
				b.gateway.MergeHelperRefusals(refusals)
				if own := b.gateway.HelperRefusals(); len(own) > 0 {
					t.Errorf("reports %v of a peer as its own", own)
				}
				got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "150000"), "")
				if len(b.allRuns()) == 0 {
					t.Fatalf("got status %d without an attempt", got.status)
				}
				helpers := b.allRuns()[0].request.Header.Get("Helpers")
				if got.status != http.StatusOK || helpers == "" {
					t.Errorf("got status %d with helpers %q, want 200 with some", got.status, helpers)
				}
				for _, target := range b.targets {
					if test.others && slices.Contains(test.reported, target.id) && strings.Contains(helpers, string(target.address)+"/") {
						t.Errorf("helpers %q contain %s, which refuses", helpers, target.id)
					}
				}
			})
		})
	}
}
