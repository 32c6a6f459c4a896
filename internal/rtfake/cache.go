package rtfake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// prefixSize is the number of leading bytes of a prompt that identify its cache
// entry.
const prefixSize = 1024

// maxEvents bounds the cache events that an engine keeps for GET /events.
const maxEvents = 4096

// prefixCache keeps the newest prompt of each prefix. It evicts the least
// recently used entry first.
type prefixCache struct {
	limit   rtid.Tokens
	used    rtid.Tokens
	entries map[uint64]*list.Element // of *cacheEntry
	order   list.List                // most recently used first
	events  *eventLog
}

type cacheEntry struct {
	prefix uint64
	prompt []byte
	tokens rtid.Tokens
}

func newPrefixCache(limit rtid.Tokens, events *eventLog) *prefixCache {
	return &prefixCache{limit: limit, entries: map[uint64]*list.Element{}, events: events}
}

func prefixOf(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), prefixSize)])
}

// lookup returns how many leading tokens of the prompt are cached and need no
// prefill.
func (c *prefixCache) lookup(prompt []byte) rtid.Tokens {
	element := c.entries[prefixOf(prompt)]
	if element == nil {
		return 0
	}
	c.order.MoveToFront(element)
	common := commonLength(element.Value.(*cacheEntry).prompt, prompt)
	if common == 0 {
		return 0
	}
	return rtid.EstimateTokens(rtid.Bytes(common))
}

func commonLength(a, b []byte) int {
	shorter := min(len(a), len(b))
	for i := range shorter {
		if a[i] != b[i] {
			return i
		}
	}
	return shorter
}

// store adds a prompt, unless it alone exceeds the limit of the cache.
func (c *prefixCache) store(prompt []byte, now time.Time) {
	tokens := rtid.EstimateTokens(rtid.Bytes(len(prompt)))
	if tokens > c.limit {
		return
	}
	prefix := prefixOf(prompt)
	if element := c.entries[prefix]; element != nil {
		entry := element.Value.(*cacheEntry)
		c.used += tokens - entry.tokens
		entry.prompt, entry.tokens = prompt, tokens
		c.order.MoveToFront(element)
	} else {
		c.entries[prefix] = c.order.PushFront(&cacheEntry{prefix: prefix, prompt: prompt, tokens: tokens})
		c.used += tokens
		c.events.add(prefix, true, now)
	}
	for c.used > c.limit {
		c.evict(now)
	}
}

func (c *prefixCache) evict(now time.Time) {
	last := c.order.Back()
	entry := c.order.Remove(last).(*cacheEntry)
	delete(c.entries, entry.prefix)
	c.used -= entry.tokens
	c.events.add(entry.prefix, false, now)
}

// eventLog publishes cache events with a delay and loses every lossInterval-th
// event.
type eventLog struct {
	delay        time.Duration
	lossInterval uint64 // 0: events are never lost
	sequence     uint64
	events       []delayedEvent
}

type delayedEvent struct {
	event     rttarget.CacheEvent
	visibleAt time.Time
}

func (l *eventLog) add(prefix uint64, stored bool, now time.Time) {
	l.sequence++
	if l.lossInterval > 0 && l.sequence%l.lossInterval == 0 {
		return
	}
	if len(l.events) == maxEvents {
		l.events = l.events[1:]
	}
	event := rttarget.CacheEvent{Sequence: l.sequence, Prefix: prefix, Stored: stored}
	l.events = append(l.events, delayedEvent{event: event, visibleAt: now.Add(l.delay)})
}

// after returns the visible events with a higher sequence number.
func (l *eventLog) after(sequence uint64, now time.Time) []rttarget.CacheEvent {
	found := []rttarget.CacheEvent{}
	for _, delayed := range l.events {
		if delayed.event.Sequence > sequence && !now.Before(delayed.visibleAt) {
			found = append(found, delayed.event)
		}
	}
	return found
}
