// Package rtqueue orders the requests that wait at one agent. It also counts
// what runs, because that decides what may start next. It has no clock of its
// own and is not safe for concurrent use.
//
// Some slots are kept for short requests. Bound: once a request has waited for
// AgeLimit, no younger request takes another slot, or memory that it lacks;
// short requests start before it only while longer running ones hold that
// memory. It starts as soon as the older aged requests have started, the
// running requests have freed a slot and its memory, and, for a long prompt,
// the running long prompts have had their first token.
package rtqueue

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// AgeLimit is the wait after which a request is served in order of arrival.
	AgeLimit = 20 * time.Second
	// minWeight keeps an organisation with no planned share from stopping.
	minWeight = 1e-3
)

// headStart is how much later a request of a class counts as arrived, so that
// shorter ones go first for a while. It stays under AgeLimit.
var headStart = [...]time.Duration{
	rtid.ClassShort:  0,
	rtid.ClassMedium: 2 * time.Second,
	rtid.ClassLong:   10 * time.Second,
}

// Limits bound a queue.
type Limits struct {
	MaxWaiting     int         // most waiting requests
	MaxBytes       rtid.Bytes  // most bytes of waiting bodies
	MaxLongPrefill rtid.Tokens // most prefill tokens of long prompts at a time; one prompt may always run
}

// Item is a request that waits or runs.
type Item struct {
	ID           rtid.Request
	Organisation rtid.Organisation
	Weight       float64 // planned share of the organisation
	Class        rtid.Class
	Tokens       rtid.Tokens // prompt to prefill
	Memory       rtid.Tokens // KV memory while it runs
	BodySize     rtid.Bytes  // of the body
	Arrived      time.Time
	Deadline     time.Time
}

type flowKey struct {
	organisation rtid.Organisation
	class        rtid.Class
}

// flow is the waiting requests of one organisation in one class, oldest
// first. It is never empty.
type flow struct {
	key   flowKey
	items list.List // of *entry
}

// insert puts a request behind the older ones. A request that comes back to
// the queue is older than others that wait.
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
	flow    *flow         // nil once the request runs
	element *list.Element // in flow
	index   int           // in deadlines
	prefill bool          // runs and has no first token yet
}

// Queue holds what waits and what runs at one target.
type Queue struct {
	limits    Limits
	entries   map[rtid.Request]*entry // all that waits and runs
	flows     map[flowKey]*flow
	deadlines deadlines // of what waits
	finish    map[rtid.Organisation]float64
	virtual   float64 // fair-share clock: weighted tokens served
	waiting   totals
	running   totals
	classes   [len(headStart)]int         // running requests by class
	shorts    int                         // waiting short requests
	shortKV   rtid.Tokens                 // memory of running short requests
	long      rtid.Tokens                 // prefill tokens of running long prompts
	prefill   [len(headStart)]rtid.Tokens // prefill tokens of running prompts by class
	share     share
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
		limits:  limits,
		entries: make(map[rtid.Request]*entry),
		flows:   make(map[flowKey]*flow),
		finish:  make(map[rtid.Organisation]float64),
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting.count }

// WaitingTokens returns the prompt tokens of waiting requests.
func (q *Queue) WaitingTokens() rtid.Tokens { return q.waiting.tokens }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running.count }

// Prefill returns the prompt tokens of running requests before their first
// token.
func (q *Queue) PrefillBacklog() rtid.Tokens { return q.prefillUpTo(rtid.ClassLong) }

// prefillUpTo returns the same for the classes up to one.
func (q *Queue) prefillUpTo(class rtid.Class) rtid.Tokens {
	var sum rtid.Tokens
	for _, tokens := range q.prefill[:class+1] {
		sum += tokens
	}
	return sum
}

// Push adds a waiting request. It reports false if the queue is full or holds
// the request already.
func (q *Queue) Push(item Item) bool {
	if q.waiting.count >= q.limits.MaxWaiting || q.waiting.bytes+item.BodySize > q.limits.MaxBytes {
		return false
	}
	if q.entries[item.ID] != nil {
		return false
	}
	key := flowKey{item.Organisation, item.Class}
	target := q.flows[key]
	if target == nil {
		target = &flow{key: key}
		q.flows[key] = target
	}
	added := &entry{Item: item, flow: target}
	added.element = target.insert(added)
	q.entries[item.ID] = added
	heap.Push(&q.deadlines, added)
	q.count(&item, 1)
	q.observe(item.Arrived)
	return true
}

// Remove takes a waiting request out. It reports whether it waited.
func (q *Queue) Remove(id rtid.Request) bool {
	found := q.entries[id]
	if found == nil || found.flow == nil {
		return false
	}
	q.unlink(found)
	delete(q.entries, id)
	return true
}

// Expired takes out the waiting requests whose deadline has passed.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].Deadline) {
		first := q.deadlines[0]
		q.Remove(first.ID)
		expired = append(expired, first.Item)
	}
	return expired
}

// Pop moves the next request that may start from waiting to running. Slots is
// the most running requests now, free the KV memory that is not reserved.
// Expired requests come out as refused and never start.
func (q *Queue) Pop(now time.Time, slots int, free rtid.Tokens) (next Item, ok bool, refused []Item) {
	refused = q.RemoveExpired(now)
	q.observe(now)
	if q.running.count >= slots {
		return Item{}, false, refused
	}
	chosen := q.choose(now, slots, free)
	if chosen == nil {
		return Item{}, false, refused
	}
	q.start(chosen)
	return chosen.Item, true, refused
}

// Prefilled marks the first token of a running request.
func (q *Queue) PrefillDone(id rtid.Request) {
	found := q.entries[id]
	if found == nil || !found.prefill {
		return
	}
	found.prefill = false
	q.prefill[found.Class] -= found.Tokens
	if found.Class == rtid.ClassLong {
		q.long -= found.Tokens
	}
}

// Done removes a running request.
func (q *Queue) Finish(id rtid.Request, now time.Time) {
	found := q.entries[id]
	if found == nil || found.flow != nil {
		return
	}
	q.PrefillDone(id)
	q.running.add(&found.Item, -1)
	q.classes[found.Class]--
	if found.Class == rtid.ClassShort {
		q.shortKV -= found.Memory
	}
	delete(q.entries, id)
	q.observe(now)
}

// Ahead returns the prompt tokens that a new request of a class has to wait
// for, if nothing else arrives: what waits or is before its first token in its
// own and shorter classes. Longer prompts may start before it, but engines put
// their prefill after that of shorter ones.
func (q *Queue) TokensAhead(class rtid.Class) rtid.Tokens {
	ahead := q.prefillUpTo(class)
	for key, waiting := range q.flows {
		if key.class <= class {
			ahead += waiting.tokens()
		}
	}
	return ahead
}

// tokens returns the prompt tokens of a flow.
func (f *flow) tokens() rtid.Tokens {
	var sum rtid.Tokens
	for element := f.items.Front(); element != nil; element = element.Next() {
		sum += element.Value.(*entry).Tokens
	}
	return sum
}

func (q *Queue) start(e *entry) {
	q.unlink(e)
	q.charge(&e.Item)
	e.prefill = true
	q.running.add(&e.Item, 1)
	q.classes[e.Class]++
	if e.Class == rtid.ClassShort {
		q.shortKV += e.Memory
	}
	q.prefill[e.Class] += e.Tokens
	if e.Class == rtid.ClassLong {
		q.long += e.Tokens
	}
}

// charge advances the organisation's fair-share clock by the tokens it gets,
// by start-time fair queueing.
func (q *Queue) charge(item *Item) {
	start := max(q.virtual, q.finish[item.Organisation])
	q.virtual = start
	q.finish[item.Organisation] = start + float64(item.Tokens)/max(item.Weight, minWeight)
}

func (q *Queue) unlink(e *entry) {
	e.flow.items.Remove(e.element)
	if e.flow.items.Len() == 0 {
		delete(q.flows, e.flow.key)
	}
	e.flow = nil
	heap.Remove(&q.deadlines, e.index)
	q.count(&e.Item, -1)
	if q.waiting.count == 0 {
		// Nobody waits, so nobody is owed anything.
		clear(q.finish)
		q.virtual = 0
	}
}

// count adds to the totals of what waits.
func (q *Queue) count(item *Item, sign int) {
	q.waiting.add(item, sign)
	if item.Class == rtid.ClassShort {
		q.shorts += sign
	}
}

func (q *Queue) observe(now time.Time) {
	q.share.observe(q.shorts+q.classes[rtid.ClassShort], now)
}
