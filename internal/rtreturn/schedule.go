// Package rtreturn decides when a refused caller should come back: when its gateway's
// part of the engine time that becomes free has room for the request, beside those that
// have been given a time already. It decides from its parameters alone.
package rtreturn

import (
	"slices"
	"time"
)

const (
	// Horizon is how far ahead times are given out: the third of the usual time limit of
	// 15 s that a caller accepts as a delay.
	Horizon = 5 * time.Second
	// step is the distance of the times that are considered: about one pass of an engine.
	step = 50 * time.Millisecond
	// minFree is the part of the capacity that counts as becoming free at least, because
	// the usage of a busy service is about its capacity.
	minFree = 0.1
	// minPrecedence bounds how much later an organisation over its share returns.
	minPrecedence = 0.25
	// overFactor is the usage over the fair share above which others return earlier.
	overFactor = 1.25
	// maxReturns is how many times are kept at most. More callers than that get the
	// longest delay.
	maxReturns = 4096
)

// Capacity is the engine time that a process expects for the callers it refuses.
type Capacity struct {
	Engines  float64       // of the service
	Used     float64       // engine time used in a second, over all processes
	Gateways int           // that share the engines; at least 1
	Backlog  time.Duration // at each engine, which comes first
}

// rate returns the engine time in a second that becomes free for one process.
func (c Capacity) rate() float64 {
	free := max(c.Engines-c.Used, minFree*c.Engines)
	return free / float64(max(1, c.Gateways))
}

// Ask is a refused request.
type Ask struct {
	EngineTime time.Duration // that it takes
	Ratio      float64       // usage over fair share of its organisation; 0 if unknown
	Least      time.Duration // shortest delay
	Most       time.Duration // longest delay that its caller observes
	// Phase is a random number from 0 to 1. It keeps the first callers of many processes,
	// which all begin with an empty schedule, from returning together.
	Phase float64
}

type given struct {
	at         time.Time
	engineTime time.Duration
}

// Schedule holds the times that were given to callers of a service. The zero value is
// empty. It is not safe for concurrent use.
type Schedule struct {
	given []given
}

// Give returns the delay for a request and remembers it.
func (s *Schedule) Give(ask Ask, capacity Capacity, now time.Time) time.Duration {
	s.expire(now)
	most := min(ask.Most, Horizon)
	delay := s.delay(ask, capacity, most, now)
	if len(s.given) < maxReturns {
		s.given = append(s.given, given{at: now.Add(delay), engineTime: ask.EngineTime})
	}
	return delay
}

func (s *Schedule) delay(ask Ask, capacity Capacity, most time.Duration, now time.Time) time.Duration {
	if ask.Least >= most {
		return ask.Most // the caller observes no longer one, and less is known to be too early
	}
	if len(s.given) >= maxReturns {
		return most
	}
	precedence := 1.0
	if ask.Ratio > overFactor {
		precedence = max(minPrecedence, 1/ask.Ratio)
	}
	for delay := ask.Least; delay < most; delay += step {
		free := precedence*capacity.rate()*float64(delay-capacity.Backlog) + ask.Phase*float64(ask.EngineTime)
		if delay >= capacity.Backlog && float64(s.givenUntil(now.Add(delay))+ask.EngineTime) <= free {
			return delay
		}
	}
	return most
}

// givenUntil returns the engine time of the callers who return up to a time.
func (s *Schedule) givenUntil(until time.Time) time.Duration {
	var sum time.Duration
	for _, g := range s.given {
		if !g.at.After(until) {
			sum += g.engineTime
		}
	}
	return sum
}

// expire drops the callers who have had time to return.
func (s *Schedule) expire(now time.Time) {
	s.given = slices.DeleteFunc(s.given, func(g given) bool { return !g.at.After(now) })
}

// Outstanding returns the number of callers who are to return.
func (s *Schedule) Outstanding(now time.Time) int {
	s.expire(now)
	return len(s.given)
}
