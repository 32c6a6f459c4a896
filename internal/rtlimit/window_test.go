package rtlimit

import (
	"testing"
	"time"
)

// The budget of the test.
const (
	ratio     = 0.2
	allowance = 100.0
	span      = 10 * time.Second
)

// Guards against retries of all processes together beyond the budget in some
// window: at a steady load, with unlike shares of the traffic, and when all
// processes start again and remember nothing.
func TestRetryShares(t *testing.T) {
	const step = 10 * time.Millisecond
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
			f := &retryFleet{shares: make([]RetryShare, len(test.shares))}
			f.requests.Span, f.retries.Span = span, span
			f.begin(start)
			for elapsed := time.Duration(0); elapsed < test.duration; elapsed += step {
				if test.restart > 0 && elapsed == test.restart {
					f.begin(start.Add(elapsed))
				}
				f.step(start.Add(elapsed), test.shares)
				whole := ratio*float64(f.requests.Count(start.Add(elapsed))) + allowance
				if got := f.retries.Count(start.Add(elapsed)); float64(got) > whole {
					t.Fatalf("after %v: %d retries in a window, the budget is %v", elapsed, got, whole)
				}
			}
			if f.spent == 0 {
				t.Error("no retry was allowed at all")
			}
		})
	}
}

// retryFleet is processes that share a retry budget and spend all they may.
type retryFleet struct {
	shares            []RetryShare
	requests, retries Window // of all processes
	spent             int
}

// begin starts all processes.
func (f *retryFleet) begin(now time.Time) {
	for i := range f.shares {
		f.shares[i] = RetryShare{Ratio: ratio, Allowance: allowance, Processes: len(f.shares)}
		f.shares[i].Start(span, now)
	}
}

// step takes in the requests of each process and spends.
func (f *retryFleet) step(now time.Time, requests []int) {
	for i, count := range requests {
		for range count {
			f.shares[i].RecordRequest(now)
			f.requests.Add(now)
		}
		for f.shares[i].Take(now) {
			f.retries.Add(now)
			f.spent++
		}
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
