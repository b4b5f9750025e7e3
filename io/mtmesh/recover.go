package mtmesh

import (
	"context"
	"log/slog"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recoverPanics returns options of a server whose handlers may panic: the call fails with
// codes.Internal, of which the caller can't tell whether it ran, and the process goes on.
func recoverPanics(log *slog.Logger) []grpc.ServerOption {
	handle := func(method string, failure any) error {
		log.Error("handler of a daemon's call panicked", "method", method, "failure", failure, "stack", string(debug.Stack()))
		return status.Error(codes.Internal, "panic")
	}
	unary := func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (_ any, err error) {
		defer func() {
			if failure := recover(); failure != nil {
				err = handle(info.FullMethod, failure)
			}
		}()
		return handler(ctx, request)
	}
	stream := func(server any, s grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
		defer func() {
			if failure := recover(); failure != nil {
				err = handle(info.FullMethod, failure)
			}
		}()
		return handler(server, s)
	}
	return []grpc.ServerOption{grpc.UnaryInterceptor(unary), grpc.StreamInterceptor(stream)}
}
