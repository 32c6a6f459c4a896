package rtanswer

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// ErrCorrupt means that the frames of an answer contradict each other or its
// final frame.
var ErrCorrupt = errors.New("answer is corrupt")

// maxPendingBytes limits the text of frames that arrived before missing ones.
// One stream is in order, so only a faulty sender reaches the limit.
const maxPendingBytes = MaxSize

// Assembler reassembles one answer from its frames. It accepts delayed,
// duplicate and reordered frames, and drops frames of other requests and
// attempts. It is not safe for concurrent use.
type Assembler struct {
	request      string
	attempt      uint32
	startOffset  int64 // offset at which reading started
	offset       int64 // end of the contiguous text
	nextSequence uint64
	startFound   bool // nextSequence is known: startOffset is 0, or the frame that contains it has arrived
	pending      map[uint64]*rtwire.Frame
	pendingBytes rtid.Bytes // size of the text in pending
	ready        []byte
	digest       *xxhash.Digest
	final        *rtwire.Final
	err          error
}

// NewAssembler returns an assembler for an answer that is read from offset to
// its end.
func NewAssembler(request rtid.Request, attempt rtid.Attempt, offset int64) *Assembler {
	return &Assembler{
		request:     string(request),
		attempt:     uint32(attempt),
		startOffset: offset,
		offset:      offset,
		startFound:  offset == 0,
		pending:     make(map[uint64]*rtwire.Frame),
		digest:      xxhash.New(),
	}
}

// Add adds a frame. It returns false if the frame belongs to another answer.
func (a *Assembler) Add(frame *rtwire.Frame) bool {
	if frame.Request != a.request || frame.Attempt != a.attempt {
		return false
	}
	if frame.Final != nil && a.final == nil {
		a.final = frame.Final
	}
	if !a.startFound && a.coversStart(frame) {
		a.nextSequence = frame.Sequence
		a.startFound = true
	}
	if len(frame.Text) > 0 && (!a.startFound || frame.Sequence >= a.nextSequence) {
		a.addPending(frame)
	}
	a.appendContiguous()
	return true
}

// coversStart reports whether a frame contains the offset at which reading
// started.
func (a *Assembler) coversStart(frame *rtwire.Frame) bool {
	end := frame.Offset + int64(len(frame.Text))
	return frame.Offset <= a.startOffset && (a.startOffset < end || frame.Final != nil)
}

func (a *Assembler) addPending(frame *rtwire.Frame) {
	if a.pending[frame.Sequence] != nil {
		return
	}
	a.pendingBytes += rtid.Bytes(len(frame.Text))
	if a.pendingBytes > maxPendingBytes {
		a.fail("more than %d bytes arrived after a missing frame", maxPendingBytes)
		return
	}
	a.pending[frame.Sequence] = frame
}

// appendContiguous moves pending frames to the ready text, up to the first
// missing one.
func (a *Assembler) appendContiguous() {
	for a.startFound && a.err == nil {
		frame := a.pending[a.nextSequence]
		if frame == nil {
			return
		}
		delete(a.pending, a.nextSequence)
		a.pendingBytes -= rtid.Bytes(len(frame.Text))
		skip := a.offset - frame.Offset
		if skip < 0 || skip > int64(len(frame.Text)) {
			a.fail("frame %d starts at offset %d, want %d", frame.Sequence, frame.Offset, a.offset)
			return
		}
		text := frame.Text[skip:]
		a.ready = append(a.ready, text...)
		// Write of a digest never returns an error.
		_, _ = a.digest.Write(text)
		a.offset += int64(len(text))
		a.nextSequence++
	}
}

// TakeText returns the contiguous text that has arrived since the last call.
func (a *Assembler) TakeText() []byte {
	ready := a.ready
	a.ready = nil
	return ready
}

// Offset returns the end of the contiguous text, from which a reader can resume.
func (a *Assembler) Offset() int64 { return a.offset }

// Final returns the final frame's content once the whole answer has arrived.
// Until then, complete is false. The checksum covers the whole answer, so it is
// verified only if reading started at offset 0.
func (a *Assembler) Final() (final *rtwire.Final, complete bool, err error) {
	if a.err != nil {
		return nil, false, a.err
	}
	if a.final == nil || !a.startFound || a.nextSequence < a.final.Count {
		return nil, false, nil
	}
	switch {
	case a.nextSequence > a.final.Count:
		a.fail("got %d frames, want %d", a.nextSequence, a.final.Count)
	case a.offset != a.final.Size:
		a.fail("got %d bytes, want %d", a.offset, a.final.Size)
	case a.startOffset == 0 && a.digest.Sum64() != a.final.Checksum:
		a.fail("got checksum %x, want %x", a.digest.Sum64(), a.final.Checksum)
	}
	if a.err != nil {
		return nil, false, a.err
	}
	return a.final, true, nil
}

func (a *Assembler) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
	}
}
