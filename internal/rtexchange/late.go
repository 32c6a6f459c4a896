package rtexchange

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lateResponseTimeout is how long the response to an abandoned request may take. It
// covers what was on its way, with one retransmission; a target that sees the disconnect
// answers nothing more.
const lateResponseTimeout = 250 * time.Millisecond

// longAgo is a deadline that ends reads and writes at once.
var longAgo = time.Unix(1, 0)

// firstByteWait is the wait for the first byte of a response. Until then nothing has been
// consumed, so that somebody else can take over the connection.
type firstByteWait struct {
	connection net.Conn
	abandons   bool // the end of the context leaves the connection open until the first byte

	mu          sync.Mutex
	ended       bool // the first byte has been read, or reading it has failed
	interrupted bool // by the end of the context
}

// waitFor waits for the first byte of a response if the connection may be taken over. It
// reports whether the context has ended before.
func (w *firstByteWait) waitFor(h *responseHead) bool {
	if !w.abandons {
		return false
	}
	_, err := h.reader.Peek(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if !w.interrupted {
		h.failed = err
	}
	return w.interrupted
}

// interrupt ends the exchange, or only the wait if somebody takes over the connection.
func (w *firstByteWait) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.abandons || w.ended {
		_ = w.connection.Close()
		return
	}
	w.interrupted = true
	_ = w.connection.SetReadDeadline(longAgo)
}

// LateResponse is what may still arrive from a target whose request was abandoned.
type LateResponse struct {
	connection net.Conn
	head       *responseHead
	method     string
}

// Close closes the connection.
func (l *LateResponse) Close() { _ = l.connection.Close() } // the outcome is known

// Read shows the target the disconnect, waits a short time for the header of its response
// and closes the connection. What a target says of itself in it holds although nobody
// waits for the response.
func (l *LateResponse) Read() (status int, header http.Header, err error) {
	defer l.Close()
	half, ok := l.connection.(interface{ CloseWrite() error })
	if !ok {
		return 0, nil, net.ErrClosed // the target would go on
	}
	if err := half.CloseWrite(); err != nil {
		return 0, nil, err
	}
	if err := l.connection.SetReadDeadline(time.Now().Add(lateResponseTimeout)); err != nil {
		return 0, nil, err
	}
	response, err := l.head.read(l.connection, l.method)
	if err != nil {
		return 0, nil, err
	}
	return response.Status, response.Header, nil
}
