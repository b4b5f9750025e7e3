// Package mtrouter routes a caller's request to the owner of its key: by a function
// call if that is this daemon, otherwise over at most one hop.
//
// It is the only layer that retries, and only if the request is known not to have
// run or if its class is idempotent.
//
// # Usage
//
//	router := mtrouter.New(config)
//	reply := router.Route(ctx, request)
//
// A Router is safe for concurrent use.
package mtrouter

import (
	"cmp"
	"context"
	"sync"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtowner"
	iopoison "magnoliaturn/io/mtpoison"
)

// owner runs requests on this VM.
type owner interface {
	Serve(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply
}

// peers relays requests to other daemons.
type peers interface {
	Relay(ctx context.Context, address string, r *mtrequest.Request, frontier mtid.Revision, left time.Duration) (*mtrequest.Reply, error)
}

type clock interface{ Now() mtclock.Instant }

// Config holds the dependencies of a Router.
type Config struct {
	Self  func() mtid.Holder
	Zone  mtid.Zone // this daemon's zone
	View  *mtview.View
	Owner owner
	Peers peers
	Clock clock
	Retry mtretry.Policy // guarded by the router's mutex
	// Poison detects requests that crash backend servers.
	Poison *iopoison.Detector
	// OnPeerFrontier is called with the frontier of each relayed reply, so that this
	// daemon can pull from a peer whose view is newer.
	OnPeerFrontier func(address string, frontier mtid.Revision)
	// Count adds one to a counter of the router.
	Count func(name string)
	// OnDone is called with the final reply to each request of a declared class.
	OnDone func(q *mtrequest.Request, reply *mtrequest.Reply, took time.Duration)
}

// Router finds the owner of a request's key, sends the request there and retries it.
type Router struct {
	Config
	mu       sync.Mutex // guards Retry and declared
	declared map[mtretry.Flow]*mtbundle.Class
	picker   *serverPicker
}

// budgetDeclarer is a retry policy whose budget is set by the bundle.
type budgetDeclarer interface {
	Declare(flow mtretry.Flow, retries float64)
}

// New returns a Router for the given configuration.
func New(config Config) *Router {
	return &Router{
		Config:   config,
		declared: make(map[mtretry.Flow]*mtbundle.Class),
		picker:   newServerPicker(config.Zone),
	}
}

// Route runs a request and returns its final reply.
func (r *Router) Route(ctx context.Context, q *mtrequest.Request) *mtrequest.Reply {
	service, class, err := mtowner.LookupClass(r.View.Snapshot(), q)
	if err != nil {
		return mtrequest.FromError(err)
	}
	now := r.Clock.Now()
	limit := now.Add(class.Timeout)
	if q.Deadline == 0 || q.Deadline.After(limit) {
		q.Deadline = limit
	}
	q.Ingress = r.Self()
	try := r.sendKeyed
	if service.Kind == mtbundle.Spread {
		if !class.Idempotent && !q.Minted {
			return mtrequest.FromError(errResendToSpread)
		}
		try = r.sendSpread
	}
	reply := r.routeWithRetries(ctx, q, class, service.Kind, try)
	r.OnDone(q, reply, r.Clock.Now().Sub(now))
	return reply
}

// errQuarantined refuses a request that has crashed backend servers.
var errQuarantined = &mtreply.RefusedError{
	Cause: mtreply.CauseQuarantined, RetryAfter: -1, Detail: "this request has crashed backend servers",
}

// errResendToSpread refuses a resend that no server could recognize: without an
// owner of the key, two servers may each see the identifier for the first time, and
// the request would run twice.
var errResendToSpread = &mtreply.RefusedError{
	Cause: mtreply.CauseMalformed, RetryAfter: -1,
	Detail: mtheader.Key + ": accepted only without, for a non-idempotent class of a spread service",
}

// staleRouteDelay is the pause before retrying at a daemon that has not yet received
// the update that made it the owner. It is about the duration of one pull.
const staleRouteDelay = 20 * time.Millisecond

// tryFunc makes one try and returns the reply and the holder that it was sent to.
// redirect is the owner that the last reply named, or zero.
type tryFunc func(ctx context.Context, q *mtrequest.Request, redirect mtid.Holder) (*mtrequest.Reply, mtid.Holder)

// routeWithRetries sends a request until it is answered or the retry policy gives
// up.
//
// A refused retry proves nothing about earlier tries: the request may have run at an
// owner that was lost in the meantime, and with the refusal the caller would assume
// that it never ran. So the first unknown outcome is retained and returned unless a
// later try is answered.
func (r *Router) routeWithRetries(ctx context.Context, q *mtrequest.Request, class *mtbundle.Class, kind mtbundle.Kind, try tryFunc) *mtrequest.Reply {
	flow := mtretry.Flow{Business: q.Service.Business, Class: class.Name}
	r.noteFirstTry(flow, class)
	attempt := mtretry.Attempt{
		Flow: flow, Idempotent: class.Idempotent, Elsewhere: kind == mtbundle.Spread, Deadline: q.Deadline,
	}
	var redirect mtid.Holder
	var unknown *mtrequest.Reply
	for {
		reply, target := try(ctx, q, redirect)
		if reply.Outcome == mtreply.Answered {
			return reply
		}
		if reply.Outcome == mtreply.Unknown && unknown == nil {
			unknown = reply
		}
		attempt.Tries++
		attempt.Err = errorOf(reply)
		wait, ok := r.nextTry(attempt)
		if ok && reply.Cause == mtreply.CauseStaleRoute && r.namedOwner(reply, target).IsZero() {
			wait = max(wait, staleRouteDelay)
		}
		if !ok || !r.sleep(ctx, wait) {
			return cmp.Or(unknown, reply)
		}
		r.Count("retries")
		redirect = mtid.Holder{}
		if reply.Cause == mtreply.CauseStaleRoute {
			attempt.Redirects++
			redirect = r.namedOwner(reply, target)
		}
	}
}

// namedOwner returns the owner that a stale-route reply names, or zero if the
// replying daemon's view is older than this one's. In that case the relayed request
// has already carried the newer frontier to it, and it pulls what it lacks.
func (r *Router) namedOwner(reply *mtrequest.Reply, target mtid.Holder) mtid.Holder {
	if reply.Owner == target || reply.Frontier < r.View.Snapshot().Frontier() {
		return mtid.Holder{}
	}
	return reply.Owner
}

// errorOf converts a reply that is not an answer to the equivalent error.
func errorOf(reply *mtrequest.Reply) error {
	if reply.Outcome == mtreply.NotRun {
		return &mtreply.RefusedError{Cause: reply.Cause, RetryAfter: reply.RetryAfter, Detail: reply.Detail}
	}
	return &mtreply.UnknownError{Cause: reply.Cause}
}

// noteFirstTry records the first try of a request in the retry policy, and declares
// the budget of its class if that is new or has changed.
func (r *Router) noteFirstTry(flow mtretry.Flow, class *mtbundle.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.declared[flow] != class {
		r.declared[flow] = class
		if d, ok := r.Retry.(budgetDeclarer); ok {
			d.Declare(flow, class.Retries)
		}
	}
	r.Retry.RecordRequest(flow)
}

func (r *Router) nextTry(attempt mtretry.Attempt) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Retry.Next(r.Clock.Now(), attempt)
}

// sleep waits. It returns false if ctx, the caller's context, ends first.
func (r *Router) sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return mtduty.Sleep(ctx, wait)
}

// ownerOf returns redirect if it is set, otherwise the owner of the request's key in
// the current view.
func (r *Router) ownerOf(q *mtrequest.Request, redirect mtid.Holder) mtid.Holder {
	if !redirect.IsZero() {
		return redirect
	}
	shard, _ := r.View.Snapshot().Lookup(q.Service, q.Point())
	return shard.Owner
}

// sendKeyed sends a request to the owner of its key.
func (r *Router) sendKeyed(ctx context.Context, q *mtrequest.Request, redirect mtid.Holder) (*mtrequest.Reply, mtid.Holder) {
	target := r.ownerOf(q, redirect)
	return r.send(ctx, q, target), target
}

// send makes one try at target, by a function call if that is this daemon.
func (r *Router) send(ctx context.Context, q *mtrequest.Request, target mtid.Holder) *mtrequest.Reply {
	if target.IsZero() {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseNoOwner, RetryAfter: time.Second}
	}
	q.Suspect, q.OnBegun = false, nil
	switch r.Poison.Classify(q) {
	case mtpoison.Quarantined:
		return mtrequest.FromError(errQuarantined)
	case mtpoison.Suspect:
		q.Suspect = true
	}
	if target == r.Self() {
		return r.Owner.Serve(ctx, q)
	}
	record, _, ok := r.View.Snapshot().Record(target.Daemon)
	if !ok || record.Holder != target {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseNoOwner, RetryAfter: time.Second}
	}
	left := q.Deadline.Sub(r.Clock.Now())
	if left <= 0 {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseExpired, RetryAfter: -1}
	}
	relayed := r.Poison.TrackRelay(q, target)
	q.OnBegun = relayed.StartedAlone
	reply, err := r.Peers.Relay(ctx, record.RelayAddress, q, r.View.Snapshot().Frontier(), left)
	relayed.End(err, err == nil && iopoison.Finished(reply))
	if err != nil {
		return mtrequest.FromError(err)
	}
	r.OnPeerFrontier(record.RelayAddress, reply.Frontier)
	return reply
}
