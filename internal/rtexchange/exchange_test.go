package rtexchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// pipeTarget is a target behind a pipe without buffers: it can write no byte
// that its caller has not read.
type pipeTarget struct {
	t      *testing.T
	answer func(w io.Writer)
	taken  atomic.Int64 // bytes of the response that the caller has read
}

func (p *pipeTarget) Listen(rtid.Address) (net.Listener, error) { return nil, net.ErrClosed }

// Dial starts the target. It reads one request, answers and closes.
func (p *pipeTarget) Dial(context.Context, rtid.Address) (net.Conn, error) {
	client, server := net.Pipe()
	task := rttask.Start(p.t.Context(), "target", func(context.Context) error {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return err
		}
		p.answer(writerFunc(func(data []byte) (int, error) {
			n, err := server.Write(data)
			p.taken.Add(int64(n))
			return n, err
		}))
		return nil
	})
	p.t.Cleanup(func() {
		_ = client.Close()
		if err := task.Stop(); err != nil {
			p.t.Error(err)
		}
	})
	return client, nil
}

type writerFunc func(data []byte) (int, error)

func (f writerFunc) Write(data []byte) (int, error) { return f(data) }

// send sends a request to a target that writes a response.
func send(t *testing.T, answer func(w io.Writer)) (*pipeTarget, *Response, error) {
	t.Helper()
	target := &pipeTarget{t: t, answer: answer}
	response, err := Send(t.Context(), target, "10.0.0.1:80", &Message{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}})
	return target, response, err
}

// endless is how many bytes stand for a response without end.
const endless = 8 << 20

// without returns an answer that begins with a text and then repeats another one
// without end.
func without(begin, repeated string) func(w io.Writer) {
	return func(w io.Writer) {
		_, err := io.WriteString(w, begin)
		for written := 0; err == nil && written < endless; written += len(repeated) {
			_, err = io.WriteString(w, repeated)
		}
	}
}

// Guards against a target that fills the memory of this process with a response
// header that does not end.
func TestEndlessHead(t *testing.T) {
	const limit = 64 << 10
	tests := []struct {
		name, begin, repeated string
	}{
		{"status line", "", strings.Repeat("x", 1000)},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1000)},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 100)},
		{"continued header line", "HTTP/1.1 200 OK\r\nA: b\r\n", strings.Repeat(" c\r\n", 100)},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"large interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("x", 30_000) + "\r\n\r\n"},
		{"header line after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, _, err := send(t, without(test.begin, test.repeated))
			if err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("got error %v, want one that says that the request was sent", err)
			}
			if got := target.taken.Load(); got > limit {
				t.Errorf("read %d bytes of the header, want at most %d", got, limit)
			}
		})
	}
}

// Guards against a header within the limit that is rejected, and against a limit
// that also applies to the body.
func TestLargeHead(t *testing.T) {
	value := strings.Repeat("x", 30_000)
	body := strings.Repeat("y", 100_000)
	_, response, err := send(t, func(w io.Writer) {
		_, _ = io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nA: "+value+"\r\n\r\nHTTP/1.1 200 OK\r\nA: "+value+"\r\n\r\n"+body)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	got, err := response.ReadAll(1<<20, nil)
	if err != nil || string(got) != body || response.Header.Get("A") != value {
		t.Errorf("got a body of %d bytes, error %v, want %d bytes", len(got), err, len(body))
	}
}

// Guards against an invalid response whose body is read as the response, and
// against one that was cut off and counts as complete.
func TestResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, response string
		body           string
		ok             bool
	}{
		{"length", head + "Content-Length: 2\r\n\r\nok", "ok", true},
		{"length and more", head + "Content-Length: 2\r\n\r\nokHTTP/1.1 500 x\r\n\r\n", "ok", true},
		{"no length", head + "\r\nok", "ok", true},
		{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", "ok", true},
		{"no length, no body", head + "\r\n", "", true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\nA: b\r\n\r\n", "ok", true},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\nok", "", true},
		{"interim response", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", "ok", true},
		{"less than the length", head + "Content-Length: 3\r\n\r\nok", "", false},
		{"cut in a chunk", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nok", "", false},
		{"cut after a chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", false},
		{"cut in the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "", false},
		{"cut in the trailer", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n", "", false},
		{"cut in the header", head + "Content-Length: 0\r\n", "", false},
		{"cut in the end of the header", head + "Content-Length: 0\r\n\r", "", false},
		{"interim response only", "HTTP/1.1 100 Continue\r\n\r\n", "", false},
		{"status below 100", "HTTP/1.1 042 x\r\nContent-Length: 40\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", "", false},
		{"status 600", "HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\nok", "", false},
		{"status 999 without length", "HTTP/1.1 999 x\r\n\r\nok", "", false},
		{"status 599", "HTTP/1.1 599 x\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		{"status below 100 without length", "HTTP/1.1 000 x\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, response, err := send(t, func(w io.Writer) { _, _ = io.WriteString(w, test.response) })
			var body []byte
			if err == nil {
				body, err = response.ReadAll(1<<20, nil)
				response.Close()
			}
			if string(body) != test.body || (err == nil) != test.ok {
				t.Errorf("got body %q, error %v, want body %q, complete %v", body, err, test.body, test.ok)
			}
		})
	}
}

// Guards against a body, a chunk size or a trailer without end that fills the
// memory of this process.
func TestEndlessBody(t *testing.T) {
	const (
		limit = 100_000
		// bound allows for the header, the buffers and the overhead of chunks.
		bound = 2*limit + maxHeadSize
	)
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, begin, repeated string
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000)},
		{"long length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", strings.Repeat("x", 1000)},
		{"chunks", chunked, "10\r\n" + strings.Repeat("x", 16) + "\r\n"},
		{"long chunk", chunked + "fffffffffffffff\r\n", strings.Repeat("x", 1000)},
		{"chunk size", chunked, strings.Repeat("0", 1000)},
		{"chunk extension", chunked + "1;", strings.Repeat("x", 1000)},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\ny\r\n"},
		{"trailer line", chunked + "0\r\nA: ", strings.Repeat("x", 1000)},
		{"trailer lines", chunked + "0\r\n", strings.Repeat("A: b\r\n", 100)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, response, err := send(t, without(test.begin, test.repeated))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if _, err := response.ReadAll(limit, nil); err == nil {
				t.Error("got a complete response, want an error")
			}
			if got := target.taken.Load(); got > bound {
				t.Errorf("read %d bytes, want at most %d", got, bound)
			}
		})
	}
}

// Guards against an end that the connection alone shows and that is taken for one that
// the response announces.
func TestFraming(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, response string
		want           Framing
	}{
		{"length", head + "Content-Length: 2\r\n\r\nok", ByLength},
		{"length 0", head + "Content-Length: 0\r\n\r\n", ByLength},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", ByLength},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ByChunks},
		{"chunks and length", head + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", ByChunks},
		{"neither", head + "\r\nok", ByConnection},
		{"neither, no body", head + "\r\n", ByConnection},
		{"neither, close", head + "Connection: close\r\n\r\nok", ByConnection},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", ByConnection},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", ByLength},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, response, err := send(t, func(w io.Writer) { _, _ = io.WriteString(w, test.response) })
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if got := response.Framing(); got != test.want {
				t.Errorf("got framing %v, want %v", got, test.want)
			}
		})
	}
}
