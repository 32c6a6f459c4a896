package rtfake

import (
	"context"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxInFlight bounds the bytes between the two ends of a connection, like the
// socket buffers of a TCP connection.
const maxInFlight = 256 << 10

// segment is what one Write put on the wire.
type segment struct {
	data    []byte
	arrival time.Time // not before that of the segment ahead of it
}

// pipe is one direction of a connection. Bytes wait in it while the link is
// cut; they are never lost.
type pipe struct {
	link *link
	from *hostState
	to   *hostState

	mu            sync.Mutex
	segments      []segment
	inFlight      int
	finished      error     // what the reader gets after the last segment; nil while the writer is open
	finishArrival time.Time // set together with finished
	readerGone    bool
	writerGone    bool
	readDeadline  time.Time
	writeDeadline time.Time
	changed       chan struct{} // closed and replaced at each change
}

func newPipe(l *link) *pipe {
	return &pipe{link: l, from: l.from, to: l.to, changed: make(chan struct{})}
}

// wake makes all waiting readers and writers look at the state again.
func (s *pipe) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *pipe) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns bytes that have arrived, and waits for them until the read
// deadline.
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

// tryRead returns the instant at which it is worth trying again if it has
// neither bytes nor an error; zero if only a change can help.
func (s *pipe) tryRead(buffer []byte) (int, time.Time, error) {
	now := time.Now()
	if s.readerGone {
		return 0, time.Time{}, s.closedError()
	}
	if expired(s.readDeadline, now) {
		return 0, time.Time{}, os.ErrDeadlineExceeded
	}
	if s.to.isFrozen() || s.link.isCut() {
		return 0, s.readDeadline, nil
	}
	if len(s.segments) == 0 {
		return s.tryFinish(now)
	}
	if arrival := s.segments[0].arrival; now.Before(arrival) {
		return 0, earliest(arrival, s.readDeadline), nil
	}
	n := s.link.admit(min(len(buffer), len(s.segments[0].data)))
	s.take(buffer[:n])
	return n, s.readDeadline, nil
}

func (s *pipe) tryFinish(now time.Time) (int, time.Time, error) {
	if s.finished == nil {
		return 0, s.readDeadline, nil
	}
	if now.Before(s.finishArrival) {
		return 0, earliest(s.finishArrival, s.readDeadline), nil
	}
	return 0, time.Time{}, s.finished
}

// take moves bytes of the first segment to buffer.
func (s *pipe) take(buffer []byte) {
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

// write puts all bytes on the wire, and waits for room until the write
// deadline.
func (s *pipe) write(data []byte, peerVisible func() bool) (int, error) {
	written := 0
	for {
		s.mu.Lock()
		n, err := s.tryWrite(data[written:], peerVisible())
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

// tryWrite fails if the reader has gone and the news of it can have arrived.
func (s *pipe) tryWrite(data []byte, peerVisible bool) (int, error) {
	now := time.Now()
	if s.writerGone {
		return 0, s.closedError()
	}
	if expired(s.writeDeadline, now) {
		return 0, os.ErrDeadlineExceeded
	}
	if s.from.isFrozen() {
		return 0, nil
	}
	if s.readerGone && peerVisible {
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

// closeWriter lets the reader see reason after all segments.
func (s *pipe) closeWriter(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writerGone {
		return
	}
	s.writerGone = true
	s.finished = reason
	s.finishArrival = s.nextArrival(time.Now())
	s.wakeLocked()
}

func (s *pipe) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerGone = true
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
