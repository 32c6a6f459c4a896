package rtshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	service  rtid.Service = "talk"
	slo                   = 4 * time.Second
	step                  = 40 * time.Millisecond
	exchange              = 920 * time.Millisecond
	allowed               = 300 * time.Millisecond // backlog up to which requests are sent
	cost                  = time.Second            // engine time of one request
	engines               = 60
)

// source is an organisation that sends requests at a rate that depends on the time.
type source struct {
	name    rtid.Organisation
	rate    func(at time.Duration) float64 // requests per second
	returns bool                           // sends a refused request again at once
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// tally counts the requests of an organisation.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// fleet is a deployment of gateways that share engines without a network.
type fleet struct {
	random   *rand.Rand
	shares   bool // the part is on
	gateways []*gateway
	backlog  time.Duration // at each engine
	tallies  map[rtid.Organisation]*tally
	order    []rtid.Organisation // of the requests that were sent
	holds    int
	idle     int // steps in which engines were idle while requests waited
}

type gateway struct {
	ledger  Ledger
	queue   Queue
	waiting []*request
	said    time.Duration
	lost    func(at time.Duration) bool
}

type request struct {
	Waiter
	source  source
	arrived time.Duration
	first   bool // it was not refused before
}

func newFleet(shares bool, gateways int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), shares: shares, tallies: make(map[rtid.Organisation]*tally)}
	for i := range gateways {
		f.gateways = append(f.gateways, &gateway{said: time.Duration(i) * exchange / time.Duration(gateways)})
	}
	return f
}

func equal(rtid.Organisation) float64 { return 1 }

// run plays sources for a time, and then goes on until no request waits.
func (f *fleet) run(sources []source, length time.Duration) {
	start := time.Unix(1_800_000_000, 0)
	due := make([]float64, len(sources))
	for i := range due {
		due[i] = f.random.Float64()
	}
	for at := time.Duration(0); at < length+slo; at += step {
		if f.backlog < step && slices.ContainsFunc(f.gateways, func(g *gateway) bool { return len(g.waiting) > 0 }) {
			f.idle++
		}
		f.backlog = max(0, f.backlog-step)
		now := start.Add(at)
		for i, s := range sources {
			if at >= length {
				break
			}
			for due[i] += s.rate(at) * step.Seconds(); due[i] >= 1; due[i]-- {
				if f.tallies[s.name] == nil {
					f.tallies[s.name] = &tally{}
				}
				f.tallies[s.name].sent++
				f.arrive(s, at, now, true)
			}
		}
		if f.shares {
			f.exchange(at, now)
		}
		for _, i := range f.random.Perm(len(f.gateways)) {
			f.try(f.gateways[i], at, now)
		}
	}
}

func (f *fleet) arrive(s source, at time.Duration, now time.Time, first bool) {
	g := f.gateways[f.random.IntN(len(f.gateways))]
	r := &request{Waiter: Waiter{Organisation: s.name, Arrived: now}, source: s, arrived: at, first: first}
	g.waiting = append(g.waiting, r)
	g.queue.Join(&r.Waiter)
}

func (f *fleet) exchange(at time.Duration, now time.Time) {
	for i, g := range f.gateways {
		if at < g.said || g.lost != nil && g.lost(at) {
			continue
		}
		g.said += exchange
		uses, scarce := g.ledger.Report(MaxReported, now), g.ledger.ScarceHere(now)
		for j, other := range f.gateways {
			if i != j && (other.lost == nil || !other.lost(at)) {
				other.ledger.SetPeer(rtid.VM(fmt.Sprint(i)), uses, scarce, now)
			}
		}
	}
}

// try tries the waiting requests of a gateway in their order.
func (f *fleet) try(g *gateway, at time.Duration, now time.Time) {
	if !f.shares {
		for _, r := range slices.Clone(g.waiting) {
			f.tryOne(g, r, at, now)
		}
		return
	}
	next := g.queue.Begin(now, func(o rtid.Organisation) Standing { return g.ledger.Snapshot(service, equal, now).Of(o, 1) })
	for next != nil {
		i := slices.IndexFunc(g.waiting, func(r *request) bool { return &r.Waiter == next })
		next = f.tryOne(g, g.waiting[i], at, now)
	}
}

// tryOne decides about one request as a gateway does, and returns the next one.
func (f *fleet) tryOne(g *gateway, r *request, at time.Duration, now time.Time) *Waiter {
	waited := at - r.arrived
	leave := func() *Waiter {
		g.waiting = slices.DeleteFunc(g.waiting, func(other *request) bool { return other == r })
		return g.queue.Leave(&r.Waiter, now)
	}
	predicted := f.backlog + cost/4
	if f.backlog > allowed {
		if waited+predicted > slo*85/100 {
			g.ledger.Lack(service, r.Organisation, now)
			next := leave()
			if r.source.returns {
				f.arrive(r.source, at, now, false)
			}
			return next
		}
		g.ledger.Lack(service, r.Organisation, now)
		r.Lacking = true
		return g.queue.Tried(&r.Waiter, now)
	}
	standing := g.ledger.Snapshot(service, equal, now).Of(r.Organisation, 1)
	offer := Offer{Waited: waited, LatestSLO: slo*85/100 - predicted - step, Backlog: f.backlog, Allowed: allowed}
	if f.shares && g.ledger.Scarce(service, now) && standing.Over() && Hold(offer, g.queue.OthersWait(&r.Waiter)) {
		f.holds++
		r.Lacking = false
		return g.queue.Tried(&r.Waiter, now)
	}
	g.ledger.Add(service, r.Organisation, cost, now)
	f.backlog += cost / engines
	f.order = append(f.order, r.Organisation)
	f.tallies[r.Organisation].served++
	return leave()
}

func (f *fleet) total() tally {
	var sum tally
	for _, t := range f.tallies {
		sum.sent += t.sent
		sum.served += t.served
	}
	return sum
}

// quiet returns organisations that each send at a rate.
func quiet(count int, rate float64) []source {
	var sources []source
	for i := range count {
		sources = append(sources, source{name: rtid.Organisation(fmt.Sprint("q", i)), rate: constant(rate)})
	}
	return sources
}

// Guards against organisations that lose what is theirs to a noisy one, against one that
// is starved, and against requests that are refused because others were held back. The
// engines finish 60 requests a second.
func TestLoadPatterns(t *testing.T) {
	const length = 20 * time.Second
	during := func(from, to time.Duration, rate, otherwise float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= from && at < to {
				return rate
			}
			return otherwise
		}
	}
	swing := func(phase time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if (at+phase)/(2*time.Second)%2 == 0 {
				return 90
			}
			return 5
		}
	}
	noisy := func(rate func(time.Duration) float64) source { return source{name: "noisy", rate: rate} }
	tests := []struct {
		name     string
		sources  []source
		watched  string  // prefix of the organisations within their share
		atLeast  float64 // served part of each of them
		gateways int
	}{
		{"one at ten times its share", append(quiet(9, 5), noisy(constant(60))), "q", 0.95, 46},
		{"one at ten times its share, one gateway", append(quiet(9, 5), noisy(constant(60))), "q", 0.95, 1},
		{"all over their shares", quiet(10, 12), "q", 0.35, 46},
		{"a noisy one that stops", append(quiet(9, 5), noisy(during(4*time.Second, 8*time.Second, 200, 2))), "q", 0.95, 46},
		{"shares that swing", append(quiet(5, 2), noisy(swing(0)), source{name: "other", rate: swing(2 * time.Second)}), "q", 0.95, 46},
		{"a new key in a storm", append(quiet(1, 5), source{name: "new", rate: during(10*time.Second, length, 2, 0)}, noisy(constant(150))), "new", 0.95, 46},
		{"220 organisations, three are large", append(quiet(217, 0.1), noisy(constant(40)), source{name: "large", rate: constant(40)}, source{name: "third", rate: constant(40)}), "q", 0.95, 46},
		{"a noisy one that returns at once", append(quiet(9, 5), source{name: "noisy", rate: constant(60), returns: true}), "q", 0.95, 46},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before, after := newFleet(false, test.gateways), newFleet(true, test.gateways)
			before.run(test.sources, length)
			after.run(test.sources, length)
			worstBefore, worst := 1.0, 1.0
			for name, tallied := range after.tallies {
				if strings.HasPrefix(string(name), test.watched) {
					worst = min(worst, tallied.share())
					worstBefore = min(worstBefore, before.tallies[name].share())
				}
				if tallied.sent >= 20 && tallied.share() < after.total().share()/4 {
					t.Errorf("%s is starved: served %.2f of it, %.2f of all", name, tallied.share(), after.total().share())
				}
			}
			t.Logf("served %.3f before, %.3f with shares; the worst within its share %.2f before, %.2f with shares; %d holds",
				before.total().share(), after.total().share(), worstBefore, worst, after.holds)
			if worst < test.atLeast {
				t.Errorf("an organisation within its share has %.2f served, want %.2f", worst, test.atLeast)
			}
			// A request that was refused had to leave its room to another one.
			if after.idle > before.idle {
				t.Errorf("engines were idle in %d steps while requests waited, in %d without the part", after.idle, before.idle)
			}
			// Sharing moves room between organisations, so about as many requests must be
			// served in all.
			if served, want := after.total().served, before.total().served*98/100; served < want {
				t.Errorf("served %d requests, %d without the part", served, before.total().served)
			}
		})
	}
}

// Guards against decisions that change in calm.
func TestCalm(t *testing.T) {
	before, after := newFleet(false, 46), newFleet(true, 46)
	sources := append(quiet(9, 1), source{name: "large", rate: constant(40)})
	before.run(sources, 10*time.Second)
	after.run(sources, 10*time.Second)
	if after.holds != 0 || !slices.Equal(before.order, after.order) {
		t.Errorf("%d holds, %d and %d requests sent", after.holds, len(before.order), len(after.order))
	}
}
