package mtforward_test

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// Failure: the wrong calls are withdrawn, or a daemon of an earlier release or a lost message
// counts as a confirmation.
func TestWithdraw(t *testing.T) {
	for _, want := range []codes.Code{codes.OK, codes.Unimplemented, codes.DeadlineExceeded} {
		var got []mtid.TryID
		var remembered time.Duration
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := grpc.NewServer(grpc.UnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if want != codes.OK {
				return nil, status.Error(want, "")
			}
			return next(ctx, request)
		}))
		local, _ := exchange(mtforward.StateSummary{})
		mtforward.Register(server, mtforward.Server{Host: &host{}, Clock: mttime.New(), Exchange: local, Withdraw: func(tries []mtid.TryID, remember time.Duration) int {
			got, remembered = tries, remember
			return 1
		}})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		c, _, _ := client(t)
		n, err := c.Withdraw(t.Context(), listener.Addr().String(), []mtid.TryID{7, 1 << 63}, time.Second)
		assert.Equal(t, status.Code(err), want)
		if want != codes.OK {
			assert.Equal(t, n, 0)
			continue
		}
		assert.Equal(t, n, 1)
		assert.DeepEqual(t, got, []mtid.TryID{7, 1 << 63})
		assert.Equal(t, remembered, time.Second)
	}
}
