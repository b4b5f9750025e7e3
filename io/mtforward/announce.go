package mtforward

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtlink"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtwire"
)

const (
	// announceTimeout limits the wait for the reply to an announcement. A link on which it
	// takes longer has no room.
	announceTimeout = 250 * time.Millisecond
	// minLinkRetry and maxLinkRetry bound the time after which to retry a call whose body
	// found no room. Links that are full stay so for longer than one transfer takes.
	minLinkRetry = 400 * time.Millisecond
	maxLinkRetry = 2 * time.Second
)

// announce asks for room for the body of a call on the link of the daemon that conn leads
// to. It fails with a *mtreply.RefusedError if there is none. A daemon that knows no
// announcements gets the body at once.
func (c *Client) announce(ctx context.Context, conn grpc.ClientConnInterface, call *mtcall.Call) error {
	limited, cancel := context.WithTimeout(ctx, min(announceTimeout, call.Deadline.Sub(c.clock.Now())))
	defer cancel()
	reply, err := mtwire.NewForwarderClient(conn).Announce(limited, &mtwire.AnnounceRequest{Bytes: uint64(call.Body.Len())})
	switch {
	case status.Code(err) == codes.Unimplemented:
		return nil
	case err != nil && (ctx.Err() != nil || !c.clock.Now().Before(call.Deadline)):
		return &mtreply.RefusedError{Cause: mtreply.CauseExpired, RetryAfter: -1, Detail: "the time ended before the body was sent"}
	case err != nil:
		return &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, RetryAfter: unreachableRetry, Detail: "no reply to the announcement: " + err.Error()}
	case reply.GetWaitUs() > 0:
		return &mtreply.RefusedError{Cause: mtreply.CauseLinkFull, RetryAfter: min(max(micros(reply.GetWaitUs()), minLinkRetry), maxLinkRetry)}
	}
	return nil
}

// Announce implements mtwire.ForwarderServer.
func (s *server) Announce(_ context.Context, w *mtwire.AnnounceRequest) (*mtwire.AnnounceReply, error) {
	if s.config.ReserveLink == nil {
		return &mtwire.AnnounceReply{}, nil
	}
	size := mtlink.Bytes(min(w.GetBytes(), math.MaxInt32))
	wait := s.config.ReserveLink(size)
	if wait > 0 {
		wait = max(wait, time.Microsecond) // zero would grant room
	}
	return &mtwire.AnnounceReply{WaitUs: wait.Microseconds()}, nil
}
