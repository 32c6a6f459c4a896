package rtgateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtintake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
)

const (
	reasonEvicted = "too many bodies"
	// evictedRetryDelay is the retry delay of callers whose body was evicted: until
	// then bodies without progress are found and others have been sent.
	evictedRetryDelay = rtintake.StallTime
	// memoryPollInterval is how often a request that waits for memory looks for bodies
	// that have stalled meanwhile.
	memoryPollInterval = 50 * time.Millisecond
	// roomInterval is the least time between two looks for a request to evict, each of
	// which visits all requests. With 64 KiB at least for each, a hundred a second follow
	// callers that send 6 MB/s in all.
	roomInterval = 10 * time.Millisecond
	// maxDiscards limits the refused requests whose rest is read at the same time. Each
	// takes up to discardTimeout.
	maxDiscards = 64
	// intakeReportInterval is the least time between two log lines about callers that
	// evictions, and between two updates of the gauges.
	intakeReportInterval = time.Second
	// bodyPiece is the size of the pieces of a body but for the first two.
	bodyPiece = 64 << 10
)

// errEvicted means that a request was evicted in favour of others. Nothing of it was sent.
var errEvicted = errors.New("evicted in favour of other requests")

// connectionUse is what a connection uses of the intake.
type connectionUse struct {
	draw    *rtintake.Draw // of the current request; nil between two
	header  int64          // bytes of its header
	reading bool           // its body is being read
	closed  bool
}

// intake applies the decisions of package rtintake to the connections of callers.
type intake struct {
	limits  rtintake.Limits
	log     logr.Logger
	metrics *rtmetric.Metrics

	mu          sync.Mutex
	budget      rtintake.Budget
	connections rtintake.Connections[*idleConn]
	owners      map[*rtintake.Draw]*idleConn
	changed     chan struct{} // closed when memory is returned or a request is evicted
	discards    int
	looked      time.Time // for a request to evict
	reported    time.Time
	events      map[string]int // since reported, by cause
}

func newIntake(limits rtintake.Limits, log logr.Logger, metrics *rtmetric.Metrics) *intake {
	return &intake{
		limits:      limits,
		log:         log.WithName("intake"),
		metrics:     metrics,
		budget:      rtintake.Budget{Limit: int64(limits.Memory)},
		connections: rtintake.Connections[*idleConn]{Limit: limits.Connections},
		owners:      make(map[*rtintake.Draw]*idleConn),
		changed:     make(chan struct{}),
		events:      make(map[string]int),
	}
}

// bounded reports whether the settings bound anything.
func (i *intake) bounded() bool { return i.limits != (rtintake.Limits{}) }

// maxHeader returns the limit of headers in bytes before that of the configuration is
// checked.
func (i *intake) maxHeader() int {
	if i.limits.Memory > 0 {
		return rtintake.MaxHeader
	}
	return maxHeader
}

// responseMemory returns the memory for long responses.
func responseMemory(limits rtintake.Limits) int64 {
	if limits.Responses > 0 {
		return int64(limits.Responses)
	}
	return maxResponseMemory
}

// admit reports whether a new connection is within the bound. It may close others for
// it.
func (i *intake) admit(c *idleConn) bool {
	if !i.bounded() {
		return true
	}
	now := time.Now()
	i.mu.Lock()
	var victim *idleConn
	if i.connections.Full() {
		victim = i.closable(now)
	}
	admitted := victim != nil || !i.connections.Full()
	if admitted {
		i.connections.Add(c, now)
	} else {
		i.count("connection refused")
	}
	i.report(now)
	i.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close() // an error says that it is closed already
	}
	return admitted
}

// closable removes and returns a connection to close for a new one, or nil.
func (i *intake) closable(now time.Time) *idleConn {
	victim, ok := i.connections.Victim()
	cause := "connection closed"
	if !ok {
		victim = i.owners[i.budget.Stalled(now)]
		cause = rtintake.Stalled.String()
	}
	if victim != nil {
		i.count(cause)
		i.forget(victim)
	}
	return victim
}

// forget drops a connection that is closed.
func (i *intake) forget(c *idleConn) {
	c.use.closed = true
	i.connections.Remove(c)
	i.endDraw(c)
}

// endDraw ends what the current request of a connection holds.
func (i *intake) endDraw(c *idleConn) {
	if c.use.draw != nil && !c.use.reading {
		// The handler that reads the body still has its memory, and ends the draw.
		i.budget.End(c.use.draw)
		delete(i.owners, c.use.draw)
		c.use.draw, c.use.header = nil, 0
		i.wake()
	}
}

// wake lets waiting requests look again.
func (i *intake) wake() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// remove drops a connection.
func (i *intake) remove(c *idleConn) {
	if !i.bounded() {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forget(c)
	i.report(time.Now())
}

// track records the state of a connection.
func (i *intake) track(c *idleConn, state http.ConnState) {
	if !i.bounded() {
		return
	}
	i.mu.Lock()
	pipelined := state == http.StateActive && c.use.draw == nil && !c.use.closed
	i.mu.Unlock()
	if pipelined && !i.readHeader(c, 0) {
		_ = c.Close() // the handler sees that the request has been evicted
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateIdle:
		i.endDraw(c)
		i.connections.Set(c, rtintake.Idle, time.Now())
	case http.StateActive:
		i.connections.Set(c, rtintake.Active, time.Now())
	default:
	}
}

// readHeader counts bytes of a header, and those that may have been read with the request
// before it. It reports false if the connection must be
// closed, because there is no memory for them.
func (i *intake) readHeader(c *idleConn, n int) bool {
	if !i.bounded() {
		return true
	}
	now := time.Now()
	i.mu.Lock()
	if c.use.closed {
		i.mu.Unlock()
		return false
	}
	if c.use.draw == nil {
		c.use.draw = i.budget.Begin(address(c), now)
		i.owners[c.use.draw] = c
		i.connections.Set(c, rtintake.Header, now)
		c.use.header = c.lastRead.Load()
	}
	c.use.header += int64(n)
	i.budget.Progress(c.use.draw, n, now)
	draw := c.use.draw
	need := (c.use.header-rtintake.FreeHeader)*rtintake.HeaderCost - draw.Held()
	i.mu.Unlock()
	return need <= 0 || i.take(draw, need, now.Add(headerTimeout)) == nil
}

// address returns the IP address of a caller.
func address(c *idleConn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// take gives a request memory, for which it waits until a time. It returns errEvicted
// if it does not get any.
func (i *intake) take(draw *rtintake.Draw, n int64, until time.Time) error {
	for {
		now := time.Now()
		i.mu.Lock()
		if i.budget.Take(draw, n, now) {
			i.mu.Unlock()
			return nil
		}
		if draw.Evicted() || !now.Before(until) {
			i.mu.Unlock()
			return errEvicted
		}
		i.makeRoom(now)
		changed := i.changed
		if draw.Evicted() {
			i.mu.Unlock()
			return errEvicted
		}
		i.mu.Unlock()
		timer := time.NewTimer(min(memoryPollInterval, until.Sub(now)))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// makeRoom evicts a request if those that wait need it, and if it has not looked just
// before.
func (i *intake) makeRoom(now time.Time) {
	if now.Sub(i.looked) < roomInterval {
		return
	}
	i.looked = now
	if victim, cause := i.budget.MakeRoom(now); victim != nil {
		i.count(cause.String())
		i.interrupt(victim)
		i.report(now)
	}
}

// interrupt ends the reading of a request that has been evicted.
func (i *intake) interrupt(draw *rtintake.Draw) {
	c := i.owners[draw]
	if c.use.reading {
		// The handler writes the refusal. An error says that the connection has failed.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	} else {
		i.forget(c)
		_ = c.Conn.Close()
	}
	i.wake()
}

// draw returns the draw of a request, or nil if nothing is bounded.
func (i *intake) draw(q *request) (*idleConn, *rtintake.Draw) {
	c, ok := q.r.Context().Value(connectionKey{}).(*idleConn)
	if !ok || !i.bounded() {
		return nil, nil
	}
	return c, c.use.draw
}

// receiveBody reads the body of a request in pieces, up to one byte over a limit, and
// returns its size.
func (g *Gateway) receiveBody(q *request, limit int64) (int64, error) {
	draw, err := g.intake.beginBody(q)
	if err != nil {
		return 0, err
	}
	size, err := g.intake.readPieces(q, draw, limit)
	if evicted := g.intake.endBody(q, err != nil || size > limit); evicted {
		err = errEvicted
	}
	return size, err
}

// beginBody says that the body of a request is read from now on.
func (i *intake) beginBody(q *request) (*rtintake.Draw, error) {
	if !i.bounded() {
		return nil, nil //nolint:nilnil // nothing is bounded, so there is no draw
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	c, draw := i.draw(q)
	if draw == nil {
		if c != nil {
			return nil, errEvicted // closed meanwhile
		}
		return nil, nil //nolint:nilnil // not a connection of the listener, as in tests
	}
	holder := address(c)
	if q.organisation != nil {
		holder = string(q.organisation.Name) + " " + holder
	}
	i.budget.BeginBody(draw, holder, time.Now())
	c.use.reading = true
	return draw, nil
}

// endBody says that the body of a request is no longer read. It reports whether the
// request has been evicted, and returns the memory then or if it is dropped.
func (i *intake) endBody(q *request, drop bool) (evicted bool) {
	if !i.bounded() {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	c, draw := i.draw(q)
	if draw == nil {
		return false
	}
	c.use.reading = false
	if drop || draw.Evicted() {
		q.body = nil
		i.budget.Return(draw)
		i.wake()
	}
	if c.use.closed {
		i.endDraw(c)
	}
	return draw.Evicted()
}

// readPieces reads a body into q.body.
func (i *intake) readPieces(q *request, draw *rtintake.Draw, limit int64) (int64, error) {
	var size int64
	var piece []byte
	defer func() {
		if len(piece) > 0 {
			q.body = append(q.body, piece)
		}
	}()
	for size <= limit {
		if len(piece) == cap(piece) {
			if len(piece) > 0 {
				q.body = append(q.body, piece)
				piece = nil
			}
			capacity := pieceSize(size, limit, q.r.ContentLength)
			if draw != nil && size > 0 {
				if err := i.take(draw, capacity, q.deadline); err != nil {
					return size, err
				}
			}
			piece = make([]byte, 0, capacity)
		}
		n, err := q.r.Body.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		size += int64(n)
		if draw != nil && n > 0 {
			i.progress(draw, n)
		}
		if errors.Is(err, io.EOF) {
			return size, nil
		}
		if err != nil {
			return size, err
		}
	}
	return size, nil
}

// pieceSize returns the size of the next piece of a body of which some bytes have
// arrived. It grows with the body and does not exceed the rest of it, one byte over
// the limit included.
func pieceSize(received, limit, announced int64) int64 {
	size := int64(bodyPiece)
	if received < bodyPiece {
		size = max(rtintake.FreeBody, 4*received)
	}
	rest := limit + 1 - received
	if announced > received {
		rest = min(rest, announced-received)
	}
	return min(size, rest, bodyPiece)
}

func (i *intake) progress(draw *rtintake.Draw, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Progress(draw, n, time.Now())
}

// refuseEvicted refuses requests that have been evicted before they are sent.
func (g *Gateway) refuseEvicted(q *request) *refusal {
	i := g.intake
	if !i.bounded() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	c, draw := i.draw(q)
	if c == nil || draw != nil && i.budget.Send(draw, q.deadline) {
		return nil
	}
	q.w.Header().Set("Connection", "close")
	return notRun(reasonEvicted, g.retryAfter(evictedRetryDelay))
}

// returnMemory returns the memory of a request that is not sent again.
func (g *Gateway) returnMemory(q *request) {
	i := g.intake
	if !i.bounded() {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, draw := i.draw(q); draw != nil {
		q.body = nil
		i.budget.Return(draw)
		i.wake()
	}
	i.report(time.Now())
}

// beginDiscard reports whether the rest of another refused request may be read.
func (i *intake) beginDiscard() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.bounded() && i.discards >= maxDiscards {
		i.count("rest not read")
		return false
	}
	i.discards++
	return true
}

func (i *intake) endDiscard() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.discards--
}

// count counts an evicted request or connection.
func (i *intake) count(cause string) {
	i.events[cause]++
	i.metrics.Scope.Tagged(map[string]string{"cause": cause}).Counter("evictions").Inc(1)
}

// report updates the gauges and logs what was evicted, at most once in an interval.
func (i *intake) report(now time.Time) {
	if now.Sub(i.reported) < intakeReportInterval {
		return
	}
	i.reported = now
	largest := i.budget.Largest()
	i.metrics.Scope.Gauge("intake_bytes").Update(float64(i.budget.Used()))
	i.metrics.Scope.Gauge("intake_largest_holder").Update(float64(largest))
	i.metrics.Scope.Gauge("caller_connections").Update(float64(i.connections.Count()))
	if len(i.events) > 0 {
		i.log.Info("Requests and connections evicted.", "causes", i.events, "bytes", i.budget.Used(), "largest", largest, "connections", i.connections.Count())
		i.events = make(map[string]int)
	}
}
