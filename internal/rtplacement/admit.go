package rtplacement

import "time"

// Decision says what to do with a request now.
type Decision int

// The decisions about a request.
const (
	Send Decision = iota
	Wait
	Refuse
)

// Pressure is how busy the engines for long reads are.
type Pressure struct {
	Backlog time.Duration // of reading, mean over the engines
}

const (
	// aimShare is the part of the aim that a prediction may use up; the rest
	// covers what other processes send meanwhile.
	aimShare = 0.85
	// gapPart is the longest part of a prompt that all writers of long requests
	// bear: their tightest usual bound on pauses is 600 ms. Longer ones harm some
	// of them, without which the largest tenth of prompts would not be served.
	gapPart = 550 * time.Millisecond
	// shortPass is a pass in which nothing is read.
	shortPass = 50 * time.Millisecond
	// hopeShare divides the aim: for so long a prompt waits for a pool that can
	// read it, before its caller is told to come back.
	hopeShare = 8
	// shedPause is when room is expected at engines that had none: a few passes.
	// ebbPause is when the pools may have changed: loads swing within seconds.
	shedPause = 400 * time.Millisecond
	ebbPause  = 4 * time.Second
	// widePart is the longest part that engines may read at the same time: a
	// prompt of 400,000 tokens by 14 of them. A longer one would stop the service
	// for seconds.
	widePart = 1300 * time.Millisecond
	// emptyBacklog is the reading that adds little to a part that is long by
	// itself.
	emptyBacklog = 100 * time.Millisecond
	// idleBacklog is the reading below which engines have room for requests
	// that are late in any case.
	idleBacklog = 50 * time.Millisecond
)

// Admit decides whether a request is sent with a choice, waits or is refused.
// It answers more long prompts than the engines can read in time: sent at once,
// they would all be late, because reading is shared. A request is sent while it
// will be in time; later it waits for engines with room, as long as its caller
// does. Parts that would stop the service wait for more engines.
func Admit(work Work, choice Choice, pressure Pressure) Decision {
	left := work.Patience - work.Waited
	switch {
	case choice.First > left:
		return Refuse
	case work.Tight() || work.Aim <= 0:
		return Send
	case choice.Part > widePart && work.Waited > work.Aim/hopeShare:
		return Refuse
	}
	aim := time.Duration(aimShare * float64(work.Aim))
	// What an engine has got is read in its next pass, all at once.
	// Only engines with little to read take a part that is long by itself.
	full := pressure.Backlog > max(gapPart-shortPass-choice.Part, emptyBacklog)
	harmful := choice.Part > widePart
	inTime := work.Waited+choice.First <= aim
	switch {
	case inTime && !harmful && !full:
		return Send
	case !inTime && pressure.Backlog <= idleBacklog && !harmful:
		return Send
	default:
		return Wait
	}
}

// ComeBack returns when a request that is refused has better prospects.
func ComeBack(choice Choice, pressure Pressure) time.Duration {
	if choice.Part > widePart {
		return ebbPause
	}
	return pressure.Backlog + shedPause
}

// PressureOf returns the pressure on the engines for long reads, which follow
// the first tight ones by Order.
func PressureOf(candidates []Candidate, tight int) Pressure {
	long := longPool(ordered(candidates), tight)
	var sum Load
	for i := range long {
		sum = sum.Add(long[i].Load)
	}
	n := max(1, len(long))
	return Pressure{Backlog: sum.Reading / time.Duration(n)}
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision
