package rtpeer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// catchUpFleet is a fleet whose processes send digests as the program does. Some of
// them go dark: nothing reaches them and nothing of theirs arrives, without an error.
type catchUpFleet struct {
	*restoreFleet
	dark []bool
	next []time.Time // digest of each process
	sent []int       // digests of each process
}

func newCatchUpFleet(t *testing.T, seed uint64, processes int) *catchUpFleet {
	f := &catchUpFleet{
		restoreFleet: newRestoreFleet(t, seed, processes), dark: make([]bool, processes),
		next: make([]time.Time, processes), sent: make([]int, processes),
	}
	// Small VMs under load: they encode a state of some 100 KB, and others ask, too.
	f.stateTime = 400 * time.Millisecond
	return f
}

// withCatchUpFleet runs a test with a fleet in virtual time.
func withCatchUpFleet(t *testing.T, seed uint64, processes int, test func(f *catchUpFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newCatchUpFleet(t, seed, processes)
		defer f.heal()
		test(f)
	})
}

// hostOf returns the host of an address.
func hostOf(address rtid.Address) string {
	host, _, _ := strings.Cut(string(address), ":")
	return host
}

// darken cuts a process off from all others and from the store.
func (f *catchUpFleet) darken(i int) {
	f.dark[i] = true
	f.network.Isolate(hostOf(processAddress(i)))
}

// darkenAll cuts the processes off for which dies is true.
func (f *catchUpFleet) darkenAll(dies func(f *catchUpFleet, i int) bool) {
	var dying []int
	for i := range f.processes {
		if dies(f, i) {
			dying = append(dying, i)
		}
	}
	for _, i := range dying {
		f.darken(i)
	}
}

// heal ends all cuts, so that the connections end.
func (f *catchUpFleet) heal() {
	for i, dark := range f.dark {
		if dark {
			f.network.Rejoin(hostOf(processAddress(i)))
		}
	}
}

// run exchanges digests for a time.
func (f *catchUpFleet) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		for i, p := range f.processes {
			if f.dark[i] {
				continue
			}
			changed := false
			select {
			case <-p.feed.Changed():
				changed = p.feed.Reader()
			default:
			}
			if changed || !time.Now().Before(f.next[i]) {
				f.send(i)
			}
		}
	}
}

// send sends the digest of a process to its peers. Some are lost.
func (f *catchUpFleet) send(i int) {
	p := f.processes[i]
	ownCell, otherCells := p.group.peerAddresses()
	message := p.group.newDigest(p.group.listedNow(f.sent[i]))
	f.deliver(message, ownCell)
	if f.sent[i]%roundsToOtherCells(len(otherCells)) == 0 {
		f.deliver(message.forOtherCells(), otherCells)
	}
	f.sent[i]++
	f.next[i] = time.Now().Add(digestInterval * time.Duration(max(1, len(ownCell)/peersPerInterval)))
}

func (f *catchUpFleet) deliver(message digest, to []rtid.Address) {
	data, err := json.Marshal(message)
	if err != nil {
		f.t.Error(err)
		return
	}
	for _, address := range to {
		var j int
		if _, err := fmt.Sscanf(string(address), "10.0.%d.1:7340", &j); err != nil || f.dark[j] || f.random.IntN(30) == 0 {
			continue
		}
		received, err := decodeDigest(data)
		if err != nil {
			f.t.Error(err)
			return
		}
		f.processes[j].group.applyDigest(received)
	}
}

// lag returns how long after a change the last process that is not dark has had a
// version in force, at most limit.
func (f *catchUpFleet) lag(version int, limit time.Duration) time.Duration {
	for changed := time.Now(); ; f.run(50 * time.Millisecond) {
		behind := 0
		for i, p := range f.processes {
			if !f.dark[i] && int(versionOf(p.feed.View())) < version {
				behind++
			}
		}
		if took := time.Since(changed); behind == 0 || took > limit {
			return took
		}
	}
}

// Guards against a change that is in force too late at processes whose peers have just
// lost power: those that had the change and are asked for it, or all those that read
// the store. The bounds are the platform's for deployments of these sizes.
func TestChangesBesideDeadPeers(t *testing.T) {
	const seeds = 4
	readers := func(f *catchUpFleet, i int) bool { return f.processes[i].group.isReader(time.Now()) }
	zone := func(count int) func(*catchUpFleet, int) bool {
		return func(_ *catchUpFleet, i int) bool { return i%count == 0 }
	}
	tests := []struct {
		name      string
		processes int
		dies      func(f *catchUpFleet, i int) bool
		after     time.Duration // from the change; negative before it
		bound     time.Duration
	}{
		{"one of three zones, after the change", 26, zone(3), 100 * time.Millisecond, 3 * time.Second},
		{"one of five zones, after the change", 68, zone(5), 100 * time.Millisecond, 4 * time.Second},
		{"half, after the change", 26, zone(2), 100 * time.Millisecond, 3 * time.Second},
		{"all readers, before the change", 26, readers, -50 * time.Millisecond, 3 * time.Second},
		{"all readers, before the change", 68, readers, -50 * time.Millisecond, 4 * time.Second},
	}
	for _, test := range tests {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s of %d, seed %d", test.name, test.processes, seed), func(t *testing.T) {
				t.Parallel()
				withCatchUpFleet(t, seed, test.processes, func(f *catchUpFleet) {
					f.run(6 * time.Second)
					if test.after < 0 {
						f.darkenAll(test.dies)
						f.run(-test.after)
					}
					f.configure()
					changed := time.Now()
					if test.after >= 0 {
						f.run(test.after)
						f.darkenAll(test.dies)
					}
					f.lag(f.version, 2*test.bound)
					// A request may come a moment after the change is due.
					took := time.Since(changed)
					t.Logf("in force everywhere after %v", took)
					if took > test.bound {
						t.Errorf("in force everywhere %v after the change, want at most %v", took, test.bound)
					}
				})
			})
		}
	}
}
