package rtagent

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwarm"
)

const (
	// paceWeight is the weight of a new sample in the moving means.
	paceWeight = 0.2
	// minRateWork is the shortest prefill that measures the rate; shorter ones
	// measure the overhead of a call.
	minRateWork = 100 * time.Millisecond
	// slowSpan and fastSpan bound how far one sample may be from the warm rate.
	// Samples are too fast where the target has a prefix in its cache.
	slowSpan = 20
	fastSpan = 4
)

// pace is the measured speed of a target.
type pace struct {
	rate     float64                      // prefill tokens per second; 0 if not known
	warm     float64                      // the same of a warm target
	token    time.Duration                // mean time between tokens of an answer; 0 if not known
	usual    time.Duration                // the same of a warm target
	duration map[rtid.Class]time.Duration // mean time at the target
}

func newPace(rate float64) pace {
	return pace{rate: rate, warm: rate, duration: make(map[rtid.Class]time.Duration)}
}

// prefill returns the predicted time to prefill tokens.
func (p *pace) prefill(tokens rtid.Tokens) time.Duration {
	return spend(tokens, p.rate)
}

// expected returns the time that a warm target needs to prefill tokens.
func (p *pace) expected(tokens rtid.Tokens) time.Duration {
	return spend(tokens, p.warm)
}

func spend(tokens rtid.Tokens, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// answer returns the predicted time of an answer after its first token.
func (p *pace) answer(output rtid.Tokens) time.Duration {
	return time.Duration(output) * p.token
}

// slot returns the predicted wait for a slot when over requests more than
// limit want one.
func (p *pace) slot(class rtid.Class, over, limit int) time.Duration {
	if over <= 0 {
		return 0
	}
	return p.duration[class] * time.Duration(over) / time.Duration(max(1, limit))
}

// prefilled takes in a measured time to first token, with all tokens that
// were prefilled in that time.
func (p *pace) prefilled(tokens rtid.Tokens, measured time.Duration) {
	if p.warm <= 0 || measured <= 0 || p.expected(tokens) < minRateWork {
		return
	}
	sample := float64(tokens) / measured.Seconds()
	sample = min(max(sample, p.warm/slowSpan), p.warm*fastSpan)
	p.rate += paceWeight * (sample - p.rate)
}

// answered takes in the time of tokens after the first one. A slow answer
// does not change what is usual, so that a cold target stays noticeable.
func (p *pace) answered(tokens rtid.Tokens, measured time.Duration, slow bool) {
	if tokens <= 0 {
		return
	}
	sample := measured / time.Duration(tokens)
	p.token = mean(p.token, sample)
	if !slow {
		p.usual = mean(p.usual, sample)
	}
}

// tokenRatio compares the time of tokens after the first one with the usual.
func (p *pace) tokenRatio(tokens rtid.Tokens, measured time.Duration) float64 {
	if p.usual == 0 {
		return 1
	}
	return rtwarm.Ratio(measured, time.Duration(tokens)*p.usual)
}

// served takes in the time of a request at the target.
func (p *pace) served(class rtid.Class, measured time.Duration) {
	p.duration[class] = mean(p.duration[class], measured)
}

func mean(current, sample time.Duration) time.Duration {
	if current == 0 {
		return sample
	}
	return current + time.Duration(paceWeight*float64(sample-current))
}
