// Package mtsent tells whether a message of a gRPC call was handed to the
// transport. Before that no byte of it can have left, so a failure without it
// proves that the call was not run; gRPC's status alone can't tell.
//
// # Usage
//
//	conn, err := grpc.NewClient(address, grpc.WithStatsHandler(mtsent.Handler{}))
//	ctx, sent := mtsent.Watch(ctx)
//	reply, err := client.Call(ctx, request)
//	if err != nil && !sent.Load() { ... not run ... }
package mtsent

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

// Handler notes the moment. It implements stats.Handler.
type Handler struct{}

// TagRPC implements stats.Handler.
func (Handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (Handler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutPayload); !ok {
		return
	}
	if sent, ok := ctx.Value(key{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (Handler) HandleConn(context.Context, stats.ConnStats) {}
