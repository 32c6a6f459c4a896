package rtfake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// prefixSize is the number of bytes of a prompt that name its cache entry.
const prefixSize = 1024

// maxEvents bounds the cache events that an engine remembers.
const maxEvents = 4096

// prefixCache keeps the newest prompt of each prefix, least recently used
// evicted first.
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

// lookup returns how many tokens of the prompt need no prefill.
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

// store keeps a prompt. A prompt over the limit of the cache is not kept.
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

// eventLog publishes cache events late, and loses every gap-th.
type eventLog struct {
	delay    time.Duration
	gap      uint64 // 0: no event is lost
	sequence uint64
	events   []datedEvent
}

type datedEvent struct {
	event   rttarget.CacheEvent
	visible time.Time
}

func (l *eventLog) add(prefix uint64, stored bool, now time.Time) {
	l.sequence++
	if l.gap > 0 && l.sequence%l.gap == 0 {
		return
	}
	if len(l.events) == maxEvents {
		l.events = l.events[1:]
	}
	event := rttarget.CacheEvent{Sequence: l.sequence, Prefix: prefix, Stored: stored}
	l.events = append(l.events, datedEvent{event: event, visible: now.Add(l.delay)})
}

// after returns the visible events after a sequence number.
func (l *eventLog) after(sequence uint64, now time.Time) []rttarget.CacheEvent {
	found := []rttarget.CacheEvent{}
	for _, dated := range l.events {
		if dated.event.Sequence > sequence && !now.Before(dated.visible) {
			found = append(found, dated.event)
		}
	}
	return found
}
