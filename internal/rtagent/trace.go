package rtagent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// connectionTrace tells whether a call may have reached the target: whether it got a
// connection to write to. Without one, nothing was written.
type connectionTrace struct {
	connected atomic.Bool
}

func (r *connectionTrace) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) },
	})
}

func (r *connectionTrace) wasConnected() bool { return r.connected.Load() }
