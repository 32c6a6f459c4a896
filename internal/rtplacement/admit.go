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
type LongPoolLoad struct {
	PrefillBacklog time.Duration // of reading, mean over the engines
	Engines        int           // that may be used, of both pools
}

const (
	// aimShare is the part of the aim that a prediction may use up; the rest
	// covers what other processes send meanwhile.
	aimShare = 0.85
	// gapPart is the longest pass that writers of long requests bear with
	// certainty: seven tenths of their tightest usual bound on pauses (600 ms).
	// What other processes send meanwhile takes the rest.
	gapPart = 420 * time.Millisecond
	// shortPass is a pass in which nothing is read.
	shortPass = 50 * time.Millisecond
	// shedPause is when room is expected at engines that had none: a few passes.
	// ebbPause is when the pools may have changed: loads swing within seconds.
	shedPause = 400 * time.Millisecond
	ebbPause  = 4 * time.Second
	// widePart is the longest part that engines may read beside writers of the
	// longest prompts, whose pauses are bounded by a second.
	widePart = 900 * time.Millisecond
	// wideAims is for how many aims a prompt with longer parts waits for a lull:
	// half of the patience of its caller (four aims), so that the other half is
	// left for the reading or for coming back.
	wideAims = 2
	// lullStreams is the number of requests at each engine that a longer part may
	// hold up.
	lullStreams = 0.3
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
// does.
func Admit(work Work, choice Placement, pressure LongPoolLoad) Decision {
	left := work.AbandonTimeout - work.Waited
	switch {
	case choice.PredictedFirstEvent > left:
		return Refuse
	case work.Interactive() || work.LatencySLO <= 0:
		return Send
	case choice.PartPrefill > widePart:
		return admitWide(work, choice, pressure)
	}
	aim := time.Duration(aimShare * float64(work.LatencySLO))
	// What an engine has got is read in its next pass, all at once. Only engines
	// with little to read take a part that is long by itself.
	full := pressure.PrefillBacklog > max(gapPart-shortPass-choice.PartPrefill, emptyBacklog)
	inTime := work.Waited+choice.PredictedFirstEvent <= aim
	switch {
	case inTime && !full:
		return Send
	case !inTime && pressure.PrefillBacklog <= idleBacklog:
		return Send
	default:
		return Wait
	}
}

// admitWide decides about a prompt whose parts stop the writing of an engine
// for longer than its streams bear. It answers bursts of long prompts with some
// of the largest among them: these wait for a lull, when few streams are held
// up, instead of stopping all of them or being refused.
func admitWide(work Work, choice Placement, pressure LongPoolLoad) Decision {
	if leastPart(choice, pressure.Engines) > work.LatencySLO {
		// No lull makes room for it.
		return Refuse
	}
	lull := choice.PrefillBacklog <= idleBacklog && choice.LongRequests <= lullStreams
	switch {
	case lull && choice.PartPrefill <= work.LatencySLO:
		return Send
	case work.Waited > wideAims*work.LatencySLO:
		return Refuse
	default:
		return Wait
	}
}

// leastPart returns the shortest part of the prompt of a choice that the
// engines of a service allow.
func leastPart(choice Placement, engines int) time.Duration {
	most := max(1, min(engines-leastTight, 1+maxHelpers))
	return choice.PartPrefill * time.Duration(1+len(choice.Helpers)) / time.Duration(most)
}

// ComeBack returns when a request that is refused has better prospects.
func RetryAfter(choice Placement, pressure LongPoolLoad) time.Duration {
	if choice.PartPrefill > widePart {
		return ebbPause
	}
	return pressure.PrefillBacklog + shedPause
}

// PressureOf returns the pressure on the engines for long reads, which follow
// the first tight ones by Order.
func LongPoolLoadOf(candidates []Candidate, tight int) LongPoolLoad {
	long := longPool(ordered(candidates), tight)
	var sum Load
	for i := range long {
		sum = sum.Add(long[i].Load)
	}
	n := max(1, len(long))
	return LongPoolLoad{PrefillBacklog: sum.PrefillBacklog / time.Duration(n), Engines: len(candidates)}
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision
