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

// find answers with an error unless the buffer of the request is known and
// belongs to the organisation.
func (a *Agent) findAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) *rtanswer.Buffer {
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
	return found.buffer
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
	buffer := a.findAnswer(w, r, params)
	if buffer == nil {
		return
	}
	frames, final, changed, err := buffer.Read(offset, readBatch)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	for {
		if !writeFrames(w, frames) || final {
			return
		}
		if len(frames) == 0 {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		offset = after(offset, frames)
		frames, final, changed, err = buffer.Read(offset, readBatch)
		if err != nil {
			// The reader sees a stream without a final frame.
			return
		}
	}
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

// after returns the offset behind the frames.
func after(offset int64, frames []*rtwire.Frame) int64 {
	for _, frame := range frames {
		offset = max(offset, frame.Offset+int64(len(frame.Text)))
	}
	return offset
}

// acknowledgeAnswer frees an answer that its reader has in full.
func (a *Agent) acknowledgeAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	buffer := a.findAnswer(w, r, params)
	if buffer == nil {
		return
	}
	if !buffer.Acknowledge() {
		http.Error(w, "the answer has not ended", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	a.signal()
}
