package rtload

import (
	"testing"
)

// TestQuick guards against decisions that are worse than a baseline for short
// prompts, or that do less useful work, at 80 % of planned load.
func TestQuick(t *testing.T) {
	if full() {
		return
	}
	const load = 0.8
	compared := []Policy{Product, Baselines[0], Baselines[1]}
	var runs []run
	for _, policy := range compared {
		runs = append(runs, run{deployment: &NepGap, load: load, policy: policy})
	}
	recorders := driveAll(t, runs, func(t *testing.T, r *run) *Recorder {
		return r.drive(t, quickWarmUp, quickLength)
	})
	ours := recorders[runs[0].name()]
	if late := ours.Tally(fitsOneEngine).Late; late > 0 {
		t.Errorf("%d drafts ended after their time limit", late)
	}
	for i := range runs[1:] {
		other := recorders[runs[i+1].name()]
		if a, b := ours.Tally(isShortResult), other.Tally(isShortResult); a.First(95) > b.First(95) {
			t.Errorf("first token of short prompts, p95: %v, %s has %v", a.First(95), compared[i+1].Name, b.First(95))
		}
		if a, b := ours.Tally(fitsOneEngine), other.Tally(fitsOneEngine); a.Work < b.Work {
			t.Errorf("prompt tokens done in time: %d, %s has %d", a.Work, compared[i+1].Name, b.Work)
		}
	}
}
