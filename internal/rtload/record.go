package rtload

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Grace is how far over its time limit a request may end, by the invariant.
const TimeLimitGrace = 250 * time.Millisecond

// Range and precision of the histograms, in microseconds.
const (
	highest   = int64(10 * time.Minute / time.Microsecond)
	precision = 3
)

// Result is what a caller saw of one arrival.
type Result struct {
	Arrival
	SendDelay time.Duration // how late the caller sent it
	FirstText time.Duration // to the first text of a draft; 0 if there was none
	Duration  time.Duration
	Outcome   rtapi.Outcome
	Reason    rtapi.Reason
	Broken    bool // no terminal event
}

// Late reports whether the request ended after its time limit and the grace.
func (r *Result) Late() bool {
	return r.Duration > r.TimeLimit+TimeLimitGrace
}

// InTime reports whether the request was done within its time limit.
func (r *Result) InTime() bool {
	return r.Outcome == rtapi.Done && !r.Broken && r.Duration <= r.TimeLimit
}

// End is an outcome with its reason.
type End struct {
	Outcome rtapi.Outcome
	Reason  rtapi.Reason
}

// Tally holds the results of one group of requests.
type Summary struct {
	Sent          int
	InTime        int
	Late          int
	Broken        int
	TokensInTime  rtid.Tokens // of prompts that were done in time
	TokensOffered rtid.Tokens // of all prompts
	EndCounts     map[End]int
	first         *hdrhistogram.Histogram
	whole         *hdrhistogram.Histogram
}

func newTally() *Summary {
	return &Summary{
		EndCounts: make(map[End]int),
		first:     hdrhistogram.New(1, highest, precision),
		whole:     hdrhistogram.New(1, highest, precision),
	}
}

func (t *Summary) add(result *Result) {
	t.Sent++
	t.TokensOffered += result.Tokens
	t.EndCounts[End{result.Outcome, result.Reason}]++
	if result.Broken {
		t.Broken++
	}
	if result.Late() {
		t.Late++
	}
	if result.InTime() {
		t.InTime++
		t.TokensInTime += result.Tokens
	}
	if result.FirstText > 0 {
		record(t.first, result.FirstText)
	}
	if result.Outcome == rtapi.Done {
		record(t.whole, result.Duration)
	}
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	// A clamped value is in range, so that RecordValue cannot fail.
	_ = histogram.RecordValue(min(max(1, value.Microseconds()), highest))
}

// First returns a percentile of the time to first token.
func (t *Summary) FirstTextPercentile(percentile float64) time.Duration {
	return time.Duration(t.first.ValueAtPercentile(percentile)) * time.Microsecond
}

// MeanFirst returns the mean time to first token.
func (t *Summary) MeanFirstText() time.Duration {
	return time.Duration(t.first.Mean() * float64(time.Microsecond))
}

// Whole returns a percentile of the whole time of requests that were done.
func (t *Summary) DurationPercentile(percentile float64) time.Duration {
	return time.Duration(t.whole.ValueAtPercentile(percentile)) * time.Microsecond
}

// Part returns the part of the requests that were done in time.
func (t *Summary) InTimeRatio() float64 {
	return float64(t.InTime) / float64(max(1, t.Sent))
}

// Failed returns the requests that were not done in time.
func (t *Summary) NotInTime() int {
	return t.Sent - t.InTime
}

// Recorder collects results. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	results []Result
}

// Add records a result.
func (r *Recorder) Add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// Tally returns the tally of the results that keep says.
func (r *Recorder) Summarise(keep func(*Result) bool) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := newTally()
	for i := range r.results {
		if keep(&r.results[i]) {
			tally.add(&r.results[i])
		}
	}
	return tally
}

// MaxLag returns how late the latest request was sent. A large value means
// that the load was not open-loop.
func (r *Recorder) MaxSendDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var latest time.Duration
	for i := range r.results {
		latest = max(latest, r.results[i].SendDelay)
	}
	return latest
}

// Since returns a recorder with the results of the requests that were due at
// start or later.
func (r *Recorder) Since(start time.Duration) *Recorder {
	return r.Between(start, math.MaxInt64)
}

// Between returns a recorder with the results of the requests that were due
// from start until end.
func (r *Recorder) Between(start, end time.Duration) *Recorder {
	r.mu.Lock()
	defer r.mu.Unlock()
	part := &Recorder{}
	for i := range r.results {
		if at := r.results[i].Due; at >= start && at < end {
			part.results = append(part.results, r.results[i])
		}
	}
	return part
}
