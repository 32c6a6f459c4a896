package rtagent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// reach tells whether a call may have reached the target: whether it got a
// connection to write to. Without one, nothing was written.
type reach struct {
	connected atomic.Bool
}

func (r *reach) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) },
	})
}

func (r *reach) reached() bool { return r.connected.Load() }
