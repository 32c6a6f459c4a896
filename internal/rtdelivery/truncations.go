package rtdelivery

import (
	"maps"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// truncationTTL is how long a target that has truncated a stream is known for it. The
	// budget for confirmations may be used up for its whole window of 10 s, so a shorter
	// time would forget a faulty target before another confirmation can show it again.
	truncationTTL = 30 * time.Second
	// maxTruncations limits the targets that are remembered; more than the largest
	// deployments have. Beyond it the oldest is dropped.
	maxTruncations = 1024
)

// Truncations are the targets that have ended a stream before its last event in an orderly
// way, as the rest of the stream from another target has shown. What such a target ends is
// not complete unless another one confirms it. The zero value is empty.
type Truncations struct {
	seen map[truncation]time.Time
}

// truncation is one start of a target: another start may be of a mended program.
type truncation struct {
	target rtid.Target
	start  rtid.Incarnation
}

// Record records that a target has truncated a stream.
func (t *Truncations) Record(target rtid.Target, start rtid.Incarnation, now time.Time) {
	if t.seen == nil {
		t.seen = make(map[truncation]time.Time)
	}
	maps.DeleteFunc(t.seen, func(_ truncation, at time.Time) bool { return expired(at, now) })
	key := truncation{target, start}
	if _, known := t.seen[key]; !known && len(t.seen) >= maxTruncations {
		t.dropOldest()
	}
	t.seen[key] = now
}

func (t *Truncations) dropOldest() {
	var oldest truncation
	var first time.Time
	for key, at := range t.seen {
		if first.IsZero() || at.Before(first) {
			oldest, first = key, at
		}
	}
	delete(t.seen, oldest)
}

// Truncates reports whether a target has truncated a stream lately.
func (t *Truncations) Truncates(target rtid.Target, start rtid.Incarnation, now time.Time) bool {
	at, known := t.seen[truncation{target, start}]
	return known && !expired(at, now)
}

func expired(at, now time.Time) bool { return now.Sub(at) >= truncationTTL }
