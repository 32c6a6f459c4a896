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
	got, err := response.ReadAll(1 << 20)
	if err != nil || string(got) != body || response.Header.Get("A") != value {
		t.Errorf("got a body of %d bytes, error %v, want %d bytes", len(got), err, len(body))
	}
}
