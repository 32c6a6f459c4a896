package rtpeer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// Bound of the platform, as in TestSoakRateLimits.
const (
	limitSettled = 3 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5
	limitNotice  = 500 * time.Millisecond
)

var limitedTarget = rtid.TargetIncarnation{ID: "i-1", Born: 7}

// limitProcess is a process that sends to a target with a rate limit whenever it
// may.
type limitProcess struct {
	group      *Group
	limits     rtlimit.TargetLimits
	sends      rtlimit.Window
	told       time.Time // zero before the target has named its limit to it
	paused     time.Time // until when it is frozen
	excused    time.Time // until when the platform excuses it
	nextDigest time.Time
	nextTick   time.Time
	round      int
}

func (p *limitProcess) RateLimits() []rtlimit.Statement { return p.limits.Statements(time.Now()) }

func (p *limitProcess) MergeRateLimits(statements []rtlimit.Statement) {
	for _, s := range statements {
		p.limits.Record(s, rtlimit.FromPeer, time.Now())
	}
}

// limitFleet is a deployment whose processes exchange digests, some of which are
// lost, in virtual time.
type limitFleet struct {
	t         *testing.T
	random    *rand.Rand
	processes []*limitProcess
	rate      rtlimit.Rate // that the target names
	named     time.Time
	counted   []time.Time // sends that count for the bound
	sent      int
}

func newLimitFleet(t *testing.T, seed uint64, processes int) *limitFleet {
	f := &limitFleet{t: t, random: rand.New(rand.NewPCG(seed, 0)), rate: rtlimit.Unlimited}
	for i := range processes {
		f.processes = append(f.processes, nil)
		f.start(i)
	}
	return f
}

// processAddress returns the address of a process. The digits of its VM's name make
// the order of the processes differ from that of their addresses.
func processAddress(i int) rtid.Address { return rtid.Address(fmt.Sprintf("10.0.%d.1:7340", i)) }

// start starts a process that knows two others and nothing else.
func (f *limitFleet) start(i int) {
	p := &limitProcess{sends: rtlimit.Window{Span: rtlimit.TargetWindow}, excused: time.Now().Add(limitSettled)}
	p.group = New(Options{
		VM: rtid.VM(fmt.Sprint("vm", i)), Address: processAddress(i),
		Seeds:   []rtid.Address{processAddress(0), processAddress(len(f.processes) / 2)},
		Network: &rtnet.TCP{}, Feed: rtfeed.New(unavailableSource{}, emptyDecoder{}, logr.Discard()),
		Loads:  &fakeLoads{peerLoads: make(map[rtid.VM]map[rtid.Target]rtplacement.Load)},
		Limits: p, Log: logr.Discard(),
	})
	f.processes[i] = p
}

// exchange sends the digest of a process to its peers.
func (f *limitFleet) exchange(p *limitProcess) {
	ownCell, otherCells := p.group.peerAddresses()
	message := p.group.newDigest(p.group.listedNow(p.round))
	f.deliver(message, ownCell)
	if p.round%roundsToOtherCells(len(otherCells)) == 0 {
		f.deliver(message.forOtherCells(), otherCells)
	}
	p.round++
	p.nextDigest = time.Now().Add(digestInterval * time.Duration(max(1, len(ownCell)/peersPerInterval)))
}

func (f *limitFleet) deliver(message digest, to []rtid.Address) {
	data, err := json.Marshal(message)
	if err != nil {
		f.t.Fatal(err)
	}
	var received digest
	if err := json.Unmarshal(data, &received); err != nil {
		f.t.Fatal(err)
	}
	for _, address := range to {
		var i int
		if _, err := fmt.Sscanf(string(address), "10.0.%d.1:7340", &i); err != nil {
			f.t.Fatal(err)
		}
		receiver := f.processes[i]
		const lost = 0.03
		if time.Now().Before(receiver.paused) || f.random.Float64() < lost {
			continue
		}
		receiver.group.applyDigest(received)
	}
}

// step runs all processes for a moment. Each sends to the target if it may, and again
// with a probability.
func (f *limitFleet) step(demand float64) {
	const moment = 50 * time.Millisecond
	time.Sleep(moment)
	now := time.Now()
	for _, i := range f.random.Perm(len(f.processes)) {
		p := f.processes[i]
		if now.Before(p.paused) {
			continue
		}
		if !now.Before(p.nextTick) {
			p.nextTick = now.Add(digestInterval)
			p.group.detectPause(now)
			p.group.assignCells(now)
		}
		if !now.Before(p.nextDigest) {
			f.exchange(p)
		}
		for f.random.Float64() < demand {
			f.send(p, now)
		}
	}
}

// send sends one request to the target if the process may. The target names its
// limit in the answer.
func (f *limitFleet) send(p *limitProcess, now time.Time) {
	share := p.group.Share("limit " + string(limitedTarget.ID))
	if p.limits.Wait(limitedTarget, share, false, &p.sends, now) > 0 {
		return
	}
	p.sends.Add(now)
	p.limits.Take(limitedTarget, share, now)
	f.sent++
	if !p.told.IsZero() && now.Sub(p.told) >= limitNotice && now.After(p.excused) {
		f.counted = append(f.counted, now)
	}
	if f.rate == rtlimit.Unlimited {
		p.limits.Record(rtlimit.Statement{Target: limitedTarget, Rate: f.rate, Sent: now, Heard: now}, rtlimit.FromTarget, now)
		return
	}
	if p.told.IsZero() {
		p.told = now
	}
	_, changed := p.limits.Record(rtlimit.Statement{Target: limitedTarget, Rate: f.rate, Sent: now, Heard: now}, rtlimit.FromTarget, now)
	if changed {
		f.exchange(p) // a change is sent at once
	}
}

// worst returns the most sends in a window that count.
func (f *limitFleet) worst() int {
	most, first := 0, 0
	for i, at := range f.counted {
		for at.Sub(f.counted[first]) >= rtlimit.TargetWindow {
			first++
		}
		if at.Sub(f.named) >= limitSettled {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against gateways whose parts of a target's rate limit add up to more than
// the limit: with many gateways at a low limit, while they do not know all others,
// and when some start again, freeze or have their digests lost. Guards also against
// parts that add up to much less.
func TestRateLimitSumOverProcesses(t *testing.T) {
	tests := []struct {
		processes int
		rate      rtlimit.Rate
	}{
		{1, 0.3}, {1, 50}, {2, 1}, {3, 1.1}, {4, 0.3}, {4, 1}, {4, 3.7}, {4, 50}, {7, 1}, {7, 12},
		{29, 0.3}, {29, 1.1}, {29, 6}, {29, 50}, {60, 1}, {100, 0.3}, {100, 1.1}, {100, 50},
	}
	for i, test := range tests {
		for _, mode := range []limitMode{{}, {bursts: true}, {bursts: true, disturbed: true}} {
			t.Run(fmt.Sprintf("%d at %v %+v", test.processes, test.rate, mode), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newLimitFleet(t, uint64(i), test.processes)
					f.run(6*time.Second, 0.02, mode)
					f.rate, f.named = test.rate, time.Now()
					f.sent = 0
					const length = 25 * time.Second
					f.run(length, 0.7, mode)
					if got, want := f.worst(), limitFactor*float64(test.rate)*rtlimit.TargetWindow.Seconds()+limitExtra; float64(got) > want {
						t.Errorf("%d requests in %v, want at most %.1f", got, rtlimit.TargetWindow, want)
					}
					if least := int(0.6 * float64(test.rate) * length.Seconds()); mode == (limitMode{}) && f.sent < least {
						t.Errorf("%d requests in %v, want %d at least", f.sent, length, least)
					}
				})
			})
		}
	}
}

// limitMode is what happens in a run of the fleet.
type limitMode struct {
	bursts    bool // there are no requests for some seconds, and then many
	disturbed bool // about every second a process starts again or freezes
}

// run runs the fleet for a time.
func (f *limitFleet) run(duration time.Duration, demand float64, mode limitMode) {
	quiet, next := false, time.Now()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if mode.bursts && !time.Now().Before(next) {
			quiet, next = !quiet, time.Now().Add(time.Second+time.Duration(f.random.IntN(8))*time.Second)
		}
		if quiet {
			f.step(0)
		} else {
			f.step(demand)
		}
		if !mode.disturbed || f.random.IntN(20) > 0 {
			continue
		}
		i := f.random.IntN(len(f.processes))
		p := f.processes[i]
		switch f.random.IntN(3) {
		case 0:
			f.start(i)
		case 1:
			p.paused = time.Now().Add(time.Duration(f.random.IntN(9000)) * time.Millisecond)
			p.excused = p.paused.Add(limitSettled)
		case 2:
			// It knows nothing of a restart that has just begun either.
			f.start(i)
			f.processes[i].paused = time.Now().Add(time.Duration(f.random.IntN(5000)) * time.Millisecond)
			f.processes[i].excused = f.processes[i].paused.Add(limitSettled)
		}
	}
}
