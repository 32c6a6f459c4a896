package rtload

import (
	"testing"
)

// TestQuick guards against scheduling that has a higher time to first token of
// short prompts than a baseline, or completes less work in time, at 80 % of the
// planned rate.
func TestQuick(t *testing.T) {
	if isFullRun() {
		return
	}
	const load = 0.8
	compared := []Policy{Product, Baselines[0], Baselines[1]}
	var runs []measurement
	for _, policy := range compared {
		runs = append(runs, measurement{deployment: &NepGap, load: load, policy: policy})
	}
	recorders := runAll(t, runs, func(t *testing.T, r *measurement) *Recorder {
		return r.sendLoad(t, quickWarmUp, quickDuration)
	})
	production := recorders[runs[0].name()]
	if late := production.Summarise(fitsOneEngine).Late; late > 0 {
		t.Errorf("%d drafts ended after their time limit, want 0", late)
	}
	for i := range runs[1:] {
		other := recorders[runs[i+1].name()]
		if a, b := production.Summarise(isShortResult), other.Summarise(isShortResult); a.FirstTextPercentile(95) > b.FirstTextPercentile(95) {
			t.Errorf("first token of short prompts, p95: got %v, want at most that of %s, %v", a.FirstTextPercentile(95), compared[i+1].Name, b.FirstTextPercentile(95))
		}
		if a, b := production.Summarise(fitsOneEngine), other.Summarise(fitsOneEngine); a.TokensInTime < b.TokensInTime {
			t.Errorf("prompt tokens done in time: got %d, want at least those of %s, %d", a.TokensInTime, compared[i+1].Name, b.TokensInTime)
		}
	}
}
