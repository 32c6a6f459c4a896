package rtpeer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
)

// fakeEvidence returns observations and records those of peers.
type fakeEvidence struct {
	own    []rtquarantine.Observation
	merged []rtquarantine.Observation
}

func (e *fakeEvidence) Observations() []rtquarantine.Observation { return e.own }

func (e *fakeEvidence) MergeObservations(observations []rtquarantine.Observation) {
	e.merged = append(e.merged, observations...)
}

// groupWith returns a test group that exchanges evidence.
func groupWith(evidence EvidenceExchange) *Group {
	g, _ := newTestGroup()
	g.options.Evidence = evidence
	return g
}

// send passes a digest to a group as it arrives from the network.
func send(t *testing.T, message digest, to *Group) {
	t.Helper()
	data, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	var received digest
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	to.applyDigest(received)
}

// Guards against evidence that a digest to the own cell or to another one does not
// carry unchanged.
func TestEvidenceLostInDigest(t *testing.T) {
	own := []rtquarantine.Observation{
		{Part: "5c1e07a2", Crashes: []rtquarantine.Crash{{Target: "i-1", Age: 1500 * time.Millisecond}}},
		{Part: "request:c2hhMjU2", Crashes: []rtquarantine.Crash{{Target: "i-3", Age: time.Second, Held: 60 * time.Millisecond}, {Target: "i-3", Age: 5 * time.Second}}},
		{Part: "91bd3f06", Refuted: []rtquarantine.Crash{{Target: "i-2", Age: 2 * time.Second}}, RefutedAge: 300 * time.Millisecond},
	}
	sender := groupWith(&fakeEvidence{own: own})
	message := sender.newDigest(0)
	for _, test := range []struct {
		name    string
		message digest
	}{{"own cell", message}, {"other cell", message.forOtherCells()}} {
		received := &fakeEvidence{}
		send(t, test.message, groupWith(received))
		if !reflect.DeepEqual(received.merged, own) {
			t.Errorf("%s: received %+v, want %+v", test.name, received.merged, own)
		}
	}
	// A process without evidence accepts the digest.
	send(t, message, groupWith(nil))
}

// Guards against crashes that count again because their report waited in a socket
// while a process was paused, and against a restarted peer that is ignored.
func TestDelayedEvidenceMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := []rtquarantine.Observation{{Part: "5c1e07a2", Crashes: []rtquarantine.Crash{{Target: "i-1", Age: time.Second}}}}
		newSender := func() *Group {
			sender := groupWith(&fakeEvidence{own: own})
			sender.options.VM, sender.options.Address = "vm1", addressOf(1)
			return sender
		}
		sender, received := newSender(), &fakeEvidence{}
		receiver := groupWith(received)
		steps := []struct {
			name  string
			delay time.Duration
			want  bool
		}{
			{"first", 30 * time.Millisecond, true},
			{"usual delay", 50 * time.Millisecond, true},
			{"paused", 5 * time.Second, false},
			{"a little late", 500 * time.Millisecond, true},
			{"too late", 600 * time.Millisecond, false},
			{"restart", 40 * time.Millisecond, true},
			{"paused after the restart", 3 * time.Second, false},
		}
		for _, step := range steps {
			time.Sleep(time.Second)
			if step.name == "restart" {
				sender = newSender()
			}
			message := sender.newDigest(0)
			time.Sleep(step.delay)
			received.merged = nil
			send(t, message, receiver)
			if got := len(received.merged) > 0; got != step.want {
				t.Errorf("%s: merged %v, want %v", step.name, got, step.want)
			}
		}
	})
}

// registerEvidence exchanges the evidence of a register at one moment.
type registerEvidence struct {
	register *rtquarantine.Register
	now      time.Time
}

func (e registerEvidence) Observations() []rtquarantine.Observation {
	return e.register.Observations(e.now)
}

func (e registerEvidence) MergeObservations(observations []rtquarantine.Observation) {
	e.register.Merge(observations, e.now)
}

// Guards against digests that are not sent because evidence about many parts and
// crashes, or with long names, fills them, and against a quarantine that gives way
// to lesser evidence.
func TestEvidenceFillsDigest(t *testing.T) {
	for _, nameLength := range []int{8, 60, 3000} {
		var register rtquarantine.Register
		now := time.Now()
		part := func(i int) rtid.Part { return rtid.Part(fmt.Sprintf("%0*x", nameLength, i)) }
		for crash := range 20 {
			parts := []rtid.Part{"deadly"}
			for i := range 10 {
				parts = append(parts, part(i))
			}
			for i := range 100 {
				parts = append(parts, part(1000*(crash+1)+i))
			}
			register.RecordCrash(rtid.Target(fmt.Sprintf("i-%010x", crash)), parts, time.Time{}, now.Add(time.Duration(crash-20)*time.Second))
			if crash%5 == 0 {
				register.RecordSound(parts[11:60], now.Add(time.Duration(crash-20)*time.Second))
			}
		}
		evidence := groupWith(registerEvidence{&register, now}).localEvidence()
		data, err := json.Marshal(evidence)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > maxEvidenceBytes {
			t.Errorf("names of %d bytes: %d bytes, want at most %d", nameLength, len(data), maxEvidenceBytes)
		}
		if !strings.Contains(string(data), `"deadly"`) {
			t.Errorf("names of %d bytes: the part in quarantine is missing", nameLength)
		}
	}
}
