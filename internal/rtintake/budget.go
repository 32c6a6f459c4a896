package rtintake

import "time"

// Draw is what one request holds of a Budget. Its fields belong to the Budget.
type Draw struct {
	holder   string
	held     int64
	arrived  time.Time
	progress time.Time // when a byte last arrived, or memory that it waited for was given
	waiting  time.Time // since when it waits for memory; zero if it does not
	need     int64     // bytes that it waits for
	received int64     // bytes of its header, then of its body
	body     bool      // its header is complete
	sent     bool
	deadline time.Time // of a request that has been sent
	evicted  bool
}

// Held returns the bytes that the request holds.
func (d *Draw) Held() int64 { return d.held }

// Evicted reports whether the request has been evicted.
func (d *Draw) Evicted() bool { return d.evicted }

// Cause is why a request is evicted.
type Cause int

// The causes.
const (
	None    Cause = iota
	Stalled       // nothing has arrived for StallTime
	Slow          // it arrives below the minimum rate
	Largest       // its holder holds most
)

// String returns the cause as a metric label.
func (c Cause) String() string { return [...]string{"none", "stalled", "slow", "largest"}[c] }

// Budget is the memory for the bodies and headers of all requests of a process.
type Budget struct {
	Limit int64 // in bytes; 0 for no bound

	used  int64
	draws map[*Draw]bool
}

// Used returns the bytes that all requests hold.
func (b *Budget) Used() int64 { return b.used }

// Begin returns the draw of a request, which holds nothing yet.
func (b *Budget) Begin(holder string, now time.Time) *Draw {
	if b.draws == nil {
		b.draws = make(map[*Draw]bool)
	}
	d := &Draw{holder: holder, arrived: now, progress: now}
	b.draws[d] = true
	return d
}

// BeginBody says that the header of a request is complete, and names its holder.
func (b *Budget) BeginBody(d *Draw, holder string, now time.Time) {
	d.holder, d.arrived, d.progress, d.body, d.received = holder, now, now, true, 0
}

// Progress records that bytes of a header or body have arrived.
func (b *Budget) Progress(d *Draw, n int, now time.Time) {
	d.received += int64(n)
	d.progress = now
}

// Take gives a request more memory, and reports whether it has it now. Otherwise the
// request waits.
func (b *Budget) Take(d *Draw, n int64, now time.Time) bool {
	if d.evicted {
		return false
	}
	if b.Limit > 0 && b.used+n > b.Limit {
		if d.waiting.IsZero() {
			d.waiting = now
		}
		d.need = n
		return false
	}
	b.used += n
	d.held += n
	if !d.waiting.IsZero() {
		// The time in which nothing was read is not the caller's.
		d.arrived = d.arrived.Add(now.Sub(d.waiting))
		d.progress, d.waiting = now, time.Time{}
	}
	return true
}

// Send says that a request is about to be sent, after which its memory is not taken. It
// reports false if the request has been evicted before.
func (b *Budget) Send(d *Draw, deadline time.Time) bool {
	if d.evicted {
		return false
	}
	d.sent, d.deadline = true, deadline
	return true
}

// Return returns the memory of a request that is not sent again. Its connection may
// still be written to.
func (b *Budget) Return(d *Draw) {
	b.used -= d.held
	d.held = 0
}

// End ends a draw whose connection is idle or closed. A request that still waits for
// memory gets none.
func (b *Budget) End(d *Draw) {
	b.Return(d)
	d.evicted = true
	delete(b.draws, d)
}

// MakeRoom decides which request is evicted for the one that has waited longest, and marks
// it. It returns nil while that one should go on waiting.
//
// It addresses crowds whose bodies exceed the memory: those that stop short of their
// end (Stalled), those that trickle (Slow), and those that all arrive at full speed
// (Largest). Of the last, the newest of the holder that holds most is evicted, so that
// the oldest completes.
func (b *Budget) MakeRoom(now time.Time) (*Draw, Cause) {
	var first *Draw
	for d := range b.draws {
		if d.evicted && d.held > 0 {
			return nil, None // its memory is about to be returned
		}
		if !d.evicted && !d.waiting.IsZero() && (first == nil || d.waiting.Before(first.waiting)) {
			first = d
		}
	}
	if first == nil {
		return nil, None
	}
	victim, cause := b.withoutProgress(true, now)
	if victim == nil && now.Sub(first.waiting) >= yieldTime {
		victim, cause = b.newestOfLargest(first), Largest
	}
	if victim == nil {
		return nil, None
	}
	victim.evicted = true
	return victim, cause
}

// Stalled marks and returns a request whose connection others need: the one without
// progress for longest, or else one that was sent and whose deadline passed StallTime
// ago, so that its caller does not read the response. It returns nil if there is none.
func (b *Budget) Stalled(now time.Time) *Draw {
	victim, _ := b.withoutProgress(false, now)
	for d := range b.draws {
		if d.sent && !d.evicted && now.Sub(d.deadline) >= StallTime && (victim == nil || victim.sent && d.deadline.Before(victim.deadline)) {
			victim = d
		}
	}
	if victim != nil {
		victim.evicted = true
	}
	return victim
}

// withoutProgress returns the request that has made no progress for longest, or else
// the slowest one, of all or of those that hold memory.
func (b *Budget) withoutProgress(holding bool, now time.Time) (*Draw, Cause) {
	var stalled, slow *Draw
	for d := range b.draws {
		if d.sent || d.evicted || !d.waiting.IsZero() || holding && d.held == 0 {
			continue
		}
		age := now.Sub(d.arrived)
		switch {
		case now.Sub(d.progress) >= StallTime:
			if stalled == nil || d.progress.Before(stalled.progress) {
				stalled = d
			}
		case d.body && age >= slowAfter && rate(d, age) < minRate:
			if slow == nil || rate(d, age) < rate(slow, now.Sub(slow.arrived)) {
				slow = d
			}
		}
	}
	if stalled != nil {
		return stalled, Stalled
	}
	return slow, Slow
}

// rate returns the mean rate of a body in bytes per second.
func rate(d *Draw, age time.Duration) float64 { return float64(d.received) / age.Seconds() }

// newestOfLargest returns the newest request of the holder that holds most in requests
// that have not been sent, of those larger than smallDraw if there are any. The request
// that waits counts with what it needs. Holders that hold the same are ordered by
// name.
func (b *Budget) newestOfLargest(waiting *Draw) *Draw {
	size := func(d *Draw) int64 {
		if d == waiting {
			return d.held + d.need
		}
		return d.held
	}
	sums := make(map[string]int64)
	for d := range b.draws {
		if !d.sent {
			sums[d.holder] += size(d)
		}
	}
	largest := waiting.holder
	for holder, sum := range sums {
		if sum > sums[largest] || sum == sums[largest] && holder < largest {
			largest = holder
		}
	}
	var newest *Draw
	for d := range b.draws {
		if d.sent || d.evicted || d.holder != largest || size(d) == 0 {
			continue
		}
		if newest == nil || (size(d) > smallDraw) != (size(newest) > smallDraw) {
			if newest == nil || size(d) > smallDraw {
				newest = d
			}
			continue
		}
		if d.arrived.After(newest.arrived) {
			newest = d
		}
	}
	return newest
}

// Largest returns what the holder holds that holds most.
func (b *Budget) Largest() int64 {
	sums := make(map[string]int64)
	largest := int64(0)
	for d := range b.draws {
		sums[d.holder] += d.held
		largest = max(largest, sums[d.holder])
	}
	return largest
}
