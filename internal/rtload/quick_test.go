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
	if late := ours.Summarise(fitsOneEngine).Late; late > 0 {
		t.Errorf("%d drafts ended after their time limit", late)
	}
	for i := range runs[1:] {
		other := recorders[runs[i+1].name()]
		if a, b := ours.Summarise(isShortResult), other.Summarise(isShortResult); a.FirstTextPercentile(95) > b.FirstTextPercentile(95) {
			t.Errorf("first token of short prompts, p95: %v, %s has %v", a.FirstTextPercentile(95), compared[i+1].Name, b.FirstTextPercentile(95))
		}
		if a, b := ours.Summarise(fitsOneEngine), other.Summarise(fitsOneEngine); a.TokensInTime < b.TokensInTime {
			t.Errorf("prompt tokens done in time: %d, %s has %d", a.TokensInTime, compared[i+1].Name, b.TokensInTime)
		}
	}
}
