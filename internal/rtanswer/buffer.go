// Package rtanswer keeps answers until their readers have them (Buffer) and
// puts frames together at the reader's side (Assembler).
package rtanswer

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// KeepTime is how long an answer is kept after its end.
	Retention = 60 * time.Second
	// MaxFrameText bounds the text of one frame, so that a frame with its
	// envelope stays under 64 KiB.
	MaxFrameText = 60 << 10
	// MaxSize is the largest answer.
	MaxSize rtid.Bytes = 4 << 20
)

// Errors of Buffer.
var (
	ErrTooLarge      = errors.New("answer is larger than its limit")
	ErrEnded         = errors.New("answer has ended")
	ErrOffsetPastEnd = errors.New("offset is beyond the end of the answer")
	ErrGone          = errors.New("answer was acknowledged or has expired")
)

// Buffer holds the answer of one request. It is safe for concurrent use.
type Buffer struct {
	request rtid.Request
	attempt rtid.Attempt
	limit   rtid.Bytes

	mu      sync.Mutex
	text    []byte
	starts  []int64 // offset of each frame; rises strictly from 0
	digest  *xxhash.Digest
	final   *rtwire.Final // nil until the end
	ended   time.Time
	gone    bool          // text was freed
	changed chan struct{} // closed at the next change; nil while no reader waits for it
}

// NewBuffer returns an empty buffer for an answer of at most limit bytes.
func NewBuffer(request rtid.Request, attempt rtid.Attempt, limit rtid.Bytes) *Buffer {
	return &Buffer{
		request: request,
		attempt: attempt,
		limit:   limit,
		digest:  xxhash.New(),
	}
}

// Append adds text to the answer.
func (b *Buffer) Append(text []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final != nil {
		return ErrEnded
	}
	if rtid.Bytes(len(b.text)+len(text)) > b.limit {
		return ErrTooLarge
	}
	if len(text) == 0 {
		return nil
	}
	for start := 0; start < len(text); start += MaxFrameText {
		b.starts = append(b.starts, int64(len(b.text)+start))
	}
	b.text = append(b.text, text...)
	// Write of a digest never returns an error.
	_, _ = b.digest.Write(text)
	b.wake()
	return nil
}

// Finish ends the answer. Only the first call has an effect; it reports
// whether this was it.
func (b *Buffer) Finish(outcome rtwire.Outcome, reason rtwire.Reason, detail string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final != nil {
		return false
	}
	b.final = &rtwire.Final{
		Outcome:  outcome,
		Reason:   reason,
		Detail:   detail,
		Count:    uint64(len(b.starts)),
		Size:     int64(len(b.text)),
		Checksum: b.digest.Sum64(),
	}
	b.ended = now
	b.wake()
	return true
}

// Read returns the frames from offset on, at most about limit bytes of text,
// and whether the last one is the final frame. Without frames, the channel is
// closed at the next change.
func (b *Buffer) Read(offset int64, limit int) (frames []*rtwire.Frame, final bool, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gone {
		return nil, false, nil, ErrGone
	}
	if offset < 0 || b.final != nil && offset > int64(len(b.text)) {
		return nil, false, nil, ErrOffsetPastEnd
	}
	next := sort.Search(len(b.starts), func(i int) bool { return b.end(i) > offset })
	size := 0
	for ; next < len(b.starts) && size < limit; next++ {
		frame := b.frame(next, offset)
		frames = append(frames, frame)
		size += len(frame.Text)
	}
	if next == len(b.starts) && b.final != nil {
		frames = append(frames, b.finalFrame())
		final = true
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return frames, final, b.changed, nil
}

// Acknowledge frees the text of an answer that has ended. It reports whether
// the answer had ended.
func (b *Buffer) Acknowledge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final == nil {
		return false
	}
	b.free()
	return true
}

// Expire frees the text when KeepTime has passed since the end. It reports
// whether the answer is gone.
func (b *Buffer) Expire(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final != nil && now.Sub(b.ended) >= Retention {
		b.free()
	}
	return b.gone
}

// Final returns a copy of the end of the answer, nil before it.
func (b *Buffer) Final() *rtwire.Final {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final == nil {
		return nil
	}
	return proto.Clone(b.final).(*rtwire.Final)
}

// Size returns the bytes that the buffer holds.
func (b *Buffer) Size() rtid.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rtid.Bytes(len(b.text))
}

func (b *Buffer) frame(i int, offset int64) *rtwire.Frame {
	start := max(b.starts[i], offset)
	return &rtwire.Frame{
		Request:  string(b.request),
		Attempt:  uint32(b.attempt),
		Sequence: uint64(i),
		Offset:   start,
		// The text is only appended to, so the slice stays as it is.
		Text: b.text[start:b.end(i):b.end(i)],
	}
}

func (b *Buffer) finalFrame() *rtwire.Frame {
	return &rtwire.Frame{
		Request:  string(b.request),
		Attempt:  uint32(b.attempt),
		Sequence: b.final.Count,
		Offset:   b.final.Size,
		Final:    proto.Clone(b.final).(*rtwire.Final),
	}
}

// end returns the offset after frame i.
func (b *Buffer) end(i int) int64 {
	if i+1 < len(b.starts) {
		return b.starts[i+1]
	}
	return int64(len(b.text))
}

func (b *Buffer) free() {
	b.text = nil
	b.starts = nil
	b.gone = true
	b.wake()
}

func (b *Buffer) wake() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
