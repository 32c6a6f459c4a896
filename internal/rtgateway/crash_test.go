package rtgateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const crashSeeds = 8

var deadlyParts = []string{"bad1", "bad2"}

// playDeadly sends sound requests for 30 s. Deadly ones with the same key, the
// same first part and others in common join them after some seconds.
func (s *crashBed) playDeadly() []*exchange {
	const (
		end        = 30 * time.Second
		soundRate  = 20.0
		deadlyRate = 2.0
	)
	own := 0
	parts := func(more string) func() string {
		return func() string {
			own++
			return fmt.Sprintf("first,subject%d%s,own%d", s.random.IntN(6), more, own)
		}
	}
	begin := 5*time.Second + time.Duration(s.random.Int64N(int64(3*time.Second)))
	share := 0.3 + 0.4*s.random.Float64()
	arrivals := s.requests(0, end, soundRate, parts(""))
	arrivals = append(arrivals, s.requests(begin, end, deadlyRate*share, parts(","+deadlyParts[0]))...)
	arrivals = append(arrivals, s.requests(begin, end, deadlyRate*(1-share), parts(","+deadlyParts[1]))...)
	return s.play(arrivals)
}

// withDeadlySeeds plays the series of every seed.
func withDeadlySeeds(t *testing.T, check func(s *crashBed, exchanges []*exchange)) {
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			withCrashBed(t, seed, deadlyParts, func(s *crashBed) { check(s, s.playDeadly()) })
		})
	}
}

// Guards against a part that goes on to crash targets after it has crashed many.
func TestDeadlyPartReachesFewTargets(t *testing.T) {
	withDeadlySeeds(t, func(s *crashBed, _ []*exchange) {
		for _, part := range deadlyParts {
			crashes := s.crashesOf(part)
			if len(crashes) == 0 {
				s.t.Errorf("%s crashed no target, want some", part)
			}
			if len(crashes) < manyCrashes {
				continue
			}
			later := slices.DeleteFunc(s.runsWith(part), func(r *run) bool { return !r.at.After(crashes[manyCrashes-1].at) })
			if len(later) > maxLaterArrivals {
				s.t.Errorf("%s reached targets %d times after its crash number %d, want at most %d; it crashed %d in all",
					part, len(later), manyCrashes, maxLaterArrivals, len(crashes))
			}
		}
	})
}

// Guards against sound requests that are not served because deadly ones share
// their key, their first part and other parts.
func TestSoundRequestsBesideDeadlyPart(t *testing.T) {
	withDeadlySeeds(t, func(s *crashBed, exchanges []*exchange) {
		var firstDeadly, settled time.Time // settled: the bound of the platform holds from here on
		for _, part := range deadlyParts {
			crashes := s.crashesOf(part)
			if len(crashes) == 0 {
				s.t.Fatalf("%s crashed no target, want some", part)
			}
			if firstDeadly.IsZero() || crashes[0].at.Before(firstDeadly) {
				firstDeadly = crashes[0].at
			}
			if after := crashes[min(len(crashes), manyCrashes)-1].at.Add(2 * stableWindow); after.After(settled) {
				settled = after
			}
		}
		far := settled.Add(time.Hour)
		before := begunShare(exchanges, time.Time{}, firstDeadly)
		during := begunShare(exchanges, firstDeadly, settled)
		after := begunShare(exchanges, settled, far)
		for _, later := range []share{during, after} {
			if later.sent < 20 || later.of() < before.of()/2 {
				s.t.Errorf("%d of %d sound requests began before the crashes, %d of %d during and %d of %d after, want 20 or more each time and at least half of the share before",
					before.begun, before.sent, during.begun, during.sent, after.begun, after.sent)
				return
			}
		}
	})
}

// share counts the requests whose answer began.
type share struct{ sent, begun int }

func (s share) of() float64 { return float64(s.begun) / float64(max(1, s.sent)) }

// begunShare counts the sound requests of a span.
func begunShare(exchanges []*exchange, from, to time.Time) share {
	var counted share
	for _, e := range exchanges {
		if e.hasAny(deadlyParts) || e.at.Before(from) || !e.at.Before(to) {
			continue
		}
		counted.sent++
		if e.begun() {
			counted.begun++
		}
	}
	return counted
}

// Guards against a deadly part that is rejected late, with a delay for a retry,
// or as not run although it was sent.
func TestDeadlyPartIsRejectedAtOnce(t *testing.T) {
	withDeadlySeeds(t, func(s *crashBed, exchanges []*exchange) {
		latencySLO := newConfiguration(1).Routes[0].LatencySLO
		rejected := make(map[string]int)
		for _, e := range exchanges {
			if !e.hasAny(deadlyParts) || e.reply.status != http.StatusServiceUnavailable {
				continue
			}
			if runs := s.runsOf(e.id); len(runs) > 0 {
				s.t.Errorf("%s was refused as not run and sent: %s", e.id, describe(runs))
			}
			if !e.rejected() {
				continue
			}
			rejected[sharedParts(e.parts)[2]]++
			// The platform takes nothing off for a time up to an eighth.
			if e.reply.took > latencySLO/8 {
				s.t.Errorf("%s was rejected after %v, want at most %v", e.id, e.reply.took, latencySLO/8)
			}
		}
		for _, part := range deadlyParts {
			due := s.sentAfterManyCrashes(exchanges, part)
			if rejected[part] == 0 || rejected[part] < due-maxLaterArrivals {
				s.t.Errorf("%d requests with %s rejected without Retry-After, want some and all but %d of %d", rejected[part], part, maxLaterArrivals, due)
			}
		}
	})
}

// sentAfterManyCrashes counts the requests with a part that callers sent after
// it had crashed many targets.
func (s *crashBed) sentAfterManyCrashes(exchanges []*exchange, part string) int {
	crashes := s.crashesOf(part)
	if len(crashes) < manyCrashes {
		return 0
	}
	sent := 0
	for _, e := range exchanges {
		if e.has(part) && e.at.After(crashes[manyCrashes-1].at) {
			sent++
		}
	}
	return sent
}

// occupy lets n requests with known parts run, on the paths in turn, and
// returns their tasks and exchanges.
func (s *crashBed) occupy(n int, paths ...string) ([]*rttask.Task, []*exchange) {
	tasks := make([]*rttask.Task, n)
	exchanges := make([]*exchange, n)
	for i := range n {
		tasks[i] = rttask.Start(s.t.Context(), "call", func(context.Context) error {
			exchanges[i] = s.send(fmt.Sprint("sound-", i), paths[i%len(paths)], fmt.Sprint("first,subject,own", i))
			return nil
		})
	}
	return tasks, exchanges
}

// learnSound lets requests with the parts of occupy succeed at every target.
func (s *crashBed) learnSound() {
	for i := range 3 * crashTargets {
		if e := s.send(fmt.Sprint("learn-", i), "/stream/x", fmt.Sprint("first,subject,learn", i)); !e.begun() {
			s.t.Fatalf("request without a fault got status %d, error %v", e.reply.status, e.reply.err)
		}
	}
}

// Guards against a request that crashes one target after the other because it
// is sent again after it was at a target that crashed.
func TestUnknownPartIsNotRepeatedAfterCrash(t *testing.T) {
	for seed := range uint64(crashSeeds) {
		for _, path := range []string{"/stream/x", "/safe/x"} {
			for _, others := range []int{0, 3 * crashTargets} {
				t.Run(fmt.Sprintf("seed-%d%s/beside %d", seed, path, others), func(t *testing.T) {
					withCrashBed(t, seed, deadlyParts, func(s *crashBed) { checkNotRepeated(s, path, others) })
				})
			}
		}
	}
}

// checkNotRepeated checks that a deadly request beside others runs once.
func checkNotRepeated(s *crashBed, path string, others int) {
	s.learnSound()
	tasks, _ := s.occupy(others, "/stream/x")
	e := s.send("deadly", path, "first,subject,bad1,own")
	for _, task := range tasks {
		if err := <-task.Done(); err != nil {
			s.t.Error(err)
		}
	}
	if runs := s.runsOf("deadly"); len(runs) != 1 {
		s.t.Errorf("sent %d times, want once: %s", len(runs), describe(runs))
	}
	if e.reply.status == http.StatusServiceUnavailable {
		s.t.Error("refused as not run, but it ran")
	}
}

// Guards against sound requests that fail because they were at a target that
// another request crashed.
func TestKnownPartsAreRepeatedAfterCrash(t *testing.T) {
	moments := []time.Duration{prefillTime / 2, prefillTime + 75*time.Millisecond}
	for seed := range uint64(crashSeeds) {
		for _, moment := range moments {
			t.Run(fmt.Sprintf("seed-%d/after %v", seed, moment), func(t *testing.T) {
				withCrashBed(t, seed, deadlyParts, func(s *crashBed) {
					s.learnSound()
					tasks, exchanges := s.occupy(3*crashTargets, "/stream/x", "/safe/x")
					time.Sleep(moment)
					s.crash(s.runsOf("sound-0")[0].target, "")
					for _, task := range tasks {
						if err := <-task.Done(); err != nil {
							t.Error(err)
						}
					}
					for _, e := range exchanges {
						if !e.whole() {
							t.Errorf("%s got status %d, body %q, error %v; want the whole answer", e.id, e.reply.status, e.reply.body, e.reply.err)
						}
					}
					if runs := s.runsOf("sound-0"); len(runs) != 2 {
						t.Errorf("request at the crashed target was sent %d times, want twice", len(runs))
					}
				})
			})
		}
	}
}

// Guards against parts that are rejected because they stood beside ordinary
// crashes: of single targets, of a whole zone twice, and failures of a grey
// target.
func TestOrdinaryCrashesQuarantineNothing(t *testing.T) {
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			withCrashBed(t, seed, nil, func(s *crashBed) {
				s.grey = s.targets[s.random.IntN(crashTargets)].address
				exchanges := s.play(s.ordinaryDay())
				s.grey = ""
				time.Sleep(s.maxDowntime)
				checkEveryPartServed(s, exchanges)
			})
		})
	}
}

// ordinaryDay schedules crashes and returns the requests. Those with a new
// shared part arrive just before each crash and just after it, before the first
// of them has succeeded.
func (s *crashBed) ordinaryDay() []arrival {
	const end = 40 * time.Second
	own := 0
	parts := func(middle string) string {
		own++
		return fmt.Sprintf("first,subject%d,%s,own%d", s.random.IntN(6), middle, own)
	}
	arrivals := s.requests(0, end, 20, func() string { return parts(fmt.Sprint("document", s.random.IntN(200))) })
	// Of five crashes the second and the fourth are those of a zone.
	for i := range 5 {
		at := time.Duration(4+7*i)*time.Second + time.Duration(s.random.Int64N(int64(2*time.Second)))
		for j := range 20 {
			after := at - prefillTime/2
			if j >= 16 {
				after = at + time.Duration(1+s.random.IntN(40))*time.Millisecond
			}
			arrivals = append(arrivals, arrival{after: after, path: "/stream/x", parts: parts(fmt.Sprint("new", i))})
		}
		members := []int{s.random.IntN(crashTargets)}
		if i%2 == 1 {
			members = []int{4, 5, 6, 7} // zone b
		}
		time.AfterFunc(at, func() {
			for _, member := range members {
				s.testbed.mu.Lock()
				target := s.targets[member]
				s.testbed.mu.Unlock()
				s.crash(target, "")
			}
		})
	}
	return arrivals
}

// checkEveryPartServed checks that a request with each part that was ever sent
// is served, and that none was rejected.
func checkEveryPartServed(s *crashBed, exchanges []*exchange) {
	var parts []string
	for _, e := range exchanges {
		if e.rejected() {
			s.t.Errorf("%s with parts %s was rejected without Retry-After", e.id, e.parts)
		}
		parts = append(parts, sharedParts(e.parts)...)
	}
	slices.Sort(parts)
	for _, part := range slices.Compact(parts) {
		if e := s.send("after-"+part, "/stream/x", part+",own"); !e.whole() {
			s.t.Errorf("request with %s got status %d and error %v after the crashes, want the whole answer", part, e.reply.status, e.reply.err)
		}
	}
}
