package mtforward_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtlink"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// announceTo forwards a call with an announcement to a daemon with this handler, and returns the
// error and whether the call arrived.
func announceTo(t *testing.T, reserve func(mtlink.Bytes) time.Duration, options ...grpc.ServerOption) (arrived bool, err error) {
	t.Helper()
	return announceAs(t.Context(), t, reserve, options...)
}

// announceAs is announceTo for a caller that leaves when the context is canceled.
func announceAs(ctx context.Context, t *testing.T, reserve func(mtlink.Bytes) time.Duration, options ...grpc.ServerOption) (arrived bool, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(options...)
	local, _ := exchange(mtforward.StateSummary{})
	mtforward.Register(server, mtforward.Server{
		Host: &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
			arrived = true
			return &mtcall.Answer{Status: 200}, nil
		}},
		Clock: mttime.New(), Exchange: local, ReserveLink: reserve,
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c, clock, _ := client(t)
	sent := call(clock)
	sent.Announce = true
	_, err = c.Forward(ctx, "b", listener.Addr().String(), sent)
	return arrived, err
}

// interceptAnnounce replaces the handler of announcements.
func interceptAnnounce(handle func(ctx context.Context) error) grpc.ServerOption {
	return grpc.UnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if _, ok := request.(*mtwire.AnnounceRequest); ok {
			return nil, handle(ctx)
		}
		return next(ctx, request)
	})
}

// Failure: a body is sent over a link without room, and delays everything behind it.
func TestBodyWithoutRoomIsNotSent(t *testing.T) {
	arrived, err := announceTo(t, func(mtlink.Bytes) time.Duration { return time.Second })
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseLinkFull)
	assert.Equal(t, refused.RetryAfter, time.Second)
	assert.Assert(t, !arrived)
}

// Failure: a time that can't be right keeps callers away for hours.
func TestUnusableWaitIsBounded(t *testing.T) {
	for wait, want := range map[time.Duration]time.Duration{time.Nanosecond: 400 * time.Millisecond, 1 << 62: 2 * time.Second} {
		_, err := announceTo(t, func(mtlink.Bytes) time.Duration { return wait })
		var refused *mtreply.RefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.RetryAfter, want)
	}
}

// Failure: a daemon refuses a body for which there is room, or is told the wrong size.
func TestBodyWithRoomIsSent(t *testing.T) {
	size := mtlink.Bytes(0)
	arrived, err := announceTo(t, func(b mtlink.Bytes) time.Duration {
		size = b
		return 0
	})
	assert.NilError(t, err)
	assert.Assert(t, arrived)
	assert.Equal(t, size, mtlink.Bytes(len("body")))
}

// Failure: a daemon of an earlier release, which knows no announcements, gets no bodies.
func TestDaemonWithoutAnnouncementsGetsBody(t *testing.T) {
	arrived, err := announceTo(t, nil, interceptAnnounce(func(context.Context) error {
		return status.Error(codes.Unimplemented, "unknown method")
	}))
	assert.NilError(t, err)
	assert.Assert(t, arrived)
}

// Failure: an announcement to a frozen daemon holds a call until its deadline.
func TestAnnouncementWithoutReplyIsGivenUp(t *testing.T) {
	arrived, err := announceTo(t, nil, interceptAnnounce(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseUnreachable)
	assert.Assert(t, !arrived)
}

// Failure: a daemon is avoided as unreachable because callers leave while they ask it for room.
func TestCallerThatLeavesShowsNothingAboutTheDaemon(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	arrived, err := announceAs(ctx, t, nil, interceptAnnounce(func(ctx context.Context) error {
		leave()
		<-ctx.Done()
		return ctx.Err()
	}))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Cause, mtreply.CauseExpired)
	assert.Assert(t, !arrived)
}
