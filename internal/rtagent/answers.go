package rtagent

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// readBatch is the text that is written between two flushes.
	readBatch = 256 << 10
	// writeTimeout ends the stream of a reader that takes nothing.
	writeTimeout = 30 * time.Second
)

// findAnswer answers with an error unless the request is known and belongs to
// the organisation.
func (a *Agent) findAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) *request {
	id := rtid.Request(params.ByName("request"))
	home, err := rtid.ParseRequest(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	if !home.Owns(rtid.Organisation(r.Header.Get("Organisation"))) {
		http.Error(w, "the request belongs to another organisation", http.StatusForbidden)
		return nil
	}
	a.mu.Lock()
	found := a.requests[id]
	a.mu.Unlock()
	if found == nil {
		http.Error(w, "no answer is kept for this request", http.StatusNotFound)
		return nil
	}
	return found
}

// readAnswer streams an answer as frames from an offset on, until its end.
func (a *Agent) readAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	offset := int64(0)
	if text := r.URL.Query().Get("offset"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil || parsed < 0 {
			http.Error(w, "offset must be a number of bytes", http.StatusBadRequest)
			return
		}
		offset = parsed
	}
	found := a.findAnswer(w, r, params)
	if found == nil {
		return
	}
	batch := readBatchOf(found.buffer, offset)
	if batch.err != nil {
		http.Error(w, batch.err.Error(), statusOf(batch.err))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// The reader of a stream that stops early sees no final frame.
	for batch.err == nil && writeFrames(w, batch.frames) {
		if batch.final {
			a.markRead(found)
			return
		}
		if len(batch.frames) == 0 {
			select {
			case <-batch.changed:
			case <-r.Context().Done():
				return
			}
		}
		batch = readBatchOf(found.buffer, batch.end)
	}
}

// batch is what a buffer gives at one moment.
type batch struct {
	frames  []*rtwire.Frame
	final   bool // the last frame is the final one
	changed <-chan struct{}
	end     int64 // offset behind the frames
	err     error
}

func readBatchOf(buffer *rtanswer.Buffer, offset int64) batch {
	read := batch{end: offset}
	read.frames, read.final, read.changed, read.err = buffer.Read(offset, readBatch)
	for _, frame := range read.frames {
		read.end = max(read.end, frame.Offset+int64(len(frame.Text)))
	}
	return read
}

// markRead takes in that a reader got the whole answer.
func (a *Agent) markRead(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.read = true
}

func statusOf(err error) int {
	if errors.Is(err, rtanswer.ErrGone) {
		return http.StatusGone
	}
	return http.StatusRequestedRangeNotSatisfiable
}

// writeFrames writes and flushes frames and reports whether it could.
func writeFrames(w http.ResponseWriter, frames []*rtwire.Frame) bool {
	control := http.NewResponseController(w)
	// A writer without deadlines blocks until the connection ends.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, frame := range frames {
		if _, err := protodelim.MarshalTo(w, frame); err != nil {
			return false
		}
	}
	return control.Flush() == nil
}

// acknowledgeAnswer frees an answer that its reader has in full.
func (a *Agent) acknowledgeAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	found := a.findAnswer(w, r, params)
	if found == nil {
		return
	}
	if !found.buffer.Acknowledge() {
		http.Error(w, "the answer has not ended", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	a.signal()
}
