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
	// flushSize is the number of bytes of text written between two flushes.
	flushSize = 256 << 10
	// writeTimeout closes the stream of a reader that does not read.
	writeTimeout = 30 * time.Second
)

// findAnswer returns the request that the path names. It writes an error and
// returns nil if the request is unknown or belongs to another organisation.
func (a *Agent) findAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) *request {
	id := rtid.Request(params.ByName("request"))
	home, err := rtid.ParseRequest(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	if !home.Owns(rtid.Organisation(r.Header.Get("Organisation"))) {
		http.Error(w, "the request id belongs to another organisation", http.StatusForbidden)
		return nil
	}
	a.mu.Lock()
	found := a.requests[id]
	a.mu.Unlock()
	if found == nil {
		http.Error(w, "no answer is stored for this request", http.StatusNotFound)
		return nil
	}
	return found
}

// readAnswer streams the frames of an answer from the given offset to its end.
func (a *Agent) readAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	offset := int64(0)
	if text := r.URL.Query().Get("offset"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil || parsed < 0 {
			http.Error(w, "offset must be a non-negative number of bytes", http.StatusBadRequest)
			return
		}
		offset = parsed
	}
	found := a.findAnswer(w, r, params)
	if found == nil {
		return
	}
	batch := nextBatch(found.buffer, offset)
	if batch.err != nil {
		http.Error(w, batch.err.Error(), httpStatus(batch.err))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// If the stream stops early, the reader gets no final frame.
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
		batch = nextBatch(found.buffer, batch.nextOffset)
	}
}

// frameBatch is the result of one read of an answer buffer.
type frameBatch struct {
	frames     []*rtwire.Frame
	final      bool // whether the last frame is the final one
	changed    <-chan struct{}
	nextOffset int64 // offset after the last frame
	err        error
}

func nextBatch(buffer *rtanswer.Buffer, offset int64) frameBatch {
	batch := frameBatch{nextOffset: offset}
	batch.frames, batch.final, batch.changed, batch.err = buffer.Read(offset, flushSize)
	for _, frame := range batch.frames {
		batch.nextOffset = max(batch.nextOffset, frame.Offset+int64(len(frame.Text)))
	}
	return batch
}

// markRead records that a reader received the whole answer.
func (a *Agent) markRead(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.answerRead = true
}

func httpStatus(err error) int {
	if errors.Is(err, rtanswer.ErrGone) {
		return http.StatusGone
	}
	return http.StatusRequestedRangeNotSatisfiable
}

// writeFrames writes and flushes frames. It reports false on a write error.
func writeFrames(w http.ResponseWriter, frames []*rtwire.Frame) bool {
	control := http.NewResponseController(w)
	// Where deadlines are not supported, writes block until the connection
	// closes.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, frame := range frames {
		if _, err := protodelim.MarshalTo(w, frame); err != nil {
			return false
		}
	}
	return control.Flush() == nil
}

// acknowledgeAnswer frees an answer that its reader has received completely.
func (a *Agent) acknowledgeAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	found := a.findAnswer(w, r, params)
	if found == nil {
		return
	}
	if !found.buffer.Acknowledge() {
		http.Error(w, "the answer is not complete yet", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	a.wakeDispatcher()
}
