package rtlimit

import (
	"testing"
	"time"
)

// The retry budget of the tests.
const (
	retriesPerRequest = 0.2
	allowance         = 100.0
	span              = 10 * time.Second
)

// Guards against retries of all processes together beyond the budget in some
// window: under a steady load, with unequal shares of the traffic, and when
// all processes restart and lose their counts.
func TestRetryShares(t *testing.T) {
	const step = 10 * time.Millisecond
	tests := []struct {
		name     string
		shares   []int         // requests of each process in a step
		restart  time.Duration // when all processes restart; 0 for never
		duration time.Duration
	}{
		{"one process", []int{2}, 0, 40 * time.Second},
		{"unequal shares", []int{1, 0, 3, 2}, 0, 40 * time.Second},
		{"all restart", []int{1, 1, 1, 1}, 15 * time.Second, 40 * time.Second},
		{"all restart early", []int{1, 1, 1, 1}, 3 * time.Second, 40 * time.Second},
		{"idle and many", make([]int, 29), 15 * time.Second, 40 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &retryProcesses{shares: make([]RetryShare, len(test.shares))}
			p.requests.Span, p.retries.Span = span, span
			p.start(startTime)
			for elapsed := time.Duration(0); elapsed < test.duration; elapsed += step {
				if test.restart > 0 && elapsed == test.restart {
					p.start(startTime.Add(elapsed))
				}
				p.retryAll(startTime.Add(elapsed), test.shares)
				budget := retriesPerRequest*float64(p.requests.Count(startTime.Add(elapsed))) + allowance
				if got := p.retries.Count(startTime.Add(elapsed)); float64(got) > budget {
					t.Fatalf("after %v: %d retries in a window, want at most %v", elapsed, got, budget)
				}
			}
			if p.taken == 0 {
				t.Error("no retry was allowed, want some")
			}
		})
	}
}

// retryProcesses are processes that share a retry budget and use all of it.
type retryProcesses struct {
	shares            []RetryShare
	requests, retries Window // of all processes
	taken             int
}

// start starts all processes.
func (p *retryProcesses) start(now time.Time) {
	for i := range p.shares {
		p.shares[i] = RetryShare{Ratio: retriesPerRequest, Allowance: allowance, Processes: len(p.shares)}
		p.shares[i].Start(span, now)
	}
}

// retryAll records the requests of each process and takes all retries that are
// allowed.
func (p *retryProcesses) retryAll(now time.Time, requests []int) {
	for i, count := range requests {
		for range count {
			p.shares[i].RecordRequest(now)
			p.requests.Add(now)
		}
		for p.shares[i].Take(now) {
			p.retries.Add(now)
			p.taken++
		}
	}
}

// Guards against a window that counts events for too long or too short a time,
// or loses some.
func TestWindow(t *testing.T) {
	window := Window{Span: time.Second}
	for i := range 5 {
		window.Add(startTime.Add(time.Duration(i) * 200 * time.Millisecond))
	}
	tests := []struct {
		after time.Duration
		want  int
	}{{900 * time.Millisecond, 5}, {time.Second, 4}, {1500 * time.Millisecond, 2}, {2 * time.Second, 0}}
	for _, test := range tests {
		if got := window.Count(startTime.Add(test.after)); got != test.want {
			t.Errorf("after %v: %d events, want %d", test.after, got, test.want)
		}
	}
}
