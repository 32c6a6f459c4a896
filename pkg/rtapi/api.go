// Package rtapi holds the types of the callers' HTTP interface.
package rtapi

// Outcome is the closed set of results that a caller can get for a request.
type Outcome int

// The outcomes. Unknown means that the system cannot tell whether the request
// ran; NotRun that it did not run and will not; Failed that it failed after it
// had started; Done that it ran and its answer is whole.
const (
	Unknown Outcome = iota // unknown
	NotRun                 // notrun
	Failed                 // failed
	Done                   // done
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Outcome -linecomment
