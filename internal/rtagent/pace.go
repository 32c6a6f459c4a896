package rtagent

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwarm"
)

const (
	// paceWeight is the weight of a new sample in the moving means.
	paceWeight = 0.2
	// slowWeight is the weight of a slow sample in what counts as usual. It is
	// small, so that a cold target stays noticeable, but not zero, so that a
	// target that is slower for good counts as warm in the end.
	slowWeight = 0.01
	// minRateWork is the shortest prefill that measures the rate; shorter ones
	// measure the overhead of a call.
	minRateWork = 100 * time.Millisecond
	// slowSpan and fastSpan bound how far one sample may be from the nominal
	// rate. Samples are too fast where the target has a prefix in its cache.
	slowSpan = 20
	fastSpan = 4
	// paceRecovery is the time without samples after which the pace counts as
	// usual again. Otherwise a slow spell would refuse all work that could
	// show that it is over.
	paceRecovery = time.Minute
)

// pace is the measured speed of a target.
type pace struct {
	nominal  float64                      // prefill tokens per second by the settings; 0 if none
	rate     float64                      // the same as measured last
	warm     float64                      // the same of a warm target, at most nominal
	token    time.Duration                // mean time between tokens of an answer; 0 if not known
	usual    time.Duration                // the same of a warm target
	duration map[rtid.Class]time.Duration // mean time at the target
	rated    time.Time                    // last sample of rate
	timed    time.Time                    // last sample of token
}

func newPace(rate float64) pace {
	return pace{nominal: rate, rate: rate, warm: rate, duration: make(map[rtid.Class]time.Duration)}
}

// rateAt returns the prefill tokens per second to predict with.
func (p *pace) rateAt(now time.Time) float64 {
	if p.rate >= p.warm {
		return p.rate
	}
	return p.rate + recovered(p.rated, now)*(p.warm-p.rate)
}

// recovered returns how much of a slow spell counts as over, from 0 to 1.
func recovered(last, now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(last))/float64(paceRecovery)))
}

// prefill returns the predicted time to prefill tokens.
func (p *pace) prefill(tokens rtid.Tokens, now time.Time) time.Duration {
	return spend(tokens, p.rateAt(now))
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
func (p *pace) answer(output rtid.Tokens, now time.Time) time.Duration {
	token := p.token
	if token > p.usual {
		token -= time.Duration(recovered(p.timed, now) * float64(token-p.usual))
	}
	return time.Duration(output) * token
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
func (p *pace) prefilled(tokens rtid.Tokens, measured time.Duration, now time.Time) {
	if p.nominal <= 0 || measured <= 0 || p.expected(tokens) < minRateWork {
		return
	}
	sample := float64(tokens) / measured.Seconds()
	sample = min(max(sample, p.nominal/slowSpan), p.nominal*fastSpan)
	p.rate += paceWeight * (sample - p.rate)
	p.rated = now
	weight := paceWeight
	if sample*rtwarm.SlowRatio < p.warm {
		weight = slowWeight
	}
	p.warm = min(p.nominal, p.warm+weight*(sample-p.warm))
}

// answered takes in the time of tokens after the first one.
func (p *pace) answered(tokens rtid.Tokens, measured time.Duration, now time.Time) {
	if tokens <= 0 {
		return
	}
	weight := paceWeight
	if p.tokenRatio(tokens, measured) >= rtwarm.SlowRatio {
		weight = slowWeight
	}
	sample := measured / time.Duration(tokens)
	p.token = mean(p.token, sample, paceWeight)
	p.usual = mean(p.usual, sample, weight)
	p.timed = now
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
	p.duration[class] = mean(p.duration[class], measured, paceWeight)
}

func mean(current, sample time.Duration, weight float64) time.Duration {
	if current == 0 {
		return sample
	}
	return current + time.Duration(weight*float64(sample-current))
}
