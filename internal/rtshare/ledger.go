// Package rtshare decides how organisations share scarce capacity: what each has used
// of late, what its fair share is, which of the waiting requests is tried first, and
// which request is held back for others. It decides from its parameters alone.
package rtshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// halfLife is the half-life of usage: about half of a usual latency SLO of long
	// prompts, so that an organisation that has stopped regains its precedence before
	// its next requests give up.
	halfLife = 2 * time.Second
	// reportValidity is how long the report of a peer counts. A peer that is lost,
	// frozen or cut off distorts the sum for no longer.
	reportValidity = 2 * time.Second
	// scarcityMemory is how long capacity counts as scarce after a request has lacked it.
	scarcityMemory = time.Second
	// snapshotValidity is how long a computed division of the capacity is used again:
	// the interval at which waiting requests are tried.
	snapshotValidity = 40 * time.Millisecond
	// MaxReported is how many organisations a report names; the rest is summed up by
	// service.
	MaxReported = 24
	// MaxServices is for how many services a report has sums and scarcity.
	MaxServices = 16
	// maxPeers is how many reports are kept at most: a cell has 44 gateways, and more for a
	// moment while cells change.
	maxPeers = 256
	// MaxUse is the largest plausible usage: that of 10,000 engines that are always busy.
	MaxUse = 10_000 * 2 * halfLife
	// negligible is the usage below which an account is dropped.
	negligible = 10 * time.Microsecond
)

// Public stands for callers without an organisation, on public routes.
const Public rtid.Organisation = "(public)"

// Use is what an organisation has used of a service.
type Use struct {
	Service      rtid.Service
	Organisation rtid.Organisation // empty for the sum of those that are not listed
	Time         time.Duration     // engine time, decayed
	Waiting      bool              // its requests wait, or were refused, for lack of capacity
}

type account struct {
	service      rtid.Service
	organisation rtid.Organisation
}

type usage struct {
	amount float64   // engine time in ns, as of at
	at     time.Time // of the last change
	lacked time.Time // when a request last lacked capacity; zero for never
}

func (u usage) decayed(now time.Time) float64 {
	return u.amount * math.Exp2(-float64(max(0, now.Sub(u.at)))/float64(halfLife))
}

// lacks reports whether a moment of scarcity still counts.
func lacks(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < scarcityMemory }

// report is what a peer has said last.
type report struct {
	uses     []Use
	usesAt   time.Time
	scarce   []rtid.Service
	scarceAt time.Time
}

// current returns the uses if they still count.
func (r report) current(now time.Time) []Use {
	if now.Sub(r.usesAt) >= reportValidity {
		return nil
	}
	return r.uses
}

// Ledger holds the usage of organisations through this process and its peers. The zero
// value is empty. It is not safe for concurrent use.
type Ledger struct {
	own       map[account]usage
	scarce    map[rtid.Service]time.Time // when a request last lacked capacity here
	peers     map[rtid.VM]report
	snapshots map[rtid.Service]*Snapshot
}

// Add records that a request of an organisation takes engine time.
func (l *Ledger) Add(service rtid.Service, organisation rtid.Organisation, engineTime time.Duration, now time.Time) {
	if l.own == nil {
		l.own = make(map[account]usage)
	}
	key := account{service, organisation}
	u := l.own[key]
	u.amount, u.at = u.decayed(now)+float64(max(0, engineTime)), now
	l.own[key] = u
}

// Lack records that a request of an organisation waits, or is refused, for lack of
// capacity. It adds no usage.
func (l *Ledger) Lack(service rtid.Service, organisation rtid.Organisation, now time.Time) {
	if l.scarce == nil {
		l.scarce = make(map[rtid.Service]time.Time)
	}
	l.scarce[service] = now
	if l.own == nil {
		l.own = make(map[account]usage)
	}
	key := account{service, organisation}
	u := l.own[key]
	u.amount, u.at, u.lacked = u.decayed(now), now, now
	l.own[key] = u
}

// SetPeer records the report of a peer. Without uses it leaves those of an earlier one
// valid, because peers do not repeat them in each message.
func (l *Ledger) SetPeer(peer rtid.VM, uses []Use, scarce []rtid.Service, now time.Time) {
	maps.DeleteFunc(l.peers, func(_ rtid.VM, r report) bool {
		return len(r.current(now)) == 0 && now.Sub(r.scarceAt) >= scarcityMemory
	})
	r, known := l.peers[peer]
	if !known && (len(l.peers) >= maxPeers || len(uses) == 0 && len(scarce) == 0) {
		return
	}
	if l.peers == nil {
		l.peers = make(map[rtid.VM]report)
	}
	if len(uses) > 0 {
		r.uses, r.usesAt = uses, now
	}
	r.scarce, r.scarceAt = scarce, now
	l.peers[peer] = r
}

// Scarce reports whether a request has lacked capacity of a service within the last
// second, here or at a peer.
func (l *Ledger) Scarce(service rtid.Service, now time.Time) bool {
	if lacks(l.scarce[service], now) {
		return true
	}
	for _, r := range l.peers {
		if lacks(r.scarceAt, now) && slices.Contains(r.scarce, service) {
			return true
		}
	}
	return false
}

// ScarceHere returns the services of which requests lack capacity in this process, and
// drops what does not matter any more.
func (l *Ledger) ScarceHere(now time.Time) []rtid.Service {
	maps.DeleteFunc(l.own, func(_ account, u usage) bool {
		return u.decayed(now) < float64(negligible) && !lacks(u.lacked, now)
	})
	maps.DeleteFunc(l.scarce, func(_ rtid.Service, at time.Time) bool { return !lacks(at, now) })
	scarce := slices.Sorted(maps.Keys(l.scarce))
	return scarce[:min(len(scarce), MaxServices)]
}

// Report returns the own usage of services with scarce capacity for peers: the largest
// accounts, most at most, and the sums of the rest.
func (l *Ledger) Report(most int, now time.Time) []Use {
	scarce := make(map[rtid.Service]bool)
	var uses []Use
	for key, u := range l.own {
		if _, known := scarce[key.service]; !known {
			scarce[key.service] = l.Scarce(key.service, now)
		}
		if scarce[key.service] {
			uses = append(uses, Use{Service: key.service, Organisation: key.organisation, Time: time.Duration(u.decayed(now)), Waiting: lacks(u.lacked, now)})
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Time, a.Time), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Organisation, b.Organisation))
	})
	most = min(most, MaxReported)
	if len(uses) > most {
		uses = append(uses[:most:most], sums(uses[most:])...)
	}
	return uses
}

// sums adds uses up by service.
func sums(uses []Use) []Use {
	byService := make(map[rtid.Service]time.Duration)
	for _, u := range uses {
		byService[u.Service] += u.Time
	}
	var summed []Use
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		if len(summed) == MaxServices {
			break
		}
		summed = append(summed, Use{Service: service, Time: byService[service]})
	}
	return summed
}

// Standing is how an organisation stands at a service.
type Standing struct {
	Use   time.Duration // decayed engine time over all gateways
	Share time.Duration // its fair share of what all have used together
}

// Snapshot is the division of the capacity of a service at one time.
type Snapshot struct {
	at    time.Time
	uses  map[rtid.Organisation]time.Duration
	level float64 // fair share of an organisation of weight 1, in ns
	// Total is the usage of all organisations.
	Total time.Duration
}

// Snapshot returns the division of the capacity of a service by max-min fairness. What
// all have used together stands for the capacity. An organisation whose requests lack
// capacity could use any share; any other one wants what it uses. What it leaves goes to
// the others.
func (l *Ledger) Snapshot(service rtid.Service, weight func(rtid.Organisation) float64, now time.Time) *Snapshot {
	if s := l.snapshots[service]; s != nil && !now.Before(s.at) && now.Sub(s.at) < snapshotValidity {
		return s
	}
	demands := make(map[rtid.Organisation]demand)
	var rest float64
	for key, u := range l.own {
		if key.service == service {
			demands[key.organisation] = demands[key.organisation].plus(u.decayed(now), lacks(u.lacked, now))
		}
	}
	for _, r := range l.peers {
		for _, u := range r.current(now) {
			switch {
			case u.Service != service:
			case u.Organisation == "":
				rest += float64(u.Time)
			default:
				demands[u.Organisation] = demands[u.Organisation].plus(float64(u.Time), u.Waiting)
			}
		}
	}
	s := &Snapshot{at: now, uses: make(map[rtid.Organisation]time.Duration, len(demands))}
	list := make([]demand, 0, len(demands))
	total := 0.0
	for organisation, d := range demands {
		d.weight = weight(organisation)
		list = append(list, d)
		total += d.use
		s.uses[organisation] = time.Duration(d.use)
	}
	s.level = level(list, total)
	s.Total = time.Duration(total + rest)
	if l.snapshots == nil {
		l.snapshots = make(map[rtid.Service]*Snapshot)
	}
	l.snapshots[service] = s
	return s
}

// demand is what an organisation wants of a service.
type demand struct {
	use       float64
	weight    float64
	unbounded bool
}

func (d demand) plus(use float64, unbounded bool) demand {
	return demand{use: d.use + use, unbounded: d.unbounded || unbounded}
}

// level returns the max-min fair share for a weight of 1.
func level(demands []demand, capacity float64) float64 {
	bounded := slices.DeleteFunc(slices.Clone(demands), func(d demand) bool { return d.unbounded })
	slices.SortFunc(bounded, func(a, b demand) int { return cmp.Compare(a.use/a.weight, b.use/b.weight) })
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	if len(bounded) == len(demands) && len(bounded) > 0 {
		// All have what they want.
		last := bounded[len(bounded)-1]
		return last.use / last.weight
	}
	for _, d := range bounded {
		if d.use/d.weight > capacity/weights {
			break
		}
		capacity -= d.use
		weights -= d.weight
	}
	if weights <= 0 {
		return 0
	}
	return max(0, capacity) / weights
}

// Rate returns the engine time that all have used in a second of late.
func (s *Snapshot) Rate() float64 { return s.Total.Seconds() * math.Ln2 / halfLife.Seconds() }

// Of returns how an organisation of a weight stands.
func (s *Snapshot) Of(organisation rtid.Organisation, weight float64) Standing {
	return Standing{Use: s.uses[organisation], Share: time.Duration(s.level * weight)}
}

// Largest returns the organisations with the largest usage, MaxReported at most.
func (s *Snapshot) Largest() []rtid.Organisation {
	names := slices.SortedFunc(maps.Keys(s.uses), func(a, b rtid.Organisation) int {
		return cmp.Or(cmp.Compare(s.uses[b], s.uses[a]), cmp.Compare(a, b))
	})
	return names[:min(len(names), MaxReported)]
}
