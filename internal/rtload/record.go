package rtload

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// TimeLimitGrace is how late a request may end after its time limit, by the
// invariant of the design page.
const TimeLimitGrace = 250 * time.Millisecond

// Range and precision of the histograms, whose unit is a microsecond.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result is the result of one arrival as its caller received it.
type Result struct {
	Arrival
	SendDelay time.Duration // from due to sent
	FirstText time.Duration // from sending to the first text of a draft; 0 if there was none
	Duration  time.Duration
	Outcome   rtapi.Outcome
	Reason    rtapi.Reason
	Broken    bool // no end event or answer was received
}

// Late reports whether the request ended after its time limit and
// TimeLimitGrace.
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

// Summary aggregates the results of one group of requests.
type Summary struct {
	Sent          int
	InTime        int
	Late          int
	Broken        int
	TokensInTime  rtid.Tokens // of the prompts that were done in time
	TokensOffered rtid.Tokens // of all prompts
	EndCounts     map[End]int
	firstText     *hdrhistogram.Histogram
	duration      *hdrhistogram.Histogram
}

func newSummary() *Summary {
	return &Summary{
		EndCounts: make(map[End]int),
		firstText: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		duration:  hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

func (s *Summary) add(result *Result) {
	s.Sent++
	s.TokensOffered += result.Tokens
	s.EndCounts[End{result.Outcome, result.Reason}]++
	if result.Broken {
		s.Broken++
	}
	if result.Late() {
		s.Late++
	}
	if result.InTime() {
		s.InTime++
		s.TokensInTime += result.Tokens
	}
	if result.FirstText > 0 {
		recordDuration(s.firstText, result.FirstText)
	}
	if result.Outcome == rtapi.Done {
		recordDuration(s.duration, result.Duration)
	}
}

func recordDuration(histogram *hdrhistogram.Histogram, value time.Duration) {
	// The value is clamped to the range, so that RecordValue cannot fail.
	_ = histogram.RecordValue(min(max(1, value.Microseconds()), maxMicroseconds))
}

// FirstTextPercentile returns a percentile of the time to the first text.
func (s *Summary) FirstTextPercentile(percentile float64) time.Duration {
	return time.Duration(s.firstText.ValueAtPercentile(percentile)) * time.Microsecond
}

// MeanFirstText returns the mean time to the first text.
func (s *Summary) MeanFirstText() time.Duration {
	return time.Duration(s.firstText.Mean() * float64(time.Microsecond))
}

// DurationPercentile returns a percentile of the duration of requests that were
// done.
func (s *Summary) DurationPercentile(percentile float64) time.Duration {
	return time.Duration(s.duration.ValueAtPercentile(percentile)) * time.Microsecond
}

// InTimeRatio returns the fraction of the requests that were done in time.
func (s *Summary) InTimeRatio() float64 {
	return float64(s.InTime) / float64(max(1, s.Sent))
}

// NotInTime returns the number of requests that were not done in time.
func (s *Summary) NotInTime() int {
	return s.Sent - s.InTime
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

// Summarise returns the summary of the results for which keep returns true.
func (r *Recorder) Summarise(keep func(*Result) bool) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := newSummary()
	for i := range r.results {
		if keep(&r.results[i]) {
			summary.add(&r.results[i])
		}
	}
	return summary
}

// MaxSendDelay returns the longest delay from due to sent. A large value means
// that the load was not open-loop.
func (r *Recorder) MaxSendDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest time.Duration
	for i := range r.results {
		longest = max(longest, r.results[i].SendDelay)
	}
	return longest
}

// Since returns a recorder with the results of the requests that were due at
// start or later.
func (r *Recorder) Since(start time.Duration) *Recorder {
	return r.Between(start, math.MaxInt64)
}

// Between returns a recorder with the results of the requests that were due at
// start or later and before end.
func (r *Recorder) Between(start, end time.Duration) *Recorder {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := &Recorder{}
	for i := range r.results {
		if due := r.results[i].Due; due >= start && due < end {
			selected.results = append(selected.results, r.results[i])
		}
	}
	return selected
}
