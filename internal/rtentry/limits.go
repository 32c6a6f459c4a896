package rtentry

import (
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

const (
	// trafficFraction is the fraction of an organisation's traffic that this
	// entry is taken to get. No message carries the traffic at other entries,
	// and an organisation with few connections may send all of it here, so a
	// smaller value would refuse planned work. The fair share at the agents
	// bounds the sum over the entries.
	trafficFraction = 1
	// retryAfter is what a caller is told when the retry budget or the
	// capacity is used up. Reports of targets are at most this old.
	retryAfter = time.Second
)

// limits holds the limits of an entry.
type limits struct {
	mu            sync.Mutex
	budget        rtlimit.RetryBudget
	organisations rtlimit.OrganisationLimits
}

// offer records a first offer.
func (l *limits) offer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.RecordOffer(time.Now())
}

// takeRetry reports whether the budget allows a retry, and spends it.
func (l *limits) takeRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(time.Now())
}

// left returns the retries that the budget allows now, and those since the
// start.
func (l *limits) left() (float64, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Available(time.Now()), l.budget.Retries()
}

// allow reports whether an organisation is within its limit, or when to try
// again.
func (l *limits) allow(organisation rtid.Organisation, service rtid.Service, limit float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.organisations.Allow(time.Now(), organisation, service, limit)
}

// checkOrganisation refuses what is over the limit of the organisation.
func (e *Entry) checkOrganisation(x *exchange, service rtid.Service) *refusal {
	limit := rtlimit.OrganisationRate(x.organisation.ShareOf(service), planned(x.document, service), trafficFraction, 1)
	after, ok := e.limits.allow(x.organisation.Name, service, limit)
	if ok {
		return nil
	}
	refused := notRun(http.StatusTooManyRequests, rtapi.ReasonOrganisation, true,
		"the organisation has used its planned share of the service")
	refused.after = after
	return refused
}

// planned returns the planned requests per second of a service in all zones
// that are in.
func planned(document *rtdocument.Document, service rtid.Service) float64 {
	var sum float64
	for i := range document.Zones {
		if document.Zones[i].State == rtdocument.ZoneInService {
			sum += document.Zones[i].Capacity[service]
		}
	}
	return sum
}
