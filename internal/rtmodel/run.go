package rtmodel

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// Kind is one kind of request of a load.
type Kind struct {
	Name       string
	Rate       float64 // a second, before Load.Factor
	Tokens     float64 // mean length of a prompt
	Spread     float64 // standard deviation of its logarithm
	Most       rtid.Tokens
	Events     float64 // mean length of an answer
	LatencySLO time.Duration
	GapSLO     time.Duration
	Value      float64 // of an answer in time; a late one has a quarter of it
}

// Load is what callers send.
type Load struct {
	Kinds  []Kind
	Length time.Duration
	// Factor multiplies the rate of a kind at a time, by at most maxFactor; nil
	// for 1.
	Factor func(kind string, at time.Duration) float64
}

// Fleet is what serves it.
type Fleet struct {
	Engine   rtcatalog.Engine
	Engines  int
	Gateways int
	Report   time.Duration // age at which gateways learn of each other's placements
}

// Policy decides about one request. The time is when a request that is refused
// comes back.
type Policy interface {
	Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate, gateways int,
		now time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration)
}

// Result is what callers of one kind got.
type Result struct {
	Kind      string
	Asked     int
	InTime    int
	Late      int
	Refused   int
	Largest   int // of the largest tenth, asked
	LargestOK int // of these, served
	Firsts    []time.Duration
}

// Served returns the part of requests that was answered.
func (r Result) Served() float64 { return float64(r.InTime+r.Late) / float64(max(1, r.Asked)) }

// Report is the result of a run.
type Report struct {
	Results []Result
	Worth   float64 // value earned of the value asked
}

// epoch is the wall clock at the start of a run.
var epoch = time.Unix(1_000_000, 0)

// maxFactor is the most that a load may be multiplied by.
const maxFactor = 8

// step is how often waiting requests are decided about again.
const step = 40 * time.Millisecond

// Run plays a load.
func Run(fleet Fleet, load Load, policy func() Policy, seed uint64) Report {
	r := &runner{fleet: fleet, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range fleet.Engines {
		instance := &rtcatalog.Instance{ID: rtid.Target(fmt.Sprint("engine-", i)), Slots: fleet.Engine.Slots}
		r.engines = append(r.engines, &engine{costs: &fleet.Engine, instance: instance})
	}
	for range max(1, fleet.Gateways) {
		r.gateways = append(r.gateways, &gateway{policy: policy()})
	}
	r.draw(load)
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.report(load)
}

// gateway is one modelled gateway.
type gateway struct {
	policy Policy
	book   rtplacement.LoadTracker
}

// runner is the state of a run.
type runner struct {
	fleet    Fleet
	random   *rand.Rand
	now      time.Duration
	events   queue
	number   uint64
	engines  []*engine
	gateways []*gateway
	requests []*request
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	number uint64 // keeps events of one moment in order
	do     func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].number, q[j].number)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// at schedules something.
func (r *runner) at(t time.Duration, do func()) {
	r.number++
	heap.Push(&r.events, event{at: t, number: r.number, do: do})
}

// draw makes the arrivals.
func (r *runner) draw(load Load) {
	for k := range load.Kinds {
		kind := &load.Kinds[k]
		for at := time.Duration(0); ; {
			// Arrivals at the highest rate, of which those are kept that the rate
			// at their time allows.
			at += time.Duration(r.random.ExpFloat64() / (maxFactor * kind.Rate) * float64(time.Second))
			if at >= load.Length {
				break
			}
			if load.Factor != nil && r.random.Float64()*maxFactor >= load.Factor(kind.Name, at) ||
				load.Factor == nil && r.random.Float64()*maxFactor >= 1 {
				continue
			}
			tokens := rtid.Tokens(kind.Tokens * math.Exp(kind.Spread*r.random.NormFloat64()-kind.Spread*kind.Spread/2))
			request := &request{
				kind: kind, arrived: at, tried: at, gateway: r.random.IntN(len(r.gateways)),
				steps: 1 + int(r.random.ExpFloat64()*(kind.Events-1)),
				work:  rtplacement.Work{Prompt: min(max(1, tokens), kind.Most), Output: 1000, LatencySLO: kind.LatencySLO, GapSLO: kind.GapSLO},
			}
			route := rtcatalog.Route{LatencySLO: kind.LatencySLO, GapSLO: kind.GapSLO}
			request.work.AbandonTimeout = route.AbandonTimeout()
			r.requests = append(r.requests, request)
			r.at(at, func() { r.decide(request) })
		}
	}
	if r.fleet.Report > 0 && len(r.gateways) > 1 {
		for at := time.Duration(0); at < load.Length+30*time.Second; at += r.fleet.Report {
			r.at(at, r.exchange)
		}
	}
}

// exchange tells each gateway what the others have placed.
func (r *runner) exchange() {
	now := epoch.Add(r.now)
	for i, from := range r.gateways {
		loads := from.book.LocalLoads(now)
		for j, to := range r.gateways {
			if i != j {
				to.book.SetPeerLoads(rtid.VM(fmt.Sprint("gateway-", i)), loads, now)
			}
		}
	}
}

// decide decides about a request, and again later if it waits.
func (r *runner) decide(q *request) {
	gateway := r.gateways[q.gateway]
	now := epoch.Add(r.now)
	work := q.work
	work.Waited = r.now - q.tried
	candidates := make([]rtplacement.Candidate, 0, len(r.engines))
	for i, e := range r.engines {
		candidates = append(candidates, rtplacement.Candidate{
			Instance: e.instance, Load: gateway.book.Load(e.instance.ID, now), Hash: uint32(i), TieBreak: r.random.Uint32(),
		})
	}
	choice, decision, comeBack := gateway.policy.Decide(&r.fleet.Engine, work, candidates, len(r.gateways), now)
	switch decision {
	case rtplacement.Refuse:
		r.refuse(q, comeBack)
	case rtplacement.Wait:
		r.at(r.now+step, func() { r.decide(q) })
	default:
		q.flight = gateway.book.Start(choice, work, now)
		r.send(q, choice)
	}
}

// refuse refuses a request. Its caller comes back once.
func (r *runner) refuse(q *request, comeBack time.Duration) {
	if q.back {
		q.refused, q.ended = true, true
		return
	}
	q.back = true
	r.at(r.now+comeBack, func() {
		q.tried = r.now
		r.decide(q)
	})
}

// send gives a request to its engines.
func (r *runner) send(q *request, choice rtplacement.Placement) {
	q.sent = true
	q.share = 1 + len(choice.Helpers)
	q.parts = q.share
	work := rtplacement.PrefillTime(&r.fleet.Engine, q.work.Prompt, q.share)
	for _, e := range r.engines {
		switch {
		case e.instance == choice.Target:
			q.target = e
			e.waiting = append(e.waiting, q)
		case slices.Contains(choice.Helpers, e.instance):
			e.queue = append(e.queue, part{request: q, work: work})
		default:
			continue
		}
		r.pass(e)
	}
	r.at(q.tried+q.work.AbandonTimeout, func() { r.leave(q) })
}

// leave ends a request whose caller has waited for its first event in vain.
func (r *runner) leave(q *request) {
	if q.first > 0 || q.ended {
		return
	}
	q.ended = true
	r.gateways[q.gateway].book.Finish(q.flight)
}

// pass starts a pass of an engine that is idle.
func (r *runner) pass(e *engine) {
	if e.running {
		return
	}
	length := e.begin()
	if length == 0 {
		return
	}
	r.at(r.now+length, func() {
		read, ended := e.end(r.now)
		for _, q := range read {
			r.read(q)
		}
		for _, q := range ended {
			r.gateways[q.gateway].book.Finish(q.flight)
		}
		e.running = false
		r.pass(e)
	})
}

// read lets a request write whose prompt has been read.
func (r *runner) read(q *request) {
	if q.ended {
		return
	}
	r.gateways[q.gateway].book.PrefillDone(q.flight)
	q.target.writers = append(q.target.writers, q)
	r.pass(q.target)
}

// report sums up.
func (r *runner) report(load Load) Report {
	var report Report
	var earned, asked float64
	for k := range load.Kinds {
		kind := &load.Kinds[k]
		result := Result{Kind: kind.Name}
		var mine []*request
		for _, q := range r.requests {
			if q.kind == kind {
				mine = append(mine, q)
			}
		}
		slices.SortFunc(mine, func(a, b *request) int { return cmp.Compare(b.work.Prompt, a.work.Prompt) })
		for i, q := range mine {
			value := kind.Value * min(4, 0.3+0.7*float64(q.work.Prompt)/kind.Tokens)
			asked += value
			result.Asked++
			served := q.first > 0 && !q.refused
			switch {
			case !served:
				result.Refused++
			case q.first <= kind.LatencySLO && q.pause <= kind.GapSLO:
				result.InTime++
				earned += value
			default:
				result.Late++
				earned += value / 4
			}
			if i < len(mine)/10 {
				result.Largest++
				if served {
					result.LargestOK++
				}
			}
			if served {
				result.Firsts = append(result.Firsts, q.first)
			}
		}
		slices.Sort(result.Firsts)
		report.Results = append(report.Results, result)
	}
	report.Worth = earned / max(asked, 1e-9)
	return report
}
