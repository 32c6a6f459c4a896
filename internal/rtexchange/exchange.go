// Package rtexchange carries one request to one target over a connection of
// its own. Exactly one send follows from one call; nothing is repeated here.
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
	// dialTimeout bounds the opening of a connection. A lost opening packet is
	// repeated by the kernel after a second only, which is longer than the aim
	// of most requests, so that another target is the better choice.
	dialTimeout = 300 * time.Millisecond
	readBuffer  = 8 << 10
	writeBuffer = 8 << 10
	// maxInterim bounds the interim responses (1xx) before the final one.
	maxInterim = 4
)

// ErrNotSent says that nothing of a request left this process.
var ErrNotSent = errors.New("not sent")

// Message is a request as it goes over the wire.
type Message struct {
	Method string
	Path   string // path and query as the caller wrote them
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the start of a response. The caller reads Body to its end and then
// calls Close.
type Answer struct {
	Status int
	Header http.Header
	Body   *bufio.Reader // ends with io.EOF only where the response is whole

	response   *http.Response
	connection net.Conn
	stop       func() bool
	writing    *rttask.Task
}

// Close gives the connection up, which tells the target to stop its work.
func (a *Answer) Close() {
	a.stop()
	// Whatever follows on the connection belongs to no request.
	_ = a.connection.Close()
	// The response shows the outcome; a late error of the write adds nothing.
	_ = a.writing.Stop()
}

// Deadline bounds the next reads. The end of the context of Send bounds them
// too.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.connection.SetReadDeadline(t) }

// Send sends a message to an address and returns the start of the response. An
// error that is ErrNotSent is a proof that the target has seen nothing; after
// any other error it may have run the request. The end of ctx ends the
// exchange, also while Body is read.
func Send(ctx context.Context, network rtnet.Network, address rtid.Address, message *Message) (*Answer, error) {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	connection, err := network.Dial(dial, address)
	cancel()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	// A target may answer before it has read the whole body, so that writing
	// must not wait in front of reading.
	writing := rttask.Start(context.WithoutCancel(ctx), "write request", func(context.Context) error {
		return message.write(bufio.NewWriterSize(connection, writeBuffer))
	})
	answer, err := receive(connection, message)
	if err != nil {
		stop()
		_ = connection.Close()
		return nil, errors.Join(context.Cause(ctx), err, <-writing.Done())
	}
	answer.stop = stop
	answer.writing = writing
	return answer, nil
}

// receive reads the head of the response.
func receive(connection net.Conn, message *Message) (*Answer, error) {
	reader := bufio.NewReaderSize(connection, readBuffer)
	request := &http.Request{Method: message.Method}
	for range maxInterim {
		response, err := http.ReadResponse(reader, request) //nolint:bodyclose // Answer.Close closes the connection
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		return &Answer{
			Status:     response.StatusCode,
			Header:     response.Header,
			Body:       bufio.NewReaderSize(response.Body, readBuffer),
			response:   response,
			connection: connection,
		}, nil
	}
	return nil, errors.New("too many interim responses")
}

// Length returns the announced length of the body, or -1.
func (a *Answer) ContentLength() int64 { return a.response.ContentLength }

// ReadAll reads the body to its end, at most limit bytes.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("body is longer than %d bytes", limit)
	}
	return body, nil
}

// write sends head and body.
func (m *Message) write(w *bufio.Writer) error {
	for _, part := range []string{m.Method, " ", m.Path, " HTTP/1.1\r\nHost: ", m.Host, "\r\n"} {
		if _, err := w.WriteString(part); err != nil {
			return err
		}
	}
	header := m.Header
	if len(m.Body) > 0 || bodyMethod(m.Method) {
		header.Set("Content-Length", strconv.Itoa(len(m.Body)))
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
	return w.Flush()
}

// bodyMethod reports whether a request of the method announces a length even
// if it is zero.
func bodyMethod(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of the headers without those of one connection.
func EndToEnd(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}
