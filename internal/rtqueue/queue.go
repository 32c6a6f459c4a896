// Package rtqueue implements the queue of one agent. It orders waiting requests
// and tracks running ones, because they determine what may start next. It has no
// clock of its own and is not safe for concurrent use.
//
// Some slots are reserved for short requests. The wait of every request is
// bounded: once it has waited for AgeLimit, no younger request takes a slot or
// memory that it waits for. Short requests still start before it while longer
// running requests use that memory. The aged request starts as soon as the older
// aged requests have started, running requests have freed a slot and enough
// memory, and, for a long prompt, the running long prompts have produced their
// first tokens.
package rtqueue

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// AgeLimit is the wait after which requests start in order of arrival.
	AgeLimit = 20 * time.Second
	// minWeight keeps an organisation without a planned share from starving.
	minWeight = 1e-3
)

// arrivalPenalty is added to the arrival of a request of each class, so that
// shorter requests overtake longer ones for a limited time. Each value must be
// below AgeLimit.
var arrivalPenalty = [...]time.Duration{
	rtid.ClassShort:  0,
	rtid.ClassMedium: 2 * time.Second,
	rtid.ClassLong:   10 * time.Second,
}

// Limits holds the limits of a queue.
type Limits struct {
	MaxWaiting     int         // number of waiting requests
	MaxBytes       rtid.Bytes  // total BodySize of waiting requests
	MaxLongPrefill rtid.Tokens // prefill tokens of running long prompts; one prompt may always run
}

// Item is a waiting or running request.
type Item struct {
	ID           rtid.Request
	Organisation rtid.Organisation
	Weight       float64 // planned share of the organisation
	Class        rtid.Class
	Tokens       rtid.Tokens // tokens to prefill
	Memory       rtid.Tokens // KV memory that it uses while it runs
	BodySize     rtid.Bytes  // size of the body and the prefix
	Arrived      time.Time
	Deadline     time.Time
}

type flowKey struct {
	organisation rtid.Organisation
	class        rtid.Class
}

// flow holds the waiting requests of one organisation in one class, oldest
// first. It is never empty.
type flow struct {
	key   flowKey
	items list.List // of *entry
}

// insert adds a request after the older ones. A request that returns to the
// queue may be older than others that wait.
func (f *flow) insert(added *entry) *list.Element {
	for element := f.items.Back(); element != nil; element = element.Prev() {
		if !added.Arrived.Before(element.Value.(*entry).Arrived) {
			return f.items.InsertAfter(added, element)
		}
	}
	return f.items.PushFront(added)
}

func (f *flow) head() *entry {
	return f.items.Front().Value.(*entry)
}

type entry struct {
	Item
	flow       *flow         // nil once the request runs
	element    *list.Element // position in flow
	index      int           // position in deadlines
	prefilling bool          // runs and has not produced its first token
}

// Queue holds the waiting and running requests of one target.
type Queue struct {
	limits             Limits
	entries            map[rtid.Request]*entry // waiting and running
	flows              map[flowKey]*flow
	deadlines          deadlineHeap                  // of waiting requests
	virtualFinish      map[rtid.Organisation]float64 // virtual finish time of the last started request of each organisation
	virtualTime        float64                       // virtual time of fair queueing, in weighted tokens
	waiting            totals
	running            totals
	runningByClass     [len(arrivalPenalty)]int         // running requests by class
	waitingShort       int                              // waiting short requests
	runningShortMemory rtid.Tokens                      // memory of running short requests
	longPrefill        rtid.Tokens                      // prefill tokens of running long prompts
	prefillByClass     [len(arrivalPenalty)]rtid.Tokens // prefill tokens of running prompts by class
	shortSlots         shortSlotReserve
}

type totals struct {
	count  int
	tokens rtid.Tokens
	bytes  rtid.Bytes
}

func (t *totals) add(item *Item, sign int) {
	t.count += sign
	t.tokens += rtid.Tokens(sign) * item.Tokens
	t.bytes += rtid.Bytes(sign) * item.BodySize
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{
		limits:        limits,
		entries:       make(map[rtid.Request]*entry),
		flows:         make(map[flowKey]*flow),
		virtualFinish: make(map[rtid.Organisation]float64),
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting.count }

// WaitingTokens returns the tokens to prefill of waiting requests.
func (q *Queue) WaitingTokens() rtid.Tokens { return q.waiting.tokens }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running.count }

// PrefillBacklog returns the tokens to prefill of running requests that have not
// produced their first token.
func (q *Queue) PrefillBacklog() rtid.Tokens { return q.prefillBacklogUpTo(rtid.ClassLong) }

// prefillBacklogUpTo returns the prefill backlog of a class and all shorter
// ones.
func (q *Queue) prefillBacklogUpTo(class rtid.Class) rtid.Tokens {
	var sum rtid.Tokens
	for _, tokens := range q.prefillByClass[:class+1] {
		sum += tokens
	}
	return sum
}

// Push adds a waiting request. It returns false if the queue is full or contains
// the request already.
func (q *Queue) Push(item Item) bool {
	if q.waiting.count >= q.limits.MaxWaiting || q.waiting.bytes+item.BodySize > q.limits.MaxBytes {
		return false
	}
	if q.entries[item.ID] != nil {
		return false
	}
	key := flowKey{item.Organisation, item.Class}
	queued := q.flows[key]
	if queued == nil {
		queued = &flow{key: key}
		q.flows[key] = queued
	}
	added := &entry{Item: item, flow: queued}
	added.element = queued.insert(added)
	q.entries[item.ID] = added
	heap.Push(&q.deadlines, added)
	q.addWaiting(&item, 1)
	q.observeShort(item.Arrived)
	return true
}

// Remove removes a waiting request. It returns false if the request was not
// waiting.
func (q *Queue) Remove(id rtid.Request) bool {
	found := q.entries[id]
	if found == nil || found.flow == nil {
		return false
	}
	q.unlink(found)
	delete(q.entries, id)
	return true
}

// RemoveExpired removes and returns the waiting requests whose deadline has
// passed.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].Deadline) {
		first := q.deadlines[0]
		q.Remove(first.ID)
		expired = append(expired, first.Item)
	}
	return expired
}

// Pop moves the next request that may start from waiting to running. The limit
// of running requests is slots, and free is the KV memory that is not reserved.
// Expired requests are removed and returned as refused.
func (q *Queue) Pop(now time.Time, slots int, free rtid.Tokens) (next Item, ok bool, refused []Item) {
	refused = q.RemoveExpired(now)
	q.observeShort(now)
	if q.running.count >= slots {
		return Item{}, false, refused
	}
	selected := q.selectNext(now, slots, free)
	if selected == nil {
		return Item{}, false, refused
	}
	q.start(selected)
	return selected.Item, true, refused
}

// PrefillDone records that a running request has produced its first token.
func (q *Queue) PrefillDone(id rtid.Request) {
	found := q.entries[id]
	if found == nil || !found.prefilling {
		return
	}
	found.prefilling = false
	q.prefillByClass[found.Class] -= found.Tokens
	if found.Class == rtid.ClassLong {
		q.longPrefill -= found.Tokens
	}
}

// Finish removes a running request.
func (q *Queue) Finish(id rtid.Request, now time.Time) {
	found := q.entries[id]
	if found == nil || found.flow != nil {
		return
	}
	q.PrefillDone(id)
	q.running.add(&found.Item, -1)
	q.runningByClass[found.Class]--
	if found.Class == rtid.ClassShort {
		q.runningShortMemory -= found.Memory
	}
	delete(q.entries, id)
	q.observeShort(now)
}

// TokensAhead returns the tokens to prefill before a new request of a class, if
// no other request arrives: those of waiting requests and the prefill backlog
// of its own and shorter classes. Longer prompts do not count, because engines
// prefill shorter prompts first even if the longer ones started earlier.
func (q *Queue) TokensAhead(class rtid.Class) rtid.Tokens {
	ahead := q.prefillBacklogUpTo(class)
	for key, queued := range q.flows {
		if key.class <= class {
			ahead += queued.tokens()
		}
	}
	return ahead
}

// tokens returns the tokens to prefill of a flow.
func (f *flow) tokens() rtid.Tokens {
	var sum rtid.Tokens
	for element := f.items.Front(); element != nil; element = element.Next() {
		sum += element.Value.(*entry).Tokens
	}
	return sum
}

func (q *Queue) start(e *entry) {
	q.unlink(e)
	q.chargeFairShare(&e.Item)
	e.prefilling = true
	q.running.add(&e.Item, 1)
	q.runningByClass[e.Class]++
	if e.Class == rtid.ClassShort {
		q.runningShortMemory += e.Memory
	}
	q.prefillByClass[e.Class] += e.Tokens
	if e.Class == rtid.ClassLong {
		q.longPrefill += e.Tokens
	}
}

// chargeFairShare advances the virtual finish time of the organisation by the
// tokens of a request, divided by its weight (start-time fair queueing).
func (q *Queue) chargeFairShare(item *Item) {
	start := max(q.virtualTime, q.virtualFinish[item.Organisation])
	q.virtualTime = start
	q.virtualFinish[item.Organisation] = start + float64(item.Tokens)/max(item.Weight, minWeight)
}

func (q *Queue) unlink(e *entry) {
	e.flow.items.Remove(e.element)
	if e.flow.items.Len() == 0 {
		delete(q.flows, e.flow.key)
	}
	e.flow = nil
	heap.Remove(&q.deadlines, e.index)
	q.addWaiting(&e.Item, -1)
	if q.waiting.count == 0 {
		// Without waiting requests, no organisation has a claim to earlier
		// service.
		clear(q.virtualFinish)
		q.virtualTime = 0
	}
}

// addWaiting adds sign times a request to the totals of waiting requests.
func (q *Queue) addWaiting(item *Item, sign int) {
	q.waiting.add(item, sign)
	if item.Class == rtid.ClassShort {
		q.waitingShort += sign
	}
}

func (q *Queue) observeShort(now time.Time) {
	q.shortSlots.observe(q.waitingShort+q.runningByClass[rtid.ClassShort], now)
}
