package mtconn

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

type key struct{}

// Watch returns a context for one call, and what is set once its message was
// handed to the transport.
func Watch(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, key{}, sent), sent
}

// handler notes the moment in the call's context.
type handler struct{}

// TagRPC implements stats.Handler.
func (handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (handler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutPayload); !ok {
		return
	}
	if sent, ok := ctx.Value(key{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (handler) HandleConn(context.Context, stats.ConnStats) {}
