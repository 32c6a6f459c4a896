package rtlimit

import (
	"testing"
	"time"
)

// Guards against retries of all processes together beyond the budget in some
// window: at a steady load, with unlike shares of the traffic, and when all
// processes start again and remember nothing.
func TestRetryShares(t *testing.T) {
	const (
		ratio     = 0.2
		allowance = 100.0
		span      = 10 * time.Second
		step      = 10 * time.Millisecond
	)
	tests := []struct {
		name     string
		shares   []int         // requests of each process in a step
		restart  time.Duration // when all start again; 0 for never
		duration time.Duration
	}{
		{"one process", []int{2}, 0, 40 * time.Second},
		{"unlike shares", []int{1, 0, 3, 2}, 0, 40 * time.Second},
		{"all start again", []int{1, 1, 1, 1}, 15 * time.Second, 40 * time.Second},
		{"all start again early", []int{1, 1, 1, 1}, 3 * time.Second, 40 * time.Second},
		{"idle and many", make([]int, 29), 15 * time.Second, 40 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			shares := make([]RetryShare, len(test.shares))
			begin := func(now time.Time) {
				for i := range shares {
					shares[i] = RetryShare{Ratio: ratio, Allowance: allowance, Processes: len(shares)}
					shares[i].Start(span, now)
				}
			}
			begin(start)
			retries, requests := Window{Span: span}, Window{Span: span}
			spent := 0
			for elapsed := time.Duration(0); elapsed < test.duration; elapsed += step {
				now := start.Add(elapsed)
				if test.restart > 0 && elapsed == test.restart {
					begin(now)
				}
				for i, count := range test.shares {
					for range count {
						shares[i].Request(now)
						requests.Add(now)
					}
					for shares[i].Take(now) {
						retries.Add(now)
						spent++
					}
				}
				whole := ratio*float64(requests.Count(now)) + allowance
				if got := retries.Count(now); float64(got) > whole {
					t.Fatalf("after %v: %d retries in a window, the budget is %v", elapsed, got, whole)
				}
			}
			if spent == 0 {
				t.Error("no retry was allowed at all")
			}
		})
	}
}

// Guards against a window that counts too long, too short or forgets.
func TestWindow(t *testing.T) {
	window := Window{Span: time.Second}
	for i := range 5 {
		window.Add(start.Add(time.Duration(i) * 200 * time.Millisecond))
	}
	tests := []struct {
		after time.Duration
		want  int
	}{{900 * time.Millisecond, 5}, {time.Second, 4}, {1500 * time.Millisecond, 2}, {2 * time.Second, 0}}
	for _, test := range tests {
		if got := window.Count(start.Add(test.after)); got != test.want {
			t.Errorf("after %v: %d events, want %d", test.after, got, test.want)
		}
	}
}
