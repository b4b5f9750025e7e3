// Package mtrouter takes a caller's request to the owner of its key: by a
// function call if that is this daemon, else over at most one hop.
//
// It is the only layer that tries again, and it does so only after a proof that
// the request was not run, or if its class is idempotent.
//
// # Usage
//
//	router := mtrouter.New(config)
//	reply := router.Route(ctx, request)
//
// A Router is safe for concurrent use.
package mtrouter

import (
	"context"
	"encoding/binary"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtowner"
)

// owner runs requests on this VM.
type owner interface {
	Serve(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply
}

// peers relay requests to other daemons.
type peers interface {
	Relay(ctx context.Context, address string, r *mtrequest.Request, frontier mtid.Revision, left time.Duration) (*mtrequest.Reply, error)
}

type clock interface{ Now() mtclock.Instant }

// Config is what a Router works with.
type Config struct {
	Self  func() mtid.Holder
	View  *mtview.View
	Owner owner
	Peers peers
	Clock clock
	// Hint is told of peers that know more of the live state.
	Hint func(address string, frontier mtid.Revision)
}

// Router finds owners.
type Router struct{ Config }

// New returns a router.
func New(config Config) *Router { return &Router{Config: config} }

// MaxTries bounds how often one request is sent, the first time included.
const MaxTries = 4

// staleWait is the pause before asking again when neither side knows the owner
// yet. It is about the time that a change takes to reach the next daemon.
const staleWait = 50 * time.Millisecond

// Route runs a request and returns what came of it.
func (r *Router) Route(ctx context.Context, q *mtrequest.Request) *mtrequest.Reply {
	service, class, err := mtowner.Declared(r.View.Now(), q)
	if err != nil {
		return mtrequest.FromError(err)
	}
	now := r.Clock.Now()
	limit := now.Add(class.Timeout)
	if q.Deadline == 0 || q.Deadline.After(limit) {
		q.Deadline = limit
	}
	q.Ingress = r.Self()
	if service.Kind == mtbundle.Spread {
		if !class.Idempotent && !q.Minted {
			return mtrequest.FromError(undeduplicated)
		}
		return r.spread(ctx, q)
	}
	return r.keyed(ctx, q)
}

// undeduplicated refuses a resend that nobody could recognise: with no owner of
// the key, two servers may each see the identifier for the first time, and the
// request would run twice.
var undeduplicated = &mtreply.RefusedError{
	Cause: mtreply.CauseMalformed, RetryAfter: -1,
	Detail: mtheader.Key + ": accepted only without, for a non-idempotent class of a spread service",
}

// spot spreads requests evenly: the last bytes of an identifier are random.
func spot(id mtrequest.ID) mtid.Point {
	const randomPart = 8
	return mtid.Point(binary.BigEndian.Uint64(id[randomPart:]))
}

// keyed sends a request to the owner of its key, following corrections.
func (r *Router) keyed(ctx context.Context, q *mtrequest.Request) *mtrequest.Reply {
	var hint mtid.Holder
	for try := 1; ; try++ {
		target := r.target(q, hint)
		reply := r.send(ctx, q, target)
		if try == MaxTries || !again(reply) {
			return reply
		}
		if reply.Cause == mtreply.CauseStaleRoute && reply.Owner != target {
			// The asked daemon knows another owner: go there at once.
			hint = reply.Owner
			continue
		}
		hint = mtid.Holder{}
		if !r.pause(ctx, q) {
			return reply
		}
	}
}

// again reports whether a reply proves that the request was not run for a
// reason that another owner may cure.
func again(reply *mtrequest.Reply) bool {
	if reply.Outcome != mtreply.NotRun {
		return false
	}
	switch reply.Cause {
	case mtreply.CauseStaleRoute, mtreply.CauseUnreachable, mtreply.CauseNoOwner,
		mtreply.CauseNoLease, mtreply.CauseStopping, mtreply.CauseNoServer:
		return true
	}
	return false
}

// pause waits a moment, or returns false if the deadline comes first.
func (r *Router) pause(ctx context.Context, q *mtrequest.Request) bool {
	if q.Deadline.Sub(r.Clock.Now()) <= staleWait {
		return false
	}
	timer := time.NewTimer(staleWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// target returns the holder to ask: the hint if there is one, else the owner in
// this daemon's copy.
func (r *Router) target(q *mtrequest.Request, hint mtid.Holder) mtid.Holder {
	if !hint.IsZero() {
		return hint
	}
	shard, ok := r.View.Now().Lookup(q.Service, q.Point())
	if !ok {
		return mtid.Holder{}
	}
	return shard.Owner
}

// spread sends a request to any daemon that has a server of the service.
func (r *Router) spread(ctx context.Context, q *mtrequest.Request) *mtrequest.Reply {
	var among []mtid.Holder
	for _, record := range r.View.Now().Roster() {
		if _, ok := record.Offer(q.Service); ok && record.Live() && record.State == mtroster.Serving {
			among = append(among, record.Holder)
		}
	}
	return r.send(ctx, q, mtshard.Choose(spot(q.ID), among))
}

// send asks one holder.
func (r *Router) send(ctx context.Context, q *mtrequest.Request, target mtid.Holder) *mtrequest.Reply {
	if target.IsZero() {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseNoOwner, RetryAfter: time.Second}
	}
	if target == r.Self() {
		return r.Owner.Serve(ctx, q)
	}
	record, _, ok := r.View.Now().Record(target.Daemon)
	if !ok || record.Holder != target {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseNoOwner, RetryAfter: time.Second}
	}
	left := q.Deadline.Sub(r.Clock.Now())
	if left <= 0 {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseExpired, RetryAfter: -1}
	}
	reply, err := r.Peers.Relay(ctx, record.Relay, q, r.View.Now().Frontier(), left)
	if err != nil {
		return mtrequest.FromError(err)
	}
	r.Hint(record.Relay, reply.Frontier)
	return reply
}
