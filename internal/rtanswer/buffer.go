// Package rtanswer stores answers until their readers have received them
// (Buffer) and reassembles them from frames at the reader (Assembler).
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
	// Retention is how long an answer is stored after its end.
	Retention = 60 * time.Second
	// MaxFrameText is the largest text of one frame in bytes. A frame with its
	// envelope thus stays below 64 KiB.
	MaxFrameText = 60 << 10
	// MaxSize is the largest size of an answer.
	MaxSize rtid.Bytes = 4 << 20
)

// Errors of Buffer.
var (
	ErrTooLarge      = errors.New("answer is larger than its size limit")
	ErrEnded         = errors.New("answer has ended already")
	ErrInvalidOffset = errors.New("offset is negative or beyond the end of the answer")
	ErrGone          = errors.New("answer is no longer stored: it was acknowledged or has expired")
)

// Buffer stores the answer of one request. It is safe for concurrent use.
type Buffer struct {
	request rtid.Request
	attempt rtid.Attempt
	limit   rtid.Bytes

	mu          sync.Mutex
	text        []byte
	frameStarts []int64 // offset of each frame; strictly increasing from 0
	digest      *xxhash.Digest
	final       *rtwire.Final // nil until the end
	endedAt     time.Time
	freed       bool          // whether the text was freed
	changed     chan struct{} // closed at the next change; nil while no reader waits
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
		b.frameStarts = append(b.frameStarts, int64(len(b.text)+start))
	}
	b.text = append(b.text, text...)
	// Write of a digest never returns an error.
	_, _ = b.digest.Write(text)
	b.notifyReaders()
	return nil
}

// Finish ends the answer. Only the first call has an effect. It reports whether
// this was the first call.
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
		Count:    uint64(len(b.frameStarts)),
		Size:     int64(len(b.text)),
		Checksum: b.digest.Sum64(),
	}
	b.endedAt = now
	b.notifyReaders()
	return true
}

// Read returns the frames from offset on and whether the last one is the final
// frame. It returns whole frames until they have at least limit bytes of text.
// If there are no frames yet, the caller can wait for the channel, which is
// closed at the next change.
func (b *Buffer) Read(offset int64, limit int) (frames []*rtwire.Frame, final bool, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed {
		return nil, false, nil, ErrGone
	}
	if offset < 0 || b.final != nil && offset > int64(len(b.text)) {
		return nil, false, nil, ErrInvalidOffset
	}
	next := sort.Search(len(b.frameStarts), func(i int) bool { return b.frameEnd(i) > offset })
	size := 0
	for ; next < len(b.frameStarts) && size < limit; next++ {
		frame := b.frame(next, offset)
		frames = append(frames, frame)
		size += len(frame.Text)
	}
	if next == len(b.frameStarts) && b.final != nil {
		frames = append(frames, b.finalFrame())
		final = true
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return frames, final, b.changed, nil
}

// Acknowledge frees the text of an answer that has ended. It returns false if
// the answer has not ended.
func (b *Buffer) Acknowledge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final == nil {
		return false
	}
	b.free()
	return true
}

// Expire frees the text if Retention has passed since the end. It reports
// whether the text is freed.
func (b *Buffer) Expire(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final != nil && now.Sub(b.endedAt) >= Retention {
		b.free()
	}
	return b.freed
}

// Final returns a copy of the final frame's content, or nil before the end.
func (b *Buffer) Final() *rtwire.Final {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final == nil {
		return nil
	}
	return proto.Clone(b.final).(*rtwire.Final)
}

// Size returns the size of the stored text.
func (b *Buffer) Size() rtid.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rtid.Bytes(len(b.text))
}

func (b *Buffer) frame(i int, offset int64) *rtwire.Frame {
	start := max(b.frameStarts[i], offset)
	return &rtwire.Frame{
		Request:  string(b.request),
		Attempt:  uint32(b.attempt),
		Sequence: uint64(i),
		Offset:   start,
		// Text is only ever appended, so the contents of the slice do not
		// change.
		Text: b.text[start:b.frameEnd(i):b.frameEnd(i)],
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

// frameEnd returns the offset after frame i.
func (b *Buffer) frameEnd(i int) int64 {
	if i+1 < len(b.frameStarts) {
		return b.frameStarts[i+1]
	}
	return int64(len(b.text))
}

func (b *Buffer) free() {
	b.text = nil
	b.frameStarts = nil
	b.freed = true
	b.notifyReaders()
}

func (b *Buffer) notifyReaders() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
