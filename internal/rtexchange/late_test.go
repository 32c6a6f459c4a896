package rtexchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// slowTarget answers one request after a time and reads until its caller disconnects.
type slowTarget struct {
	listener     net.Listener
	answer       string
	after        time.Duration // that it has the connection
	disconnected time.Duration // from the connection to the disconnect
}

func (s *slowTarget) serve(ctx context.Context) error {
	c, err := s.listener.Accept()
	if err != nil {
		return err
	}
	begun := time.Now()
	reader := rttask.Start(ctx, "reader", func(context.Context) error {
		_, err := io.Copy(io.Discard, c)
		s.disconnected = time.Since(begun)
		return err
	})
	time.Sleep(s.after)
	_, _ = io.WriteString(c, s.answer) // fails if the caller has closed
	return errors.Join(<-reader.Done(), c.Close())
}

// abandon sends a request to a target, which it abandons after a time, and returns the
// late response.
func (s *slowTarget) abandon(t *testing.T, network *rtfake.Network, patience time.Duration) *LateResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	body := bytes.Repeat([]byte("x"), 1000)
	var late *LateResponse
	start := time.Now()
	_, err := Send(ctx, network.Host("10.0.0.1"), "10.0.0.2:80", &Message{
		Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, Pieces: [][]byte{body},
		OnAbandoned: func(l *LateResponse) { late = l },
	})
	if !errors.Is(err, context.DeadlineExceeded) || late == nil {
		t.Fatalf("error %v, late response %v, want the end of the context and a late response", err, late)
	}
	if took := time.Since(start); took != patience {
		t.Errorf("returned after %v, want %v", took, patience)
	}
	clear(body) // it belongs to the caller again
	return late
}

// Guards against a response that is not read because it was on its way when its request
// was abandoned, against a target that goes on with such a request, and against a
// connection that stays open.
func TestAbandonedRequest(t *testing.T) {
	const (
		patience = 30 * time.Millisecond
		oneWay   = 5 * time.Millisecond
	)
	tests := []struct {
		name   string
		answer string
		after  time.Duration
		want   int // status; 0 for none
	}{
		{"on its way", "HTTP/1.1 503 x\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 17 * time.Millisecond, 503},
		{"after an interim response", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 503 x\r\nRetry-After: 3\r\n\r\n", 17 * time.Millisecond, 503},
		{"no response", "nonsense", 17 * time.Millisecond, 0},
		{"too late", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", 2 * lateResponseTimeout, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &rtfake.Network{Seed: 1, DefaultLatency: func(_, _ string) rtfake.Latency { return rtfake.Latency{Base: oneWay} }}
				defer network.Close()
				listener, err := network.Host("10.0.0.2").Listen("10.0.0.2:80")
				if err != nil {
					t.Fatal(err)
				}
				target := &slowTarget{listener: listener, answer: test.answer, after: test.after}
				task := rttask.Start(t.Context(), "target", target.serve)
				late := target.abandon(t, network, patience)
				abandoned := time.Now()
				status, header, err := late.Read()
				if status != test.want || (err == nil) != (test.want != 0) || test.want != 0 && header.Get("Retry-After") != "3" {
					t.Errorf("status %d, header %v, error %v, want status %d", status, header, err, test.want)
				}
				if took := time.Since(abandoned); took > lateResponseTimeout {
					t.Errorf("closed after %v, want at most %v", took, lateResponseTimeout)
				}
				if err := <-task.Done(); err != nil {
					t.Error(err)
				}
				if target.disconnected > patience+oneWay {
					t.Errorf("the target saw the disconnect after %v, want at most %v", target.disconnected, patience+oneWay)
				}
			})
		})
	}
}
