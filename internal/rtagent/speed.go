package rtagent

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwarm"
)

const (
	// sampleWeight is the weight of a new sample in the moving means.
	sampleWeight = 0.2
	// slowSampleWeight is the weight of a slow sample in the estimates for a
	// warm target. It is small, so that a cold target still differs from them,
	// but not zero, so that a target that stays slower counts as warm in the
	// end.
	slowSampleWeight = 0.01
	// minRateSample is the shortest prefill that counts as a sample of the rate.
	// Shorter ones mostly measure the overhead of a call.
	minRateSample = 100 * time.Millisecond
	// maxSlowdown and maxSpeedup limit the ratio of one sample to the nominal
	// rate. Samples are too fast when the target has a prefix in its cache.
	maxSlowdown = 20
	maxSpeedup  = 4
	// recoveryTime is the time without samples after which predictions return to
	// the speed of a warm target. Otherwise predictions from a slow period would
	// refuse all requests whose measurements could show that it has ended.
	recoveryTime = time.Minute
)

// speedEstimate is the measured speed of a target.
type speedEstimate struct {
	nominalRate      float64                      // prefill tokens per second from the settings; 0 if not set
	measuredRate     float64                      // moving mean of the measured rate
	warmRate         float64                      // estimate of the rate of a warm target, at most nominalRate
	tokenTime        time.Duration                // mean time per decoded token; 0 if not measured yet
	warmTokenTime    time.Duration                // estimate of tokenTime of a warm target
	meanDuration     map[rtid.Class]time.Duration // mean duration of a request at the target
	rateUpdated      time.Time                    // last sample of measuredRate
	tokenTimeUpdated time.Time                    // last sample of tokenTime
}

func newSpeedEstimate(rate float64) speedEstimate {
	return speedEstimate{nominalRate: rate, measuredRate: rate, warmRate: rate, meanDuration: make(map[rtid.Class]time.Duration)}
}

// predictedRate returns the prefill rate for predictions, in tokens per second.
func (s *speedEstimate) predictedRate(now time.Time) float64 {
	if s.measuredRate >= s.warmRate {
		return s.measuredRate
	}
	return s.measuredRate + recoveredFraction(s.rateUpdated, now)*(s.warmRate-s.measuredRate)
}

// recoveredFraction returns how far predictions have returned to the speed of a
// warm target since the last sample, from 0 to 1.
func recoveredFraction(last, now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(last))/float64(recoveryTime)))
}

// predictPrefill returns the predicted time to prefill tokens.
func (s *speedEstimate) predictPrefill(tokens rtid.Tokens, now time.Time) time.Duration {
	return timeAtRate(tokens, s.predictedRate(now))
}

// warmPrefillTime returns the time that a warm target needs to prefill tokens.
func (s *speedEstimate) warmPrefillTime(tokens rtid.Tokens) time.Duration {
	return timeAtRate(tokens, s.warmRate)
}

func timeAtRate(tokens rtid.Tokens, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// predictDecode returns the predicted time from the first to the last token of
// an answer.
func (s *speedEstimate) predictDecode(output rtid.Tokens, now time.Time) time.Duration {
	token := s.tokenTime
	if token > s.warmTokenTime {
		token -= time.Duration(recoveredFraction(s.tokenTimeUpdated, now) * float64(token-s.warmTokenTime))
	}
	return time.Duration(output) * token
}

// predictSlotWait returns the predicted wait for a slot when the demand exceeds
// limit slots by excess requests.
func (s *speedEstimate) predictSlotWait(class rtid.Class, excess, limit int) time.Duration {
	if excess <= 0 {
		return 0
	}
	return s.meanDuration[class] * time.Duration(excess) / time.Duration(max(1, limit))
}

// recordPrefill updates the rate from a measured time to first token and the
// number of all tokens that the target prefilled in that time.
func (s *speedEstimate) recordPrefill(tokens rtid.Tokens, measured time.Duration, now time.Time) {
	if s.nominalRate <= 0 || measured <= 0 || s.warmPrefillTime(tokens) < minRateSample {
		return
	}
	sample := float64(tokens) / measured.Seconds()
	sample = min(max(sample, s.nominalRate/maxSlowdown), s.nominalRate*maxSpeedup)
	s.measuredRate += sampleWeight * (sample - s.measuredRate)
	s.rateUpdated = now
	weight := sampleWeight
	if sample*rtwarm.SlowRatio < s.warmRate {
		weight = slowSampleWeight
	}
	s.warmRate = min(s.nominalRate, s.warmRate+weight*(sample-s.warmRate))
}

// recordDecode updates the time per token from the time of the tokens after the
// first one.
func (s *speedEstimate) recordDecode(tokens rtid.Tokens, measured time.Duration, now time.Time) {
	if tokens <= 0 {
		return
	}
	weight := sampleWeight
	if s.tokenRatio(tokens, measured) >= rtwarm.SlowRatio {
		weight = slowSampleWeight
	}
	sample := measured / time.Duration(tokens)
	s.tokenTime = movingMean(s.tokenTime, sample, sampleWeight)
	s.warmTokenTime = movingMean(s.warmTokenTime, sample, weight)
	s.tokenTimeUpdated = now
}

// tokenRatio returns the time of tokens after the first one in relation to
// that of a warm target.
func (s *speedEstimate) tokenRatio(tokens rtid.Tokens, measured time.Duration) float64 {
	if s.warmTokenTime == 0 {
		return 1
	}
	return rtwarm.Ratio(measured, time.Duration(tokens)*s.warmTokenTime)
}

// recordDuration updates the mean duration of a class from one request.
func (s *speedEstimate) recordDuration(class rtid.Class, measured time.Duration) {
	s.meanDuration[class] = movingMean(s.meanDuration[class], measured, sampleWeight)
}

func movingMean(current, sample time.Duration, weight float64) time.Duration {
	if current == 0 {
		return sample
	}
	return current + time.Duration(weight*float64(sample-current))
}
