package rtplacement

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// LoadTracker records the in-flight requests of this process and the loads that
// peers report. The zero value is empty. It is not safe for concurrent use.
type LoadTracker struct {
	local map[rtid.Target]map[*InFlightRequest]bool
	// peers are the last reports of peers, and placed the loads in them by target. A
	// placement asks for many targets, each of which few peers have loads on.
	peers  map[rtid.VM]map[rtid.Target]Load
	placed map[rtid.Target]map[rtid.VM]peerLoad
}

// peerLoad is the load that a peer has reported for one target.
type peerLoad struct {
	Load
	received time.Time
}

// peerReportTTL is how long the report of a peer counts. A live peer reports
// several times within it.
const peerReportTTL = 2 * time.Second

// InFlightRequest is a request that has been sent and has not ended.
type InFlightRequest struct {
	target              rtid.Target
	helpers             []rtid.Target
	reserved            map[rtid.Target]rtid.Tokens // memory at other engines
	work                Work
	partPrefill         time.Duration
	predictedFirstEvent time.Duration // after sent
	sent                time.Time
	prefilled           bool // the first event has been received
}

// Start records that a request has been sent.
func (t *LoadTracker) Start(placement Placement, work Work, now time.Time) *InFlightRequest {
	request := &InFlightRequest{target: placement.Target.ID, work: work, partPrefill: placement.PartPrefill, predictedFirstEvent: placement.PredictedFirstEvent, sent: now}
	for _, helper := range placement.Helpers {
		request.helpers = append(request.helpers, helper.ID)
	}
	for _, target := range request.hosts() {
		t.add(target, request)
	}
	return request
}

func (t *LoadTracker) add(target rtid.Target, request *InFlightRequest) {
	if t.local == nil {
		t.local = make(map[rtid.Target]map[*InFlightRequest]bool)
	}
	if t.local[target] == nil {
		t.local[target] = make(map[*InFlightRequest]bool)
	}
	t.local[target][request] = true
}

// Reserve records the memory that a request reserves at other engines, in place of what
// was recorded for it before. Without it, prompts that are larger than an engine would
// all ask the same engines, whose other requests need the least memory.
func (t *LoadTracker) Reserve(request *InFlightRequest, reservations []Reservation) {
	for target := range request.reserved {
		if !slices.Contains(request.helpers, target) {
			t.remove(target, request)
		}
	}
	request.reserved = make(map[rtid.Target]rtid.Tokens, len(reservations))
	for _, r := range reservations {
		request.reserved[r.Target.ID] = r.Tokens
		t.add(r.Target.ID, request)
	}
}

// PrefillDone records the first event of a request, which shows that its prompt
// has been prefilled.
func (t *LoadTracker) PrefillDone(request *InFlightRequest) {
	request.prefilled = true
	for _, helper := range request.helpers {
		if request.reserved[helper] == 0 {
			t.remove(helper, request)
		}
	}
}

// Finish records that a request has ended.
func (t *LoadTracker) Finish(request *InFlightRequest) {
	for _, target := range request.hosts() {
		t.remove(target, request)
	}
}

func (t *LoadTracker) remove(target rtid.Target, request *InFlightRequest) {
	delete(t.local[target], request)
	if len(t.local[target]) == 0 {
		delete(t.local, target)
	}
}

// hosts returns the target and the helpers of a request, and the engines with memory
// for it.
func (r *InFlightRequest) hosts() []rtid.Target {
	hosts := append([]rtid.Target{r.target}, r.helpers...)
	for target := range r.reserved {
		hosts = append(hosts, target)
	}
	return hosts
}

// SetPeerLoads stores the loads that a peer reports of its own requests.
func (t *LoadTracker) SetPeerLoads(peer rtid.VM, loads map[rtid.Target]Load, now time.Time) {
	if t.peers == nil {
		t.peers = make(map[rtid.VM]map[rtid.Target]Load)
		t.placed = make(map[rtid.Target]map[rtid.VM]peerLoad)
	}
	for target := range t.peers[peer] {
		if _, again := loads[target]; !again {
			delete(t.placed[target], peer)
			if len(t.placed[target]) == 0 {
				delete(t.placed, target)
			}
		}
	}
	for target, load := range loads {
		if t.placed[target] == nil {
			t.placed[target] = make(map[rtid.VM]peerLoad)
		}
		t.placed[target][peer] = peerLoad{Load: load, received: now}
	}
	t.peers[peer] = loads
}

// Load returns the load on a target from the requests of all processes.
func (t *LoadTracker) Load(target rtid.Target, now time.Time) Load {
	load := t.localLoad(target, now)
	for _, reported := range t.placed[target] {
		age := now.Sub(reported.received)
		if age > peerReportTTL {
			continue
		}
		reported.PrefillBacklog = max(0, reported.PrefillBacklog-age)
		load = load.Add(reported.Load)
	}
	return load
}

// LocalLoads returns the loads from the requests of this process.
func (t *LoadTracker) LocalLoads(now time.Time) map[rtid.Target]Load {
	loads := make(map[rtid.Target]Load, len(t.local))
	for target := range t.local {
		loads[target] = t.localLoad(target, now)
	}
	return loads
}

func (t *LoadTracker) localLoad(target rtid.Target, now time.Time) Load {
	var load Load
	for request := range t.local[target] {
		load = load.Add(request.loadAt(target, now))
	}
	return load
}

// loadAt returns what a request adds to the load on one of its hosts.
func (r *InFlightRequest) loadAt(target rtid.Target, now time.Time) Load {
	load := Load{Memory: r.reserved[target]}
	if target == r.target {
		load.Requests = 1
		size := r.work.Prompt + r.work.Output
		load.Memory = size
		for _, tokens := range r.reserved {
			load.Memory -= tokens
		}
		load.Context = size / rtid.Tokens(1+len(r.helpers))
		if r.work.Interactive() {
			load.Interactive = 1
		}
	}
	if !r.prefilled && (target == r.target || slices.Contains(r.helpers, target)) {
		load.PrefillBacklog = r.prefillBacklog(now)
	}
	return load
}

// prefillBacklog returns the prefill time that is left of a part. It assumes
// that the part is prefilled last before the predicted first event.
func (r *InFlightRequest) prefillBacklog(now time.Time) time.Duration {
	untilPredicted := r.predictedFirstEvent - now.Sub(r.sent)
	const overdueDivisor = 4 // a part counts at least a quarter until the first event, also when it is overdue
	return max(r.partPrefill/overdueDivisor, min(r.partPrefill, untilPredicted))
}
