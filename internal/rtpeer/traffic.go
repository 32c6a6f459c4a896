package rtpeer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// messageKind is what a message to a peer was sent for.
type messageKind int

// The kinds of messages to peers.
const (
	intervalDigest  messageKind = iota // interval
	newsDigest                         // news
	viewDigest                         // view
	otherCellDigest                    // othercell
	changesState                       // changes
	fullState                          // fullstate
	messageKinds
)

// trafficLogInterval is the time between two log lines about the messages sent.
const trafficLogInterval = 10 * time.Second

// traffic counts the messages to peers. The zero value has no metrics.
type traffic struct {
	scope    tally.Scope
	messages [messageKinds]atomic.Int64
	bytes    [messageKinds]atomic.Int64
}

// record counts one message.
func (t *traffic) record(kind messageKind, bytes int) {
	t.messages[kind].Add(1)
	t.bytes[kind].Add(int64(bytes))
	if t.scope != nil {
		tagged := t.scope.Tagged(map[string]string{"kind": kind.String()})
		tagged.Counter("peer_messages").Inc(1)
		tagged.Counter("peer_bytes").Inc(int64(bytes))
	}
}

// logTraffic logs the messages and bytes sent so far, by kind, until the context ends.
func (g *Group) logTraffic(ctx context.Context) error {
	for ctx.Err() == nil {
		wait(ctx, trafficLogInterval)
		var fields []any
		for kind := range messageKinds {
			fields = append(fields, kind.String(), []int64{g.traffic.messages[kind].Load(), g.traffic.bytes[kind].Load()})
		}
		g.log.Info("Messages and bytes sent to peers.", fields...)
	}
	return nil
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	io.Writer
	bytes int
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.Writer.Write(data)
	w.bytes += n
	return n, err
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=messageKind -linecomment
