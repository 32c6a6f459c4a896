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
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// Kind is one kind of request of a workload.
type Kind struct {
	Name            string
	Rate            float64 // per second, before Workload.RateFactor
	MeanPrompt      float64 // tokens
	PromptLogStdDev float64 // standard deviation of the logarithm of the prompt length
	MaxPrompt       rtid.Tokens
	MeanEvents      float64 // per answer
	LatencySLO      time.Duration
	GapSLO          time.Duration
	Value           float64 // of an answer within the SLOs to a mean prompt; a late answer earns a quarter
}

// Workload is the requests that callers send.
type Workload struct {
	Kinds    []Kind
	Duration time.Duration
	// RateFactor multiplies the rate of a kind at a time, by at most maxFactor;
	// nil for a factor of 1.
	RateFactor func(kind string, at time.Duration) float64
}

// Fleet is the engines and gateways that serve a workload.
type Fleet struct {
	Engine         rtcatalog.Engine
	Engines        int
	Gateways       int
	ReportInterval time.Duration // between two exchanges of loads among the gateways
	// NewsDelay is how long the news of a long part takes to reach the other gateways;
	// 0 if they learn of it with the next exchange only.
	NewsDelay time.Duration
	// SendLimit is how many requests an engine may get in one second from all gateways
	// together, because it may be cold; 0 for no limit. Each gateway has a part of it.
	SendLimit int
	// OtherGateways also have parts of SendLimit, but send nothing: those of other cells.
	OtherGateways int
}

// Policy decides about one request. The duration is the retry delay of a
// refused request.
type Policy interface {
	Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate, gateways int,
		now time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration)
}

// Observer is a Policy that learns from the first events of requests.
type Observer interface {
	// Observe reports the time from the send of a request to its first event.
	Observe(work rtplacement.Work, placement rtplacement.Placement, firstEvent time.Duration, now time.Time)
}

// Result is the result for the requests of one kind.
type Result struct {
	Kind            string
	Requests        int
	InTime          int             // answered within the SLOs
	Late            int             // answered outside the SLOs
	Refused         int             // refused or abandoned
	LargestRequests int             // requests of the tenth with the longest prompts
	LargestServed   int             // of these, answered
	ValueShare      float64         // earned value over the value of all requests of the kind
	LargestShare    float64         // the same of the tenth with the longest prompts
	FirstEvents     []time.Duration // times to the first event, sorted
}

// ServedShare returns the part of the requests that was answered.
func (r Result) ServedShare() float64 { return float64(r.InTime+r.Late) / float64(max(1, r.Requests)) }

// Report is the result of a run.
type Report struct {
	Results     []Result
	ValueShare  float64 // earned value over the value of all requests
	WorstClass  float64 // value share of the kind, or of the largest tenth of a kind, that has the least
	WorstWindow float64 // mean value share of the two spans of reportWindow that have the least
}

// reportWindow is the length of the spans of Report.WorstWindow.
const reportWindow = 5 * time.Second

// Worth weighs the parts of a report as the operators do.
func (r Report) Worth() float64 {
	return 0.6*r.ValueShare + 0.25*r.WorstWindow + 0.15*r.WorstClass
}

// epoch is the virtual time at the start of a run.
var epoch = time.Unix(1_000_000, 0)

// maxFactor is the greatest value of Workload.RateFactor.
const maxFactor = 8

// admitInterval is how often the placement of a waiting request is tried
// again.
const admitInterval = 40 * time.Millisecond

// Run simulates a workload.
func Run(fleet Fleet, workload Workload, policy func() Policy, seed uint64) Report {
	s := &simulation{fleet: fleet, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range fleet.Engines {
		instance := &rtcatalog.Instance{ID: rtid.Target(fmt.Sprint("engine-", i)), Slots: fleet.Engine.Slots}
		s.engines = append(s.engines, &engine{costs: &fleet.Engine, instance: instance})
	}
	for range max(1, fleet.Gateways) {
		s.gateways = append(s.gateways, &gateway{policy: policy(), sends: make(map[*engine]*rtlimit.Window)})
	}
	s.divideSendLimit()
	s.drawArrivals(workload)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.do()
	}
	return s.report(workload)
}

// gateway is a simulated gateway.
type gateway struct {
	policy Policy
	loads  rtplacement.LoadTracker
	parts  map[*engine]int // of Fleet.SendLimit; nil for no limit
	sends  map[*engine]*rtlimit.Window
}

// maySend reports whether one more request to an engine is within the part of the
// gateway.
func (g *gateway) maySend(e *engine, now time.Time) bool {
	return g.parts == nil || g.sendsTo(e).CountWithin(time.Second, now) < g.parts[e]
}

func (g *gateway) sendsTo(e *engine) *rtlimit.Window {
	if g.sends[e] == nil {
		g.sends[e] = &rtlimit.Window{Span: rtlimit.TargetWindow}
	}
	return g.sends[e]
}

// divideSendLimit gives each gateway its part of the requests to each engine, as the
// gateways do by hash.
func (s *simulation) divideSendLimit() {
	if s.fleet.SendLimit == 0 {
		return
	}
	processes := len(s.gateways) + s.fleet.OtherGateways
	for _, g := range s.gateways {
		g.parts = make(map[*engine]int)
	}
	for _, e := range s.engines {
		for rank, i := range s.random.Perm(processes) {
			if i < len(s.gateways) {
				s.gateways[i].parts[e] = rtlimit.Share{Rank: rank, Processes: processes}.Part(s.fleet.SendLimit)
			}
		}
	}
}

// simulation is the state of a run.
type simulation struct {
	fleet    Fleet
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence uint64
	engines  []*engine
	gateways []*gateway
	requests []*request
}

// timedEvent is an action at a time.
type timedEvent struct {
	at       time.Duration
	sequence uint64 // orders events at the same time
	do       func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule adds an action at a time.
func (s *simulation) schedule(t time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, timedEvent{at: t, sequence: s.sequence, do: do})
}

// drawArrivals schedules the arrivals of all requests and the exchanges of
// loads.
func (s *simulation) drawArrivals(workload Workload) {
	for k := range workload.Kinds {
		kind := &workload.Kinds[k]
		for at := time.Duration(0); ; {
			// Thinning: draw arrivals at the greatest rate, and keep each with a
			// probability of the rate at its time over the greatest rate.
			at += time.Duration(s.random.ExpFloat64() / (maxFactor * kind.Rate) * float64(time.Second))
			if at >= workload.Duration {
				break
			}
			if workload.RateFactor != nil && s.random.Float64()*maxFactor >= workload.RateFactor(kind.Name, at) ||
				workload.RateFactor == nil && s.random.Float64()*maxFactor >= 1 {
				continue
			}
			tokens := rtid.Tokens(kind.MeanPrompt * math.Exp(kind.PromptLogStdDev*s.random.NormFloat64()-kind.PromptLogStdDev*kind.PromptLogStdDev/2))
			request := &request{
				kind: kind, arrived: at, sentAt: at, gateway: s.random.IntN(len(s.gateways)),
				remainingPasses: 1 + int(s.random.ExpFloat64()*(kind.MeanEvents-1)),
				work:            rtplacement.Work{Prompt: min(max(1, tokens), kind.MaxPrompt), Output: 1000, LatencySLO: kind.LatencySLO, GapSLO: kind.GapSLO},
			}
			route := rtcatalog.Route{LatencySLO: kind.LatencySLO, GapSLO: kind.GapSLO}
			request.work.AbandonTimeout = route.AbandonTimeout()
			s.requests = append(s.requests, request)
			s.schedule(at, func() { s.decide(request) })
		}
	}
	if s.fleet.ReportInterval > 0 && len(s.gateways) > 1 {
		for at := time.Duration(0); at < workload.Duration+30*time.Second; at += s.fleet.ReportInterval {
			s.schedule(at, s.exchangeLoads)
		}
	}
}

// exchangeLoads gives each gateway the loads of the others.
func (s *simulation) exchangeLoads() {
	for i := range s.gateways {
		s.announce(i)
	}
}

// announce gives the loads of a gateway to the others.
func (s *simulation) announce(from int) {
	now := epoch.Add(s.now)
	loads := s.gateways[from].loads.LocalLoads(now)
	name := rtid.VM(fmt.Sprint("gateway-", from))
	for i, to := range s.gateways {
		if i != from {
			to.loads.SetPeerLoads(name, loads, now)
		}
	}
}

// decide decides about a request, and again later if it waits.
func (s *simulation) decide(q *request) {
	gateway := s.gateways[q.gateway]
	now := epoch.Add(s.now)
	work := q.work
	work.Waited = s.now - q.sentAt
	candidates := make([]rtplacement.Candidate, 0, len(s.engines))
	for i, e := range s.engines {
		candidates = append(candidates, rtplacement.Candidate{
			Instance: e.instance, Load: gateway.loads.Load(e.instance.ID, now), Hash: uint32(i), TieBreak: s.random.Uint32(),
			HelperOnly: !gateway.maySend(e, now),
		})
	}
	placement, decision, retryAfter := gateway.policy.Decide(&s.fleet.Engine, work, candidates, len(s.gateways), now)
	switch decision {
	case rtplacement.Refuse:
		s.refuse(q, retryAfter)
	case rtplacement.Wait:
		s.schedule(s.now+admitInterval, func() { s.decide(q) })
	default:
		q.inFlight = gateway.loads.Start(placement, work, now)
		q.placement, q.placedAt = placement, s.now
		for _, e := range s.engines {
			if e.instance == placement.Target {
				gateway.sendsTo(e).Add(now)
			}
		}
		if s.fleet.NewsDelay > 0 && placement.PartPrefill >= announcedPart {
			s.schedule(s.now+s.fleet.NewsDelay, func() { s.announce(q.gateway) })
		}
		s.send(q, placement)
	}
}

// announcedPart is the prefill time from which gateways tell one another of a part at
// once.
const announcedPart = 60 * time.Millisecond

// refuse refuses a request. Its caller sends it again once.
func (s *simulation) refuse(q *request, retryAfter time.Duration) {
	if q.retried {
		q.refused, q.ended = true, true
		return
	}
	q.retried = true
	s.schedule(s.now+retryAfter, func() {
		q.sentAt = s.now
		s.decide(q)
	})
}

// send adds a request to the queues of its engines.
func (s *simulation) send(q *request, placement rtplacement.Placement) {
	q.sent = true
	q.partCount = 1 + len(placement.Helpers)
	q.pendingParts = q.partCount
	prefill := rtplacement.PrefillTime(&s.fleet.Engine, q.work.Prompt, q.partCount)
	for _, e := range s.engines {
		switch {
		case e.instance == placement.Target:
			q.target = e
			e.waiting = append(e.waiting, q)
		case slices.Contains(placement.Helpers, e.instance):
			e.prefillQueue = append(e.prefillQueue, part{request: q, prefill: prefill})
		default:
			continue
		}
		s.startPass(e)
	}
	s.schedule(q.sentAt+q.work.AbandonTimeout, func() { s.abandon(q) })
}

// abandon ends a request whose caller has waited for the first event for its
// abandon timeout.
func (s *simulation) abandon(q *request) {
	if q.firstEvent > 0 || q.ended {
		return
	}
	q.ended = true
	s.gateways[q.gateway].loads.Finish(q.inFlight)
}

// startPass starts a pass of an engine unless one is running.
func (s *simulation) startPass(e *engine) {
	if e.running {
		return
	}
	duration := e.beginPass()
	if duration == 0 {
		return
	}
	s.schedule(s.now+duration, func() {
		prefilled, began, ended := e.endPass(s.now)
		for _, q := range began {
			s.observe(q)
		}
		for _, q := range prefilled {
			s.startDecoding(q)
		}
		for _, q := range ended {
			s.gateways[q.gateway].loads.Finish(q.inFlight)
		}
		e.running = false
		s.startPass(e)
	})
}

// observe tells the policy of a request's gateway of its first event.
func (s *simulation) observe(q *request) {
	if observer, ok := s.gateways[q.gateway].policy.(Observer); ok {
		observer.Observe(q.work, q.placement, s.now-q.placedAt, epoch.Add(s.now))
	}
}

// startDecoding starts the decoding of a request whose prompt is prefilled.
func (s *simulation) startDecoding(q *request) {
	if q.ended {
		return
	}
	s.gateways[q.gateway].loads.PrefillDone(q.inFlight)
	q.target.decoding = append(q.target.decoding, q)
	s.startPass(q.target)
}

// value is earned and offered value.
type value struct{ earned, offered float64 }

func (v *value) add(q *request) {
	worth := q.kind.Value * min(4, 0.3+0.7*float64(q.work.Prompt)/q.kind.MeanPrompt)
	v.offered += worth
	switch {
	case !q.served():
	case q.inTime():
		v.earned += worth
	default:
		v.earned += worth / 4
	}
}

func (v *value) share() float64 { return v.earned / max(v.offered, 1e-9) }

func (q *request) served() bool { return q.firstEvent > 0 && !q.refused }

func (q *request) inTime() bool {
	return q.served() && q.firstEvent <= q.kind.LatencySLO && q.longestGap <= q.kind.GapSLO
}

// report sums up the results.
func (s *simulation) report(workload Workload) Report {
	report := Report{WorstClass: 1}
	var whole value
	windows := make([]value, 1+int(workload.Duration/reportWindow))
	for k := range workload.Kinds {
		kind := &workload.Kinds[k]
		result := Result{Kind: kind.Name}
		var ofKind []*request
		for _, q := range s.requests {
			if q.kind == kind {
				ofKind = append(ofKind, q)
			}
		}
		slices.SortFunc(ofKind, func(a, b *request) int { return cmp.Compare(b.work.Prompt, a.work.Prompt) })
		var all, largest value
		for i, q := range ofKind {
			whole.add(q)
			all.add(q)
			windows[q.arrived/reportWindow].add(q)
			result.Requests++
			switch {
			case !q.served():
				result.Refused++
			case q.inTime():
				result.InTime++
			default:
				result.Late++
			}
			if i < len(ofKind)/10 {
				largest.add(q)
				result.LargestRequests++
				if q.served() {
					result.LargestServed++
				}
			}
			if q.served() {
				result.FirstEvents = append(result.FirstEvents, q.firstEvent)
			}
		}
		slices.Sort(result.FirstEvents)
		result.ValueShare, result.LargestShare = all.share(), largest.share()
		report.WorstClass = min(report.WorstClass, result.ValueShare, result.LargestShare)
		report.Results = append(report.Results, result)
	}
	report.ValueShare = whole.share()
	report.WorstWindow = worstWindows(windows)
	return report
}

// worstWindows returns the mean share of the two windows that have the least.
func worstWindows(windows []value) float64 {
	shares := []float64{1, 1}
	for _, w := range windows {
		if w.offered > 0 {
			shares = append(shares, w.share())
		}
	}
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}
