package rtlimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var startTime = time.Unix(1000, 0)

// Guards against retries that amplify an overload: without a budget, targets
// that refuse everything would get each request several times.
func TestRetryBudget(t *testing.T) {
	tests := []struct {
		name   string
		offers int
		every  time.Duration
		least  int
		most   int
	}{
		{"idle", 0, 0, 1, 1},
		{"ten offers at once", 10, 0, 2, 2},
		{"thousand offers at once", 1000, 0, 20, 21},
		{"slow traffic gets the minimum rate", 10, 2 * time.Second, 9, 11},
		{"fast traffic gets a tenth", 10_000, time.Millisecond, 1000, 1011},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var budget RetryBudget
			now := startTime
			retries := 0
			for range test.offers {
				budget.RecordOffer(now)
				if test.every > 0 && budget.Take(now) {
					retries++
				}
				now = now.Add(test.every)
			}
			for test.every == 0 && budget.Take(now) {
				retries++
			}
			if retries < test.least || retries > test.most {
				t.Errorf("%d retries, want %d to %d", retries, test.least, test.most)
			}
		})
	}
}

// Guards against a clock that is set back and thereby fills or empties the
// budget.
func TestRetryBudgetClock(t *testing.T) {
	var budget RetryBudget
	if !budget.Take(startTime) || budget.Take(startTime.Add(-time.Hour)) {
		t.Error("clock set back: the budget changed, want one retry and no second one")
	}
	if !budget.Take(startTime.Add(time.Second)) {
		t.Error("no retry at the minimum rate after the clock was set back, want one")
	}
}

// Guards against rates of the entries that do not add up to the share of an
// organisation, and against an entry that allows an organisation nothing.
func TestRate(t *testing.T) {
	tests := []struct {
		share, planned, fraction float64
		entries                  int
		want                     float64
	}{
		{0.4, 100, 1, 1, 40},
		{0.4, 100, 0.5, 4, 20},
		{0.4, 100, 0, 4, 10},
		{0.4, 100, 0.1, 4, 10},
		{0.4, 100, 0, 0, 40},
		{0.4, 100, 3, 1, 40},
		{0.4, 0, 1, 1, 0},
	}
	for _, test := range tests {
		if got := OrganisationRate(test.share, test.planned, test.fraction, test.entries); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("OrganisationRate(%v, %v, %v, %d) = %v, want %v", test.share, test.planned, test.fraction, test.entries, got, test.want)
		}
	}
}

// Guards against an organisation that uses the planned rate of another one,
// and against a limit that does not follow the plan.
func TestOrganisations(t *testing.T) {
	var limits OrganisationLimits
	for i := range 20 {
		if _, ok := limits.Allow(startTime, "court", "drafts", 2); !ok {
			t.Fatalf("request %d of the burst refused, want 20 allowed", i)
		}
	}
	after, ok := limits.Allow(startTime, "court", "drafts", 2)
	if ok || after <= 0 || after > time.Second {
		t.Errorf("over the limit: allowed %v, retry delay %v; want a refusal with a delay of at most 1 s", ok, after)
	}
	if _, ok := limits.Allow(startTime, "studio", "drafts", 2); !ok {
		t.Error("another organisation refused")
	}
	if _, ok := limits.Allow(startTime, "court", "orders", 2); !ok {
		t.Error("another service refused")
	}
	if _, ok := limits.Allow(startTime.Add(after), "court", "drafts", 2); !ok {
		t.Error("refused after the retry delay")
	}
	if _, ok := limits.Allow(startTime, "court", "drafts", 0); !ok {
		t.Error("refused without a limit")
	}
	for ok := true; ok; {
		_, ok = limits.Allow(startTime.Add(after), "court", "drafts", 100)
	}
	raised := startTime.Add(after + 100*time.Millisecond)
	for i := range 10 {
		if _, ok := limits.Allow(raised, "court", "drafts", 100); !ok {
			t.Errorf("request %d refused after the limit was raised", i)
		}
	}
	limits.Allow(raised.Add(time.Hour), "studio", "drafts", 2)
	if len(limits.buckets) != 1 {
		t.Errorf("%d buckets after an hour, want 1", len(limits.buckets))
	}
}

// Guards against a measured rate that does not follow the traffic.
func TestMeter(t *testing.T) {
	var meter Meter
	now := startTime
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		meter.Add(now)
	}
	if got := meter.Rate(now); got < 95 || got > 105 {
		t.Errorf("rate %v, want 95 to 105", got)
	}
	if got := meter.Rate(now.Add(time.Minute)); got > 0.1 {
		t.Errorf("rate %v a minute later, want at most 0.1", got)
	}
}

func BenchmarkRetryBudget(b *testing.B) {
	var budget RetryBudget
	now := startTime
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.RecordOffer(now)
		budget.Take(now)
	}
}

func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{10, 220} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := make([]rtid.Organisation, n)
			for i := range names {
				names[i] = rtid.Organisation(fmt.Sprintf("organisation-%d", i))
			}
			var limits OrganisationLimits
			now := startTime
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				limits.Allow(now, names[i%n], "drafts", 100)
				i++
			}
		})
	}
}
