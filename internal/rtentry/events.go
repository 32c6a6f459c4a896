package rtentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// writeGrace is the time after the deadline in which the end event may still be
// written. It keeps a request of a slowly reading caller from running more than
// 250 ms past its time limit.
const writeGrace = 200 * time.Millisecond

// eventStream writes the event stream of a draft.
//
// Invariant: sent text ends at a character boundary, because JSON cannot carry
// part of a character.
type eventStream struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	encoder     *json.Encoder
	deadline    time.Time
	started     bool
	startOffset int64  // offset in the whole answer of the first byte of answer
	received    int64  // bytes of text passed to appendText
	answer      []byte // received text, kept to continue at another target
	sent        int    // number of bytes of answer that were sent
	err         error  // first write error
}

// newEventStream returns a stream that starts at a byte offset of the answer.
func newEventStream(w http.ResponseWriter, offset int64, deadline time.Time) *eventStream {
	return &eventStream{
		w:           w,
		control:     http.NewResponseController(w),
		encoder:     json.NewEncoder(w),
		deadline:    deadline,
		startOffset: offset,
	}
}

// nextOffset returns the offset of the next byte of the answer to receive.
func (s *eventStream) nextOffset() int64 {
	return s.startOffset + int64(len(s.answer))
}

// truncateToSent drops an incomplete character at the end and returns the part
// of the answer that was sent to the caller.
func (s *eventStream) truncateToSent() []byte {
	s.answer = s.answer[:s.sent]
	return s.answer
}

// sendStart sends the start event, preceded by the HTTP header in the first
// call.
func (s *eventStream) sendStart(request rtid.Request) {
	if !s.started {
		s.started = true
		// A connection that does not support deadlines is still limited by the
		// request's context.
		_ = s.control.SetWriteDeadline(s.deadline.Add(writeGrace))
		s.w.Header().Set("Content-Type", "application/x-ndjson")
		s.w.WriteHeader(http.StatusOK)
	}
	s.send(rtapi.Event{Event: rtapi.EventStart, ID: string(request)})
}

// appendText appends a part of the answer and sends its complete characters.
func (s *eventStream) appendText(text []byte) {
	s.received += int64(len(text))
	s.answer = append(s.answer, text...)
	s.sendText(completeLength(s.answer[s.sent:]))
}

// sendText sends the next length bytes of unsent text.
func (s *eventStream) sendText(length int) {
	if length == 0 {
		return
	}
	offset := s.startOffset + int64(s.sent)
	text := string(s.answer[s.sent : s.sent+length])
	s.sent += length
	s.send(rtapi.Event{Event: rtapi.EventText, Offset: offset, Text: text})
}

// sendEnd sends the end event. Final is nil if the answer is incomplete.
func (s *eventStream) sendEnd(outcome rtapi.Outcome, reason rtapi.Reason, final *rtwire.Final) {
	event := rtapi.Event{
		Event:   rtapi.EventEnd,
		Outcome: outcome,
		Reason:  reason,
		Retry:   outcome != rtapi.Done && draftRetryable(reason),
	}
	if final != nil {
		s.sendText(len(s.answer) - s.sent)
		event.Size = final.GetSize()
		event.Checksum = fmt.Sprintf("%016x", final.GetChecksum())
	} else {
		event.Size = s.startOffset + int64(s.sent)
		event.Checksum = s.checksum()
	}
	s.send(event)
	if s.err == nil {
		_ = s.control.SetWriteDeadline(time.Time{})
	}
}

// checksum returns the checksum of the text sent so far, or an empty string if
// the stream does not start at offset 0.
func (s *eventStream) checksum() string {
	if s.startOffset > 0 {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(s.answer[:s.sent]))
}

// send writes one event.
func (s *eventStream) send(event rtapi.Event) {
	if s.err != nil {
		return
	}
	if s.err = s.encoder.Encode(event); s.err != nil {
		return
	}
	s.err = s.control.Flush()
}

// verify compares the checksum of the whole answer with its final frame. If the
// stream does not start at offset 0, only the assembler verifies it.
func (s *eventStream) verify(final *rtwire.Final) error {
	if s.startOffset == 0 && xxhash.Sum64(s.answer) != final.GetChecksum() {
		return fmt.Errorf("%w: checksum of the text from all attempts differs from the final frame", rtanswer.ErrCorrupt)
	}
	return nil
}

// completeLength returns the length of text without an incomplete UTF-8
// character at its end.
func completeLength(text []byte) int {
	for back := 1; back < utf8.UTFMax && back <= len(text); back++ {
		start := len(text) - back
		if !utf8.RuneStart(text[start]) {
			continue
		}
		if utf8.FullRune(text[start:]) {
			return len(text)
		}
		return start
	}
	return len(text)
}
