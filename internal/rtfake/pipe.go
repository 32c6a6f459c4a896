package rtfake

import (
	"context"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxInFlight bounds the bytes in one direction of a connection that the reader
// has not read, like the socket buffers of a TCP connection.
const maxInFlight = 256 << 10

// segment holds bytes that one write sent.
type segment struct {
	data    []byte
	arrival time.Time // not before the arrival of the preceding segment
}

// pipe is one direction of a connection. While the link is cut it holds the
// bytes back; it never loses any.
type pipe struct {
	link *link
	from *hostState
	to   *hostState

	mu            sync.Mutex
	segments      []segment
	inFlight      int
	closeReason   error     // the reader's error after the last segment; nil while the writer is open
	closeArrival  time.Time // set together with closeReason
	readerClosed  bool
	writerClosed  bool
	readDeadline  time.Time
	writeDeadline time.Time
	changed       chan struct{} // closed and replaced at each change
}

func newPipe(l *link) *pipe {
	return &pipe{link: l, from: l.from, to: l.to, changed: make(chan struct{})}
}

// wake makes waiting readers and writers check the state again.
func (s *pipe) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *pipe) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns bytes that have arrived. It waits for the first of them until
// the read deadline.
func (s *pipe) read(buffer []byte) (int, error) {
	for {
		s.mu.Lock()
		n, until, err := s.tryRead(buffer)
		changed := s.changed
		s.mu.Unlock()
		if n > 0 || err != nil || len(buffer) == 0 {
			return n, err
		}
		waitUntil(context.Background(), changed, until)
	}
}

// tryRead returns bytes or an error. If it returns neither, the caller should try
// again after a change or at the returned time, unless that is zero.
func (s *pipe) tryRead(buffer []byte) (int, time.Time, error) {
	now := time.Now()
	if s.readerClosed {
		return 0, time.Time{}, s.closedError()
	}
	if expired(s.readDeadline, now) {
		return 0, time.Time{}, os.ErrDeadlineExceeded
	}
	if s.to.isFrozen() || s.link.isCut() {
		return 0, s.readDeadline, nil
	}
	if len(s.segments) == 0 {
		return s.tryReadClose(now)
	}
	if arrival := s.segments[0].arrival; now.Before(arrival) {
		return 0, earliest(arrival, s.readDeadline), nil
	}
	n := s.link.admit(min(len(buffer), len(s.segments[0].data)))
	s.consume(buffer[:n])
	return n, s.readDeadline, nil
}

func (s *pipe) tryReadClose(now time.Time) (int, time.Time, error) {
	if s.closeReason == nil {
		return 0, s.readDeadline, nil
	}
	if now.Before(s.closeArrival) {
		return 0, earliest(s.closeArrival, s.readDeadline), nil
	}
	return 0, time.Time{}, s.closeReason
}

// consume moves bytes of the first segment to buffer.
func (s *pipe) consume(buffer []byte) {
	if len(buffer) == 0 {
		return
	}
	first := &s.segments[0]
	copy(buffer, first.data)
	first.data = first.data[len(buffer):]
	if len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	s.inFlight -= len(buffer)
	s.wakeLocked()
}

// write sends all bytes. While maxInFlight bytes are unread it waits, until the
// write deadline.
func (s *pipe) write(data []byte, peerReachable func() bool) (int, error) {
	written := 0
	for {
		s.mu.Lock()
		n, err := s.tryWrite(data[written:], peerReachable())
		until := s.writeDeadline
		changed := s.changed
		s.mu.Unlock()
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
		if n == 0 {
			waitUntil(context.Background(), changed, until)
		}
	}
}

// tryWrite sends as many bytes as fit. It returns EPIPE if the reader has closed
// and the packet that says so can have arrived.
func (s *pipe) tryWrite(data []byte, peerReachable bool) (int, error) {
	now := time.Now()
	if s.writerClosed {
		return 0, s.closedError()
	}
	if expired(s.writeDeadline, now) {
		return 0, os.ErrDeadlineExceeded
	}
	if s.from.isFrozen() {
		return 0, nil
	}
	if s.readerClosed && peerReachable {
		return 0, syscall.EPIPE
	}
	n := min(len(data), maxInFlight-s.inFlight)
	if n <= 0 {
		return 0, nil
	}
	s.segments = append(s.segments, segment{
		data:    append([]byte(nil), data[:n]...),
		arrival: s.nextArrival(now),
	})
	s.inFlight += n
	s.wakeLocked()
	return n, nil
}

func (s *pipe) nextArrival(now time.Time) time.Time {
	arrival := now.Add(s.link.delay())
	if last := len(s.segments) - 1; last >= 0 && s.segments[last].arrival.After(arrival) {
		return s.segments[last].arrival
	}
	return arrival
}

// closeWriter closes the writing side; the reader gets reason after all
// segments.
func (s *pipe) closeWriter(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writerClosed {
		return
	}
	s.writerClosed = true
	s.closeReason = reason
	s.closeArrival = s.nextArrival(time.Now())
	s.wakeLocked()
}

func (s *pipe) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.wakeLocked()
}

func (s *pipe) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDeadline = t
	s.wakeLocked()
}

func (s *pipe) setWriteDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDeadline = t
	s.wakeLocked()
}

func (s *pipe) closedError() error {
	return io.ErrClosedPipe
}
