package rtquarantine

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// soundParts holds the time of the last success of parts in two generations. The
// older one is dropped when the recent one is full or soundWindow old, which
// drops the oldest successes without a search for them. The zero value is empty.
type soundParts struct {
	recent  map[rtid.Part]time.Time // at most maxSoundParts
	older   map[rtid.Part]time.Time // at most maxSoundParts
	started time.Time               // of the recent generation
}

// record records a success of a part.
func (p *soundParts) record(part rtid.Part, now time.Time) {
	if _, ok := p.recent[part]; !ok {
		if p.recent == nil || len(p.recent) >= maxSoundParts || now.Sub(p.started) > soundWindow {
			p.older, p.recent, p.started = p.recent, make(map[rtid.Part]time.Time), now
		}
		part = clonePart(part)
	}
	p.recent[part] = now
}

// last returns the time of the last known success of a part, zero for none.
func (p *soundParts) last(part rtid.Part) time.Time {
	if at, ok := p.recent[part]; ok {
		return at
	}
	return p.older[part]
}
