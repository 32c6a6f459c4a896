package rtlimit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// burstDuration is the duration of traffic at the limit that may come at
	// once. Courts and studios send in bursts of a few seconds after each
	// sitting.
	burstDuration = 10 * time.Second
	// minBurst lets an organisation with a very small share send a few requests
	// together.
	minBurst = 5
	// idleTimeout is how long a bucket is kept without traffic. It is full again
	// long before that.
	idleTimeout = 10 * time.Minute
)

// OrganisationRate returns the requests per second that one entry allows an
// organisation at one service. It is the organisation's share of the planned
// rate, times the fraction of its recent traffic that comes through this
// entry, but at least an equal part for each live entry. So the rates of all
// entries add up to the share without a shared counter, and to more while some
// entries get less than an equal part of the traffic. It returns 0, for no
// limit, if the service has no planned rate.
func OrganisationRate(share, planned, fraction float64, liveEntries int) float64 {
	equalPart := 1 / float64(max(1, liveEntries))
	return share * planned * min(1, max(fraction, equalPart))
}

type bucketKey struct {
	organisation rtid.Organisation
	service      rtid.Service
}

// bucket is the limit of one organisation at one service.
type bucket struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// OrganisationLimits holds the limits of all organisations at one entry. The
// zero value is ready to use.
type OrganisationLimits struct {
	buckets   map[bucketKey]*bucket
	lastSweep time.Time
}

// Allow reports whether the organisation may send one more request to the
// service, within a limit in requests per second, 0 for none. If not, it
// returns the delay before a retry.
func (o *OrganisationLimits) Allow(now time.Time, organisation rtid.Organisation, service rtid.Service,
	limit float64) (time.Duration, bool) {
	if limit <= 0 {
		return 0, true
	}
	o.sweep(now)
	b := o.bucket(now, bucketKey{organisation, service}, limit)
	b.lastUsed = now
	if b.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - b.limiter.TokensAt(now)
	return time.Duration(missing / limit * float64(time.Second)), false
}

// bucket returns the bucket of a key and sets its limit.
func (o *OrganisationLimits) bucket(now time.Time, k bucketKey, limit float64) *bucket {
	burst := max(minBurst, int(limit*burstDuration.Seconds()))
	b := o.buckets[k]
	if b == nil {
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(limit), burst)}
		if o.buckets == nil {
			o.buckets = make(map[bucketKey]*bucket)
		}
		o.buckets[k] = b
	}
	if b.limiter.Limit() != rate.Limit(limit) {
		b.limiter.SetLimitAt(now, rate.Limit(limit))
		b.limiter.SetBurstAt(now, burst)
	}
	return b
}

// sweep deletes idle buckets, so that organisations that are no longer in the
// plan use no memory.
func (o *OrganisationLimits) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < idleTimeout {
		return
	}
	o.lastSweep = now
	for k, b := range o.buckets {
		if now.Sub(b.lastUsed) >= idleTimeout {
			delete(o.buckets, k)
		}
	}
}
