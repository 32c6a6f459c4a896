package rtgateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

const (
	// manyRequestCrashes is the crash of a request from which the platform counts.
	manyRequestCrashes = 3
	deadlyBody         = "deadly"
	deadlyLookup       = "/safe/deadly" // of a request without a body
)

// deadlyKinds are the kinds of requests that may crash each target that runs them.
var deadlyKinds = []struct {
	name    string
	request arrival
}{
	{"stream with parts", arrival{path: "/stream/x", parts: "first,subject1,own", body: deadlyBody}},
	{"stream with one part", arrival{path: "/stream/x", parts: "own", body: deadlyBody}},
	{"stream that runs once", arrival{path: "/once/x", parts: "first,subject1,own", body: deadlyBody}},
	{"safe", arrival{path: "/safe/x", parts: "own", body: deadlyBody}},
	{"safe without a body", arrival{path: deadlyLookup, parts: "own", method: http.MethodGet}},
	{"order", arrival{path: "/order/x", parts: "own", body: deadlyBody}},
}

// deadlyWhole returns how a request as a whole crashes targets, or an empty string.
func deadlyWhole(r *run) string {
	if string(r.body) == deadlyBody || r.request.URL.Path == deadlyLookup {
		return deadlyBody
	}
	return ""
}

func (e *exchange) deadly() bool { return e.body == deadlyBody || e.path == deadlyLookup }

// playDeadlyRequest sends sound requests for 24 s and from some moment on the deadly one
// again and again, up to three copies at a time. Sound ones have the same caller and
// parts in common, some the same path; a lookup without a body repeats itself.
func (s *crashBed) playDeadlyRequest(request arrival) []*exchange {
	const end = 24 * time.Second
	own := 0
	arrivals := s.requests(0, end, 20, func() string {
		own++
		return fmt.Sprintf("first,subject%d,own%d", s.random.IntN(6), own)
	})
	for i := range arrivals {
		arrivals[i].body = fmt.Sprint("sound ", i)
		if i%5 == 0 {
			arrivals[i] = arrival{after: arrivals[i].after, method: http.MethodGet, path: "/safe/status", parts: "own"}
		}
	}
	from := 4*time.Second + time.Duration(s.random.Int64N(int64(2*time.Second)))
	for copies := s.requests(from, end, 1, func() string { return "" }); len(copies) > 0; copies = copies[1:] {
		request.after = copies[0].after
		for range 1 + s.random.IntN(3) {
			arrivals = append(arrivals, request)
		}
	}
	return s.play(arrivals)
}

// withDeadlyRequests plays each kind of deadly request with some seeds.
func withDeadlyRequests(t *testing.T, check func(s *crashBed, exchanges []*exchange)) {
	for _, kind := range deadlyKinds {
		for seed := range uint64(crashSeeds) {
			t.Run(fmt.Sprint(kind.name, "/seed-", seed), func(t *testing.T) {
				withCrashBed(t, seed, nil, func(s *crashBed) { check(s, s.playDeadlyRequest(kind.request)) })
			})
		}
	}
}

// Guards against a request that crashes one target after the other because nothing
// connects its copies, which have other IDs.
func TestDeadlyRequestReachesFewTargets(t *testing.T) {
	withDeadlyRequests(t, func(s *crashBed, _ []*exchange) {
		crashes := s.crashesOf(deadlyBody)
		if len(crashes) < manyRequestCrashes {
			s.t.Fatalf("the request crashed %d targets, want %d or more", len(crashes), manyRequestCrashes)
		}
		bound := crashes[manyRequestCrashes-1].at.Add(stableWindow)
		later := slices.DeleteFunc(s.allRuns(), func(r *run) bool { return deadlyWhole(r) == "" || !r.at.After(bound) })
		if len(later) > maxLaterArrivals {
			s.t.Errorf("it reached targets %d times later than %v after its crash number %d, want at most %d; it crashed %d in all",
				len(later), stableWindow, manyRequestCrashes, maxLaterArrivals, len(crashes))
		}
	})
}

// Guards against a refusal of a deadly request that is late, names a delay after which
// the caller would send it again, or denies that it ran.
func TestDeadlyRequestIsRejectedAtOnce(t *testing.T) {
	withDeadlyRequests(t, func(s *crashBed, exchanges []*exchange) {
		latencySLO := newConfiguration(1).Routes[0].LatencySLO
		rejected := 0
		for _, e := range exchanges {
			if !e.deadly() || e.reply.status != http.StatusServiceUnavailable {
				continue
			}
			if runs := s.runsOf(e.id); len(runs) > 0 {
				s.t.Errorf("%s was refused as not run and sent: %s", e.id, describe(runs))
			}
			if !e.rejected() {
				continue
			}
			rejected++
			if e.reply.took > latencySLO/8 {
				s.t.Errorf("%s was rejected after %v, want at most %v", e.id, e.reply.took, latencySLO/8)
			}
		}
		if rejected == 0 {
			s.t.Error("no copy was rejected without Retry-After, want some")
		}
	})
}

// Guards against sound requests that are kept away because they look like a deadly one,
// share its parts, or were at targets that it crashed.
func TestSoundRequestsBesideDeadlyRequest(t *testing.T) {
	withDeadlyRequests(t, func(s *crashBed, exchanges []*exchange) {
		crashes := s.crashesOf(deadlyBody)
		if len(crashes) < manyRequestCrashes {
			s.t.Fatalf("the request crashed %d targets, want %d or more", len(crashes), manyRequestCrashes)
		}
		settled := crashes[manyRequestCrashes-1].at.Add(2 * stableWindow)
		for _, e := range exchanges {
			switch {
			case e.deadly():
			case e.rejected():
				s.t.Errorf("%s to %s at %v was rejected, want no sound request rejected", e.id, e.path, e.after)
			case e.at.After(settled) && e.reply.status != http.StatusOK:
				s.t.Errorf("%s to %s at %v got status %d and error %v, want an answer", e.id, e.path, e.after, e.reply.status, e.reply.err)
			}
		}
	})
}
