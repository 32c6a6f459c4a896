package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

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
	Writers float64       // requests an engine, mean
}

const (
	// aimShare is the part of the aim that a prediction may use up; the rest
	// covers what other processes send meanwhile.
	aimShare = 0.85
	// gapPart is the longest part of a prompt that writers of long requests
	// bear: their tightest usual bound on pauses is 600 ms.
	gapPart = 550 * time.Millisecond
	// shortPass is a pass in which nothing is read.
	shortPass = 50 * time.Millisecond
	// fewWriters is the load at which longer parts harm few.
	fewWriters = 0.5
	// narrowShare leaves time for the first event and for what was mispredicted.
	narrowShare = 0.7
	// idleBacklog is the reading below which engines have room for requests
	// that are late in any case.
	idleBacklog = 250 * time.Millisecond
)

// Admit decides whether a request is sent with a choice, waits or is refused.
// It answers more long prompts than the engines can read in time: sent at once,
// they would all be late, because reading is shared. A request is sent while it
// will be in time; later it waits for engines with room, as long as its caller
// does. A long part that would stretch the pauses of many waits as well.
func Admit(work Work, choice Choice, pressure Pressure) Decision {
	left := work.Patience - work.Waited
	if choice.First > left {
		return Refuse
	}
	if work.Tight() || work.Aim <= 0 {
		return Send
	}
	if choice.Narrow {
		return admitNarrow(choice, pressure)
	}
	// What an engine has got is read in its next pass, all at once.
	full := pressure.Backlog > 0 && pressure.Backlog+choice.Part > gapPart-shortPass
	harmful := choice.Part > gapPart && pressure.Writers > fewWriters
	inTime := work.Waited+choice.First <= time.Duration(aimShare*float64(work.Aim))
	switch {
	case inTime && !full && !harmful, !inTime && pressure.Backlog <= idleBacklog && !harmful:
		return Send
	default:
		return Wait
	}
}

// admitNarrow decides about a prompt so long that its parts would stretch the
// pauses of all. It is late in any case; it is read by a few engines where
// nobody writes while the others keep up, and refused at once otherwise.
func admitNarrow(choice Choice, pressure Pressure) Decision {
	switch {
	case pressure.Backlog > idleBacklog:
		return Refuse
	case choice.Beside > 0:
		return Wait
	default:
		return Send
	}
}

// PressureOf returns the pressure on the engines for long reads, which follow
// the first tight ones by Order.
func PressureOf(candidates []Candidate, tight int) Pressure {
	long := ordered(candidates)[min(tight, len(candidates)):]
	if len(long) == 0 {
		long = candidates
	}
	var sum Load
	for i := range long {
		sum = sum.Add(long[i].Load)
	}
	n := max(1, len(long))
	return Pressure{Backlog: sum.Reading / time.Duration(n), Writers: float64(sum.Requests) / float64(n)}
}

// narrow returns over how many engines a prompt is read whose parts would harm
// many: so few that it is read within narrowShare of the time that its caller
// has left.
func narrow(engine *rtcatalog.Engine, work Work) int {
	left := max(time.Duration(narrowShare*float64(work.Patience-work.Waited)), time.Second)
	return 1 + int(ReadTime(engine, work.Prompt, 1)/left)
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision
