package rtlimit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// burstTime is the traffic at the limit that may come at once. Courts and
	// studios send in bursts of a few seconds after each sitting.
	burstTime = 10 * time.Second
	// minBurst lets an organisation with a very small share send a few
	// requests together.
	minBurst = 5
	// idleTime is how long a bucket is kept without traffic. It is full again
	// long before.
	idleTime = 10 * time.Minute
)

// Rate returns the requests per second that one entry allows an organisation
// at one service: its share of the planned rate, times the fraction of the
// organisation's recent traffic that comes through this entry, at least an
// equal part for each live entry. The parts add up over the entries without a
// shared counter. It returns 0, for no limit, if the service has no planned
// rate.
func OrganisationRate(share, planned, fraction float64, entries int) float64 {
	equal := 1 / float64(max(1, entries))
	return share * planned * min(1, max(fraction, equal))
}

// key names one bucket.
type key struct {
	organisation rtid.Organisation
	service      rtid.Service
}

// bucket is the limit of one organisation at one service.
type bucket struct {
	limiter *rate.Limiter
	used    time.Time
}

// Organisations holds the limits of all organisations at one entry. The zero
// value is ready to use.
type OrganisationLimits struct {
	buckets map[key]*bucket
	swept   time.Time
}

// Allow reports whether the organisation may send one more request to the
// service at a limit in requests per second, 0 for none. If not, it returns
// when to try again.
func (o *OrganisationLimits) Allow(now time.Time, organisation rtid.Organisation, service rtid.Service,
	limit float64) (time.Duration, bool) {
	if limit <= 0 {
		return 0, true
	}
	o.sweep(now)
	b := o.bucket(now, key{organisation, service}, limit)
	b.used = now
	if b.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - b.limiter.TokensAt(now)
	return time.Duration(missing / limit * float64(time.Second)), false
}

// bucket returns the bucket of a key at the limit that is in force.
func (o *OrganisationLimits) bucket(now time.Time, k key, limit float64) *bucket {
	burst := max(minBurst, int(limit*burstTime.Seconds()))
	b := o.buckets[k]
	if b == nil {
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(limit), burst)}
		if o.buckets == nil {
			o.buckets = make(map[key]*bucket)
		}
		o.buckets[k] = b
	}
	if b.limiter.Limit() != rate.Limit(limit) {
		b.limiter.SetLimitAt(now, rate.Limit(limit))
		b.limiter.SetBurstAt(now, burst)
	}
	return b
}

// sweep forgets idle buckets, so that organisations that have left the plan
// use no memory.
func (o *OrganisationLimits) sweep(now time.Time) {
	if now.Sub(o.swept) < idleTime {
		return
	}
	o.swept = now
	for k, b := range o.buckets {
		if now.Sub(b.used) >= idleTime {
			delete(o.buckets, k)
		}
	}
}
