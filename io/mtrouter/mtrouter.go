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

// peers relay requests to other daemons.
type peers interface {
	Relay(ctx context.Context, address string, r *mtrequest.Request, frontier mtid.Revision, left time.Duration) (*mtrequest.Reply, error)
}

type clock interface{ Now() mtclock.Instant }

// Config is what a Router works with.
type Config struct {
	Self  func() mtid.Holder
	Zone  mtid.Zone // of this daemon
	View  *mtview.View
	Owner owner
	Peers peers
	Clock clock
	Retry mtretry.Policy // used under the router's lock
	// Poison knows the requests that crash backend servers.
	Poison *iopoison.Detector
	// Hint is told of peers that know more of the live state.
	Hint func(address string, frontier mtid.Revision)
	// Count adds one to a counter of the router.
	Count func(name string)
	// Done is told what came of each request of a declared class.
	Done func(q *mtrequest.Request, reply *mtrequest.Reply, took time.Duration)
}

// Router finds owners.
type Router struct {
	Config
	mu       sync.Mutex // guards Retry and declared
	declared map[mtretry.Flow]*mtbundle.Class
	spreader *spreader
}

// declarer is a retry policy with a budget that the bundle sets.
type declarer interface {
	Declare(flow mtretry.Flow, retries float64)
}

// New returns a router.
func New(config Config) *Router {
	return &Router{
		Config:   config,
		declared: make(map[mtretry.Flow]*mtbundle.Class),
		spreader: newSpreader(config.Zone),
	}
}

// Route runs a request and returns what came of it.
func (r *Router) Route(ctx context.Context, q *mtrequest.Request) *mtrequest.Reply {
	service, class, err := mtowner.Declared(r.View.Snapshot(), q)
	if err != nil {
		return mtrequest.FromError(err)
	}
	now := r.Clock.Now()
	limit := now.Add(class.Timeout)
	if q.Deadline == 0 || q.Deadline.After(limit) {
		q.Deadline = limit
	}
	q.Ingress = r.Self()
	ask := r.sendKeyed
	if service.Kind == mtbundle.Spread {
		if !class.Idempotent && !q.Minted {
			return mtrequest.FromError(undeduplicated)
		}
		ask = r.sendSpread
	}
	reply := r.tries(ctx, q, class, service.Kind, ask)
	r.Done(q, reply, r.Clock.Now().Sub(now))
	return reply
}

// quarantined refuses a request that crashes backend servers.
var quarantined = &mtreply.RefusedError{
	Cause: mtreply.CauseQuarantined, RetryAfter: -1, Detail: "this request has crashed backend servers",
}

// undeduplicated refuses a resend that nobody could recognise: with no owner of
// the key, two servers may each see the identifier for the first time, and the
// request would run twice.
var undeduplicated = &mtreply.RefusedError{
	Cause: mtreply.CauseMalformed, RetryAfter: -1,
	Detail: mtheader.Key + ": accepted only without, for a non-idempotent class of a spread service",
}

// staleWait is the pause before asking again a daemon that has yet to learn that
// it is the owner: about the time of one pull.
const staleWait = 20 * time.Millisecond

// asker makes one try and returns whom it asked. corrected is the owner that the
// last reply named, or zero.
type asker func(ctx context.Context, q *mtrequest.Request, corrected mtid.Holder) (*mtrequest.Reply, mtid.Holder)

// tries sends a request until it is answered or the policy ends it.
//
// A retry that is refused proves nothing about the tries before it. Told the
// refusal, a caller would take a request for not run that ran at an owner which
// was lost meanwhile. So the first unknown outcome is kept, and stands unless a
// later try is answered.
func (r *Router) tries(ctx context.Context, q *mtrequest.Request, class *mtbundle.Class, kind mtbundle.Kind, ask asker) *mtrequest.Reply {
	flow := mtretry.Flow{Business: q.Service.Business, Class: class.Name}
	r.first(flow, class)
	attempt := mtretry.Attempt{
		Flow: flow, Idempotent: class.Idempotent, Elsewhere: kind == mtbundle.Spread, Deadline: q.Deadline,
	}
	var corrected mtid.Holder
	var doubt *mtrequest.Reply
	for {
		reply, target := ask(ctx, q, corrected)
		if reply.Outcome == mtreply.Answered {
			return reply
		}
		if reply.Outcome == mtreply.Unknown && doubt == nil {
			doubt = reply
		}
		attempt.Tries++
		attempt.Err = errorOf(reply)
		wait, ok := r.next(attempt)
		if ok && reply.Cause == mtreply.CauseStaleRoute && r.correction(reply, target).IsZero() {
			wait = max(wait, staleWait)
		}
		if !ok || !r.pause(ctx, wait) {
			return cmp.Or(doubt, reply)
		}
		r.Count("retries")
		corrected = mtid.Holder{}
		if reply.Cause == mtreply.CauseStaleRoute {
			attempt.Redirects++
			corrected = r.correction(reply, target)
		}
	}
}

// correction returns the owner that the asked daemon names, or zero if that
// daemon knows less than this one. The relayed request told it so, and it pulls
// what it lacks.
func (r *Router) correction(reply *mtrequest.Reply, asked mtid.Holder) mtid.Holder {
	if reply.Owner == asked || reply.Frontier < r.View.Snapshot().Frontier() {
		return mtid.Holder{}
	}
	return reply.Owner
}

// errorOf returns the error that a reply stands for.
func errorOf(reply *mtrequest.Reply) error {
	if reply.Outcome == mtreply.NotRun {
		return &mtreply.RefusedError{Cause: reply.Cause, RetryAfter: reply.RetryAfter, Detail: reply.Detail}
	}
	return &mtreply.UnknownError{Cause: reply.Cause}
}

// first notes a request's first try, and the budget of its class when that is
// new or changed.
func (r *Router) first(flow mtretry.Flow, class *mtbundle.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.declared[flow] != class {
		r.declared[flow] = class
		if d, ok := r.Retry.(declarer); ok {
			d.Declare(flow, class.Retries)
		}
	}
	r.Retry.First(flow)
}

func (r *Router) next(attempt mtretry.Attempt) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Retry.Next(r.Clock.Now(), attempt)
}

// pause waits, or returns false if the caller goes away first.
func (r *Router) pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return mtduty.Sleep(ctx, wait)
}

// keyed picks the owner of the request's key.
func (r *Router) keyed(q *mtrequest.Request, corrected mtid.Holder) mtid.Holder {
	if !corrected.IsZero() {
		return corrected
	}
	shard, _ := r.View.Snapshot().Lookup(q.Service, q.Point())
	return shard.Owner
}

// sendKeyed asks the owner of the request's key.
func (r *Router) sendKeyed(ctx context.Context, q *mtrequest.Request, corrected mtid.Holder) (*mtrequest.Reply, mtid.Holder) {
	target := r.keyed(q, corrected)
	return r.send(ctx, q, target), target
}

// send asks one holder.
func (r *Router) send(ctx context.Context, q *mtrequest.Request, target mtid.Holder) *mtrequest.Reply {
	if target.IsZero() {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseNoOwner, RetryAfter: time.Second}
	}
	q.Suspect, q.OnBegun = false, nil
	switch r.Poison.Judge(q) {
	case mtpoison.Quarantined:
		return mtrequest.FromError(quarantined)
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
	relayed.End(err, err == nil && reply.Outcome == mtreply.Answered)
	if err != nil {
		return mtrequest.FromError(err)
	}
	r.Hint(record.RelayAddress, reply.Frontier)
	return reply
}
