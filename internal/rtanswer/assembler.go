package rtanswer

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// ErrCorrupt is an answer that does not match its final frame.
var ErrCorrupt = errors.New("answer does not match its final frame")

// maxPending bounds the text that waits for a gap to close. One stream is in
// order, so only a broken sender gets there.
const maxPending = MaxSize

// Assembler puts the frames of one answer together. It accepts them late,
// doubled and out of order, and drops those of other requests and attempts.
// It is not safe for concurrent use.
type Assembler struct {
	request string
	attempt uint32
	start   int64 // where reading began
	offset  int64 // end of the contiguous text
	next    uint64
	joined  bool // next is known: reading began at a known frame
	waiting map[uint64]*rtwire.Frame
	pending rtid.Bytes // text in waiting
	ready   []byte
	digest  *xxhash.Digest
	final   *rtwire.Final
	fault   error
}

// NewAssembler returns an assembler for an answer that is read from offset on.
func NewAssembler(request rtid.Request, attempt rtid.Attempt, offset int64) *Assembler {
	return &Assembler{
		request: string(request),
		attempt: uint32(attempt),
		start:   offset,
		offset:  offset,
		joined:  offset == 0,
		waiting: make(map[uint64]*rtwire.Frame),
		digest:  xxhash.New(),
	}
}

// Add takes in a frame. It reports whether the frame was of this answer.
func (a *Assembler) Add(frame *rtwire.Frame) bool {
	if frame.Request != a.request || frame.Attempt != a.attempt {
		return false
	}
	if frame.Final != nil && a.final == nil {
		a.final = frame.Final
	}
	if !a.joined && a.covers(frame) {
		a.next = frame.Sequence
		a.joined = true
	}
	if len(frame.Text) > 0 && (!a.joined || frame.Sequence >= a.next) {
		a.keep(frame)
	}
	a.join()
	return true
}

// covers reports whether a frame holds the place where reading began.
func (a *Assembler) covers(frame *rtwire.Frame) bool {
	end := frame.Offset + int64(len(frame.Text))
	return frame.Offset <= a.start && (a.start < end || frame.Final != nil)
}

func (a *Assembler) keep(frame *rtwire.Frame) {
	if a.waiting[frame.Sequence] != nil {
		return
	}
	a.pending += rtid.Bytes(len(frame.Text))
	if a.pending > maxPending {
		a.fail("more than %d bytes wait for a gap to close", maxPending)
		return
	}
	a.waiting[frame.Sequence] = frame
}

// join moves what is contiguous to the ready text.
func (a *Assembler) join() {
	for a.joined && a.fault == nil {
		frame := a.waiting[a.next]
		if frame == nil {
			return
		}
		delete(a.waiting, a.next)
		a.pending -= rtid.Bytes(len(frame.Text))
		skip := a.offset - frame.Offset
		if skip < 0 || skip > int64(len(frame.Text)) {
			a.fail("frame %d is at %d, want %d", frame.Sequence, frame.Offset, a.offset)
			return
		}
		text := frame.Text[skip:]
		a.ready = append(a.ready, text...)
		// Write of a digest never returns an error.
		_, _ = a.digest.Write(text)
		a.offset += int64(len(text))
		a.next++
	}
}

// Next returns the contiguous text that has arrived since the last call.
func (a *Assembler) TakeText() []byte {
	ready := a.ready
	a.ready = nil
	return ready
}

// Offset returns the end of the contiguous text, where a reader resumes.
func (a *Assembler) Offset() int64 { return a.offset }

// Final returns the end of the answer once all of it has arrived. A stream
// that stops earlier is not complete. The checksum covers the whole answer,
// so it is verified only when reading began at 0.
func (a *Assembler) Final() (final *rtwire.Final, complete bool, err error) {
	if a.fault != nil {
		return nil, false, a.fault
	}
	if a.final == nil || !a.joined || a.next < a.final.Count {
		return nil, false, nil
	}
	switch {
	case a.next > a.final.Count:
		a.fail("%d frames, want %d", a.next, a.final.Count)
	case a.offset != a.final.Size:
		a.fail("%d bytes, want %d", a.offset, a.final.Size)
	case a.start == 0 && a.digest.Sum64() != a.final.Checksum:
		a.fail("checksum %x, want %x", a.digest.Sum64(), a.final.Checksum)
	}
	if a.fault != nil {
		return nil, false, a.fault
	}
	return a.final, true, nil
}

func (a *Assembler) fail(format string, args ...any) {
	if a.fault == nil {
		a.fault = fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
	}
}
