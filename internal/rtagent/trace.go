package rtagent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// connectionTrace records whether a call got a connection. Without one, nothing
// was written, so the call cannot have reached the target.
type connectionTrace struct {
	connected atomic.Bool
}

func (t *connectionTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

func (t *connectionTrace) wasConnected() bool { return t.connected.Load() }
