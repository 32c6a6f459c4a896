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

// writeGrace is how long the terminal event may take after the deadline. With
// it, a caller that reads too slowly holds no request past its time limit
// plus 250 ms.
const writeGrace = 200 * time.Millisecond

// events writes the event stream of a draft.
//
// Invariant: text that was sent ends at a character boundary, because JSON
// cannot carry a part of a character.
type events struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	encoder  *json.Encoder
	deadline time.Time
	started  bool
	first    int64  // offset of the first byte of answer
	received int64  // bytes of text taken in
	answer   []byte // text taken in, for a move to another target
	sent     int    // bytes of answer that were sent
	err      error  // first error of writing
}

// newEvents returns a stream that starts at a byte offset of the answer.
func newEvents(w http.ResponseWriter, offset int64, deadline time.Time) *events {
	return &events{
		w:        w,
		control:  http.NewResponseController(w),
		encoder:  json.NewEncoder(w),
		deadline: deadline,
		first:    offset,
	}
}

// position returns the offset of the next byte of the answer.
func (s *events) position() int64 {
	return s.first + int64(len(s.answer))
}

// cut drops an incomplete character at the end and returns what the caller
// has of the answer.
func (s *events) cut() []byte {
	s.answer = s.answer[:s.sent]
	return s.answer
}

// start sends the start event, before which the HTTP header.
func (s *events) start(request rtid.Request) {
	if !s.started {
		s.started = true
		// Connections without deadlines keep the bound of the request's context.
		_ = s.control.SetWriteDeadline(s.deadline.Add(writeGrace))
		s.w.Header().Set("Content-Type", "application/x-ndjson")
		s.w.WriteHeader(http.StatusOK)
	}
	s.send(rtapi.Event{Event: rtapi.EventStart, ID: string(request)})
}

// text sends a part of the answer.
func (s *events) text(text []byte) {
	s.received += int64(len(text))
	s.answer = append(s.answer, text...)
	s.flushText(completeLength(s.answer[s.sent:]))
}

// flushText sends length bytes of the text that has not been sent.
func (s *events) flushText(length int) {
	if length == 0 {
		return
	}
	offset := s.first + int64(s.sent)
	text := string(s.answer[s.sent : s.sent+length])
	s.sent += length
	s.send(rtapi.Event{Event: rtapi.EventText, Offset: offset, Text: text})
}

// end sends the end event. Final is nil if the answer is not complete.
func (s *events) end(outcome rtapi.Outcome, reason rtapi.Reason, final *rtwire.Final) {
	event := rtapi.Event{
		Event:   rtapi.EventEnd,
		Outcome: outcome,
		Reason:  reason,
		Retry:   outcome != rtapi.Done && draftRetry(reason),
	}
	if final != nil {
		s.flushText(len(s.answer) - s.sent)
		event.Size = final.GetSize()
		event.Checksum = fmt.Sprintf("%016x", final.GetChecksum())
	} else {
		event.Size = s.first + int64(s.sent)
		event.Checksum = s.checksum()
	}
	s.send(event)
	if s.err == nil {
		_ = s.control.SetWriteDeadline(time.Time{})
	}
}

// checksum returns the checksum of the text sent so far, or nothing if the
// stream does not start at the start of the answer.
func (s *events) checksum() string {
	if s.first > 0 {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(s.answer[:s.sent]))
}

// send writes one event.
func (s *events) send(event rtapi.Event) {
	if s.err != nil {
		return
	}
	if s.err = s.encoder.Encode(event); s.err != nil {
		return
	}
	s.err = s.control.Flush()
}

// verify compares the whole answer with its final frame. A stream that does
// not start at the start of the answer is verified by its assembler only.
func (s *events) verify(final *rtwire.Final) error {
	if s.first == 0 && xxhash.Sum64(s.answer) != final.GetChecksum() {
		return fmt.Errorf("%w: checksum of all attempts differs", rtanswer.ErrCorrupt)
	}
	return nil
}

// completeLength returns the length of text without an incomplete character
// at its end.
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
