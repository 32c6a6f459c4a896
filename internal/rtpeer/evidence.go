package rtpeer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
)

// maxEvidenceBytes is the size limit of the evidence in a digest. Loads and the
// list of peers need the rest of maxDigestBytes.
const maxEvidenceBytes = 4 << 10

// maxClockDrift is the difference between the rates of the clocks of two processes
// that delayEstimate allows: twice the rate at which clocks are usually adjusted.
const maxClockDrift = 0.001

// delayEstimate estimates how much longer than usual digests of a peer take. They
// wait in the socket while a process is paused, and the ages in them are those of
// the time when they were made. The zero value has no estimate.
type delayEstimate struct {
	start       rtid.Incarnation // of the process that the estimate is about; zero for none
	leastOffset time.Duration    // least difference between the own clock and that of the peer
	updated     time.Duration    // on the own clock
}

// record returns how much longer than usual a digest took that is received now,
// the time since the start of this process.
func (d *delayEstimate) record(message digest, now time.Duration) time.Duration {
	offset := now - time.Duration(message.Sent)*time.Millisecond
	if d.start != message.Start {
		*d = delayEstimate{start: message.Start, leastOffset: offset, updated: now}
		return 0
	}
	drift := time.Duration(maxClockDrift * float64(now-d.updated))
	d.leastOffset, d.updated = min(d.leastOffset+drift, offset), now
	return offset - d.leastOffset
}

// recordDelay returns how much longer than usual the digest of a peer took.
func (g *Group) recordDelay(message digest, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.addPeer(message.Address)
	if p == nil {
		return 0
	}
	return p.delays.record(message, now.Sub(g.started))
}

// reportedEvidence is the encoding of an observation in a digest.
type reportedEvidence struct {
	Part    rtid.Part       `json:"part"`
	Crashes reportedCrashes `json:"crashes,omitempty"`
	Held    reportedCrashes `json:"held,omitempty"` // for which the target had had the whole request at each of Crashes, in ms; 0 if unknown
	Refuted reportedCrashes `json:"refuted,omitempty"`
	Age     int64           `json:"age,omitempty"` // time since the last refutation, in ms
}

// reportedCrashes are the ages of crashes, by target, in milliseconds. They are
// rounded down: a report must not make a crash seem earlier than it was.
type reportedCrashes map[rtid.Target][]int64

func newReportedCrashes(crashes []rtquarantine.Crash) reportedCrashes {
	reported := make(reportedCrashes, len(crashes))
	for _, c := range crashes {
		reported[c.Target] = append(reported[c.Target], c.Age.Milliseconds())
	}
	return reported
}

// newHeld returns how long the targets of crashes had had the whole request, in the order
// of newReportedCrashes; nil if nothing is known. It is rounded up: a report must not
// make a request seem sent later than it was.
func newHeld(crashes []rtquarantine.Crash) reportedCrashes {
	if !slices.ContainsFunc(crashes, func(c rtquarantine.Crash) bool { return c.Held > 0 }) {
		return nil
	}
	held := make(reportedCrashes, len(crashes))
	for _, c := range crashes {
		held[c.Target] = append(held[c.Target], (c.Held + time.Millisecond - 1).Milliseconds())
	}
	return held
}

// crashes returns the crashes with what is known of how long their targets had had the
// request.
func (r reportedCrashes) crashes(held reportedCrashes) []rtquarantine.Crash {
	var crashes []rtquarantine.Crash
	for target, ages := range r {
		for i, age := range ages {
			c := rtquarantine.Crash{Target: target, Age: time.Duration(age) * time.Millisecond}
			if i < len(held[target]) {
				c.Held = time.Duration(held[target][i]) * time.Millisecond
			}
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// localEvidence returns the evidence for a digest, at most maxEvidenceBytes. It
// drops the observations that do not fit.
func (g *Group) localEvidence() []reportedEvidence {
	if g.options.Evidence == nil {
		return nil
	}
	var evidence []reportedEvidence
	size := len("[]")
	for _, o := range g.options.Evidence.Observations() {
		reported := reportedEvidence{
			Part:    o.Part,
			Crashes: newReportedCrashes(o.Crashes),
			Held:    newHeld(o.Crashes),
			Refuted: newReportedCrashes(o.Refuted),
			Age:     o.RefutedAge.Milliseconds(),
		}
		data, err := json.Marshal(reported)
		if err != nil {
			g.log.Error(err, "Evidence cannot be encoded, peers do not receive it.", "part", o.Part)
			continue
		}
		if size+len(data)+len(",") > maxEvidenceBytes {
			continue
		}
		size += len(data) + len(",")
		evidence = append(evidence, reported)
	}
	return evidence
}

// mergeEvidence passes on the evidence of a peer.
func (g *Group) mergeEvidence(evidence []reportedEvidence) {
	if g.options.Evidence == nil || len(evidence) == 0 {
		return
	}
	observations := make([]rtquarantine.Observation, 0, len(evidence))
	for _, reported := range evidence {
		observations = append(observations, rtquarantine.Observation{
			Part:       reported.Part,
			Crashes:    reported.Crashes.crashes(reported.Held),
			Refuted:    reported.Refuted.crashes(nil),
			RefutedAge: time.Duration(reported.Age) * time.Millisecond,
		})
	}
	g.options.Evidence.MergeObservations(observations)
}
