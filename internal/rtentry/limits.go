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
	// trafficFraction is the assumed fraction of an organisation's traffic that
	// arrives at this entry. Entries do not exchange their traffic, and an
	// organisation with few connections may send all of it here, so a smaller
	// value would refuse planned work. The fair share at the agents limits the
	// sum over the entries.
	trafficFraction = 1
	// defaultRetryAfter is the retry delay sent to a caller when the retry budget
	// or the capacity is exhausted. Load reports of targets are at most this
	// old.
	defaultRetryAfter = time.Second
)

// limits holds the retry budget and the organisations' rate limits of an entry.
type limits struct {
	mu            sync.Mutex
	retryBudget   rtlimit.RetryBudget
	organisations rtlimit.OrganisationLimits
}

// recordFirstOffer adds the first offer of a draft to the retry budget.
func (l *limits) recordFirstOffer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryBudget.RecordOffer(time.Now())
}

// takeRetry takes one retry from the budget. It reports false if none is
// available.
func (l *limits) takeRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryBudget.Take(time.Now())
}

// retryCounts returns the retries that the budget allows now, and the number
// taken since the start.
func (l *limits) retryCounts() (float64, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryBudget.Available(time.Now()), l.retryBudget.Retries()
}

// allow reports whether an organisation is within its rate limit. If not, it
// returns the retry delay.
func (l *limits) allow(organisation rtid.Organisation, service rtid.Service, limit float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.organisations.Allow(time.Now(), organisation, service, limit)
}

// checkOrganisation refuses a request over the organisation's rate limit.
func (e *Entry) checkOrganisation(x *exchange, service rtid.Service) *refusal {
	limit := rtlimit.OrganisationRate(x.organisation.ShareOf(service), plannedRate(x.document, service), trafficFraction, 1)
	retryAfter, ok := e.limits.allow(x.organisation.Name, service, limit)
	if ok {
		return nil
	}
	refused := notRun(http.StatusTooManyRequests, rtapi.ReasonOrganisation, true,
		"the organisation has used its planned share of the service")
	refused.retryAfter = retryAfter
	return refused
}

// plannedRate returns the planned requests per second of a service, summed over
// the zones that are in service.
func plannedRate(document *rtdocument.Document, service rtid.Service) float64 {
	var sum float64
	for i := range document.Zones {
		if document.Zones[i].State == rtdocument.ZoneInService {
			sum += document.Zones[i].Capacity[service]
		}
	}
	return sum
}
