package rtshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// overFactor is the usage over the fair share from which an organisation is over it. Less
// is within what decayed sums of single requests vary by.
const overFactor = 1.25

// steps are the usages over the fair share at which the order of waiting requests
// changes. Within a step the earlier request is first, so that organisations that use
// about the same do not overtake one another with each request.
var steps = []float64{0.5, overFactor, 2 * overFactor, 8 * overFactor}

// Ratio returns the usage over the fair share.
func (s Standing) Ratio() float64 {
	if s.Use <= 0 {
		return 0
	}
	return float64(s.Use) / float64(max(s.Share, 1))
}

// Over reports whether the organisation is over its share.
func (s Standing) Over() bool { return s.Ratio() > overFactor }

// step returns the coarse step of the ratio.
func (s Standing) step() int {
	step := 0
	for _, from := range steps {
		if s.Ratio() > from {
			step++
		}
	}
	return step
}

// Offer is a request of an organisation over its share for which there is room now.
type Offer struct {
	Waited    time.Duration // since its arrival
	LatestSLO time.Duration // latest wait after which it would still be in time
	Backlog   time.Duration // at the engines that it would use
	Allowed   time.Duration // the backlog up to which such a request of others is sent
	Full      bool          // all slots of its target are taken
}

// Hold reports whether a request of an organisation over its share waits although it
// could be sent. It leaves the room to others that wait here, and half of the backlog
// that is allowed to others who come at other gateways. It is held only as long as it can
// still be sent in time afterwards: it is not refused because it was held, and no
// organisation is starved.
func Hold(offer Offer, othersWait bool) bool {
	if offer.Waited >= offer.LatestSLO {
		return false
	}
	return othersWait || offer.Full || offer.Backlog > offer.Allowed/2
}

// Waiter is a request that waits for room.
type Waiter struct {
	Rank         int // 0 is the most urgent
	Organisation rtid.Organisation
	Arrived      time.Time
	Wake         func() // tells the request that it is its turn; must not block
	Standing     Standing
	// Lacking says that it was not sent for lack of room, and not held back.
	Lacking bool
}

// before compares waiters by the order in which they are tried.
func before(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Standing.step(), b.Standing.step()), a.Arrived.Compare(b.Arrived))
}

const (
	// roundInterval is how often each waiting request is tried: about one pass of an
	// engine.
	roundInterval = 40 * time.Millisecond
	// turnTimeout is how long a request may take for its turn. A process that gets less
	// processor time than that only loses the order.
	turnTimeout = 20 * time.Millisecond
)

// Queue holds the requests of a service that wait for room in one process. They are
// tried in rounds, one after the other. The zero value is empty. It is not safe for
// concurrent use.
//
// No request depends on another one for its own turn: one that leaves passes its turn
// on, one that does not respond loses it after turnTimeout, and any request may begin a
// round.
type Queue struct {
	waiters []*Waiter
	pending []*Waiter // not tried yet in this round; the first one has its turn
	began   time.Time // start of the round
	turn    time.Time // start of the turn
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiters) }

// Join adds a request, which is tried from the next round on.
func (q *Queue) Join(w *Waiter) {
	if !slices.Contains(q.waiters, w) {
		q.waiters = append(q.waiters, w)
	}
}

// Leave removes a request that has been sent, refused or abandoned. It returns the one
// whose turn it is then, or nil.
func (q *Queue) Leave(w *Waiter, now time.Time) *Waiter {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiter) bool { return other == w })
	return q.Tried(w, now)
}

// Tried ends the turn of a request, if it has one. It returns the one whose turn it is
// then, or nil.
func (q *Queue) Tried(w *Waiter, now time.Time) *Waiter {
	at := slices.Index(q.pending, w)
	if at < 0 {
		return nil
	}
	q.pending = slices.Delete(q.pending, at, at+1)
	if at > 0 || len(q.pending) == 0 {
		return nil
	}
	q.turn = now
	return q.pending[0]
}

// Begin begins a round if it is time for one, and otherwise takes the turn of a request
// that does not respond. It returns the request whose turn begins, or nil. The standings
// are brought up to date first.
func (q *Queue) Begin(now time.Time, standing func(rtid.Organisation) Standing) *Waiter {
	if len(q.pending) > 0 {
		if now.Sub(q.turn) < turnTimeout {
			return nil
		}
		return q.Tried(q.pending[0], now)
	}
	if len(q.waiters) == 0 || !q.began.IsZero() && now.Sub(q.began) < roundInterval {
		return nil
	}
	for _, w := range q.waiters {
		w.Standing = standing(w.Organisation)
	}
	q.pending = slices.SortedStableFunc(slices.Values(q.waiters), before)
	q.began, q.turn = now, now
	return q.pending[0]
}

// Ahead reports whether a request that lacks room is to be tried before a new one.
func (q *Queue) Ahead(arrival *Waiter) bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return w != arrival && w.Lacking && before(w, arrival) < 0 })
}

// OthersWait reports whether a request of another organisation that is not over its
// share lacks room. A less urgent one does not count.
func (q *Queue) OthersWait(than *Waiter) bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter) bool {
		return w.Lacking && w.Rank <= than.Rank && w.Organisation != than.Organisation && !w.Standing.Over()
	})
}
