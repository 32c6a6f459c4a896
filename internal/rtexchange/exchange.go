// Package rtexchange sends one HTTP request to one target over a new connection
// and returns the response. A call sends its request at most once; the package
// does not retry.
package rtexchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	// dialTimeout limits the opening of a connection. The kernel retransmits a
	// lost SYN only after one second, which is longer than the latency SLO of
	// most requests, so it is better to try another target.
	dialTimeout     = 300 * time.Millisecond
	readBufferSize  = 8 << 10
	writeBufferSize = 8 << 10
	// maxHeadSize limits a response header together with the interim responses
	// before it, in bytes. http.ReadResponse has no limit of its own. Common
	// HTTP servers limit headers to 8 or 16 KiB.
	maxHeadSize = 64 << 10
	// maxStatus is the highest status of a valid response. Clients treat others as server
	// errors (RFC 9110, section 15), and what a target means by one is not known.
	maxStatus = 599
	// maxInterimResponses is the number of interim responses (1xx) after which
	// Send fails without reading on.
	maxInterimResponses = 4
)

// errHeadTooLarge means that a response header is larger than maxHeadSize.
var errHeadTooLarge = fmt.Errorf("larger than %d bytes", maxHeadSize)

// ErrUnread means that a response without a length or chunks ended before its target
// had received the whole request, so that it is not known to be complete.
var ErrUnread = errors.New("response without a length ended before its request was written")

// ErrNotSent means that no part of a request was sent.
var ErrNotSent = errors.New("not sent")

// Message is an HTTP request to a target.
type Message struct {
	Method string
	Path   string // path and query as received from the caller
	Host   string
	Header http.Header
	Body   []byte
	Pieces [][]byte // of the body, after Body; they are sent without a copy
	// OnAbandoned is called if the context of Send ends before the target has begun to
	// answer, and sees to it that Read or Close is called. If it is nil, Send closes the
	// connection.
	OnAbandoned func(*LateResponse)
}

// size returns the length of the body.
func (m *Message) size() int {
	size := len(m.Body)
	for _, piece := range m.Pieces {
		size += len(piece)
	}
	return size
}

// Response is a response whose header has been received. The caller reads Body
// and then calls Close.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only at the end that the response names, or at the end of its
	// connection if it names none and the request was written before.
	Body *bufio.Reader

	response    *http.Response
	connection  net.Conn
	stopClose   func() bool // stops the closing of connection at the end of the context
	writeTask   *rttask.Task
	budget      *Budget // of the body; nil for none
	reserved    int64   // bytes taken from budget
	hasLine     bool    // a line of a stream has been read
	insideEvent bool    // a part of an event has been read, and its rest cannot be
	ahead       readAhead
}

// Close closes the connection. If the response is not complete, the target sees
// the disconnect and can stop its work.
func (r *Response) Close() {
	r.release()
	r.stopClose()
	// The connection is not reused, so an error of closing it does not matter.
	_ = r.connection.Close()
	// The response shows the outcome, so an error of writing the request does
	// not matter any more.
	_ = r.writeTask.Stop()
}

// SetReadDeadline sets the deadline of the next reads. They also end with the
// context of Send.
func (r *Response) SetReadDeadline(t time.Time) error { return r.connection.SetReadDeadline(t) }

// Send sends a message to an address and returns once the response header has
// been received. An error that wraps ErrNotSent proves that the target received
// nothing; after any other error it may have run the request. The end of ctx
// closes the connection, also while Body is read, but for Message.OnAbandoned.
func Send(ctx context.Context, network rtnet.Network, address rtid.Address, message *Message) (*Response, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	connection, err := network.Dial(dialCtx, address)
	cancel()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	waiting := &firstByteWait{connection: connection, abandons: message.OnAbandoned != nil}
	stopClose := context.AfterFunc(ctx, waiting.interrupt)
	// A target may answer before it has read the whole body, so the request is
	// written while the response is read.
	writeTask := rttask.Start(context.WithoutCancel(ctx), "write request", func(context.Context) error {
		return message.write(bufio.NewWriterSize(connection, writeBufferSize))
	})
	head := newResponseHead(connection)
	if interrupted := waiting.waitFor(head); interrupted {
		// The pieces of the body must not be read any more when Send returns.
		_ = connection.SetWriteDeadline(longAgo)
		_ = writeTask.Stop()
		message.OnAbandoned(&LateResponse{connection: connection, head: head, method: message.Method})
		return nil, context.Cause(ctx)
	}
	response, err := head.read(connection, message.Method)
	if err != nil {
		stopClose()
		_ = connection.Close()
		return nil, errors.Join(context.Cause(ctx), err, <-writeTask.Done())
	}
	response.stopClose = stopClose
	response.writeTask = writeTask
	response.Body.Reset(&bodyReader{reader: response.response.Body, response: response})
	return response, nil
}

// responseHead reads the header of a response.
type responseHead struct {
	limited *headReader
	reader  *bufio.Reader
	failed  error // to wait for the first byte; nil if it may be read
}

func newResponseHead(connection net.Conn) *responseHead {
	limited := &headReader{reader: connection, remaining: maxHeadSize}
	return &responseHead{limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize)}
}

// read reads the response header, after any interim responses.
func (h *responseHead) read(connection net.Conn, method string) (*Response, error) {
	if h.failed != nil {
		return nil, fmt.Errorf("read response header: %w", h.failed)
	}
	request := &http.Request{Method: method}
	for range maxInterimResponses {
		response, err := http.ReadResponse(h.reader, request) //nolint:bodyclose // Response.Close closes the connection
		if err != nil {
			return nil, fmt.Errorf("read response header: %w", err)
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			return nil, fmt.Errorf("read response header: got status %d, want 100 to %d", response.StatusCode, maxStatus)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		h.limited.complete = true
		return &Response{
			Status:     response.StatusCode,
			Header:     response.Header,
			Body:       bufio.NewReaderSize(response.Body, readBufferSize),
			response:   response,
			connection: connection,
		}, nil
	}
	return nil, errors.New("got too many interim responses (1xx) before the final one")
}

// headReader limits the bytes that are read until the header is complete.
type headReader struct {
	reader    io.Reader
	remaining int  // bytes that may still be read
	complete  bool // the header is complete, and the limit no longer applies
}

// Read implements io.Reader.
func (r *headReader) Read(buffer []byte) (int, error) {
	if r.complete {
		return r.reader.Read(buffer)
	}
	if r.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.reader.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= n
	return n, err
}

// ContentLength returns the announced length of the body, or -1 if unknown.
func (r *Response) ContentLength() int64 { return r.response.ContentLength }

// write writes the request line, the headers and the body.
func (m *Message) write(w *bufio.Writer) error {
	for _, part := range []string{m.Method, " ", m.Path, " HTTP/1.1\r\nHost: ", m.Host, "\r\n"} {
		if _, err := w.WriteString(part); err != nil {
			return err
		}
	}
	header := m.Header
	if size := m.size(); size > 0 || sendsContentLength(m.Method) {
		header.Set("Content-Length", strconv.Itoa(size))
	}
	if err := header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(m.Body); err != nil {
		return err
	}
	for _, piece := range m.Pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return w.Flush()
}

// sendsContentLength reports whether a request with the method has a
// Content-Length even if its body is empty.
func sendsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// hopByHopHeaders apply to a single connection and are not forwarded. The list
// includes Content-Length, which the sender on the next connection sets, and
// Expect, which the receiver has handled.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of the headers without the hop-by-hop headers.
func EndToEnd(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}
