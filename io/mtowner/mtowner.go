// Package mtowner runs the requests whose keys this daemon owns: it checks the lease
// and the assignment, admits requests at the gate, deduplicates them by their
// identifiers and sends them to the backend server on this VM.
//
// A request is checked twice: before the gate, so that requests for another owner
// don't queue here, and after it, since the shard may have moved or the lease ended
// in the meantime. The second check can't detect a pause between itself and the
// send; the backend server detects it from the request's start-by time and epoch.
//
// # Usage
//
//	owner, cleanUp := mtowner.New(config)
//	reply := owner.Serve(ctx, request)
//
// An Owner is safe for concurrent use.
package mtowner

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtduty"
	iopoison "magnoliaturn/io/mtpoison"
	"magnoliaturn/io/mtserver"
)

type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
	Boot() int64
	Wall() time.Time
}

// lease returns the current incarnation of this daemon and the time until which it
// may serve. One call returns both because they belong together: a new incarnation
// starts without permission.
type lease interface {
	Permit() (mtid.Holder, mtclock.Instant)
}

// servers looks up the backend server of a service on this VM.
type servers interface {
	Server(ref mtid.Ref, now mtclock.Instant) (*mtserver.Server, bool)
	// Remove removes a server that refuses connections.
	Remove(ref mtid.Ref, server *mtserver.Server)
}

// LeaseMargin is the last part of a lease, in which no request is started: a request
// must reach the backend server before the lease ends, not just leave the daemon by
// then.
const LeaseMargin = 50 * time.Millisecond

// leaseCheckInterval is the interval at which running requests are checked against
// the lease.
const leaseCheckInterval = 10 * time.Millisecond

// Config holds the dependencies of an Owner.
type Config struct {
	View    *mtview.View
	Lease   lease
	Servers servers
	Clock   clock
	Log     *slog.Logger
	// Poison detects requests that crash backend servers.
	Poison *iopoison.Detector
	// OnRangeIdle is called when a stopped range has no more requests in flight,
	// from the goroutine that ended the last one.
	OnRangeIdle func(service mtid.Ref, low, high mtid.Point)
}

// Owner checks, admits and runs requests for the keys of this daemon.
type Owner struct {
	Config
	mu            sync.Mutex
	gates         map[mtid.Ref]*serviceGate
	deduplicators map[mtid.Ref]*deduplicator
	meters        map[mtid.Ref]*mtload.Meter
	runs          map[*activeRun]struct{} // requests to keyed services that the backend server is running
	stopping      atomic.Bool
}

// activeRun is a request that the backend server is running.
type activeRun struct {
	holder mtid.Holder
	cancel context.CancelFunc
}

// New returns an Owner and its clean-up function. It starts a goroutine that cancels
// running requests when their lease is lost.
func New(config Config) (*Owner, func()) {
	o := &Owner{Config: config, gates: make(map[mtid.Ref]*serviceGate), deduplicators: make(map[mtid.Ref]*deduplicator), meters: make(map[mtid.Ref]*mtload.Meter), runs: make(map[*activeRun]struct{})}
	return o, mtduty.Every(leaseCheckInterval, func(context.Context) { o.cancelUnleased(o.Clock.Now()) })
}

// cancelUnleased cancels the requests that are running without a valid lease.
func (o *Owner) cancelUnleased(now mtclock.Instant) {
	holder, until := o.Lease.Permit()
	o.mu.Lock()
	defer o.mu.Unlock()
	for r := range o.runs {
		// A request may run past the end of one lease if the lease is renewed, but
		// never past its holder's ownership: without a lease another daemon may own
		// the key. Canceling closes the connection, which signals the backend server
		// to stop.
		if r.holder != holder || !now.Before(until) {
			r.cancel()
		}
	}
}

// lookupClass calls LookupClass with the current view.
func (o *Owner) lookupClass(r *mtrequest.Request) (*mtbundle.Service, *mtbundle.Class, error) {
	return LookupClass(o.View.Snapshot(), r)
}

// LookupClass returns the declarations of a request's service and class in the
// bundle in force. It fails with a *mtreply.RefusedError.
func LookupClass(s *mtview.Snapshot, r *mtrequest.Request) (*mtbundle.Service, *mtbundle.Class, error) {
	bundle, ok := s.Bundle(r.Service.Business)
	if !ok {
		return nil, nil, noService("no bundle of this business is in force")
	}
	service, ok := bundle.Service(r.Service.Service)
	if !ok {
		return nil, nil, noService("the business has no such service")
	}
	class, ok := service.Class(r.Class)
	if !ok {
		return nil, nil, noService("the service has no such class")
	}
	return service, class, nil
}

func noService(detail string) error {
	return &mtreply.RefusedError{Cause: mtreply.CauseNoService, RetryAfter: -1, Detail: detail}
}

// Serve runs a request, relayed or not, and returns its reply.
func (o *Owner) Serve(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply {
	reply, err := o.serve(ctx, r)
	if err != nil {
		reply = mtrequest.FromError(err)
		reply.Owner = o.ownerOf(r)
	}
	reply.Frontier = o.View.Snapshot().Frontier()
	return reply
}

// ownerOf returns the owner of a request's key in this daemon's view.
func (o *Owner) ownerOf(r *mtrequest.Request) mtid.Holder {
	shard, ok := o.View.Snapshot().Lookup(r.Service, r.Point())
	if !ok {
		return mtid.Holder{}
	}
	return shard.Owner
}

func (o *Owner) serve(ctx context.Context, r *mtrequest.Request) (*mtrequest.Reply, error) {
	if o.stopping.Load() {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseStopping}
	}
	service, class, err := o.lookupClass(r)
	if err != nil {
		return nil, err
	}
	now := o.Clock.Now()
	f, err := o.fence(now, r, service)
	if err != nil {
		return nil, err
	}
	if service.Kind == mtbundle.Keyed {
		o.Meter(r.Service).Arrive(now, f.low, r.Point())
	}
	if service.Kind == mtbundle.Keyed {
		o.markRecentTakeover(r, class, f.holder)
	}
	switch o.Poison.Classify(r) {
	case mtpoison.Quarantined:
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseQuarantined, RetryAfter: -1}
	case mtpoison.Suspect:
		r.Suspect = true
	default:
		r.Suspect = false
	}
	server, ok := o.Servers.Server(r.Service, now)
	if !ok {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: time.Second}
	}
	g := o.gate(r.Service)
	g.configure(server.Announcement(), r.Service.Business, service)
	end, err := g.Admit(ctx, mtgate.Ticket{
		Business: r.Service.Business, Class: class.Name, Point: r.Point(), Deadline: r.Deadline, Alone: r.Suspect,
	})
	if err != nil {
		return nil, err
	}
	reply, err := o.admitted(ctx, r, service, class, server, end)
	if err != nil {
		return nil, err
	}
	reply.Queued = o.Clock.Now().Sub(now) - reply.Served
	return reply, nil
}

// admitted runs a request that holds a slot at the backend server. end releases the
// slot.
func (o *Owner) admitted(ctx context.Context, r *mtrequest.Request, service *mtbundle.Service, class *mtbundle.Class, server *mtserver.Server, end func()) (*mtrequest.Reply, error) {
	if class.Idempotent || service.Kind != mtbundle.Keyed {
		defer end()
		return o.run(ctx, r, service, server)
	}
	return o.runOnce(ctx, r, service, server, end)
}

// runOnce runs a non-idempotent request unless its identifier was seen before.
//
// The deduplicator is consulted after the gate, not before: otherwise a request held
// at the gate while its shard moves would be handed over as one that may have run,
// and its caller would get an unknown outcome.
func (o *Owner) runOnce(ctx context.Context, r *mtrequest.Request, service *mtbundle.Service, server *mtserver.Server, end func()) (*mtrequest.Reply, error) {
	dedup := o.deduplicator(r.Service)
	v, err := o.begin(dedup, r, service)
	if err != nil || v.reply != nil {
		end()
		return v.reply, err
	}
	if !v.run {
		// The first try holds its own slot, so this one must not occupy another.
		end()
		return dedup.wait(ctx, r, v)
	}
	// The slot is released last: a shard counts as idle when nothing is in flight,
	// and by then its deduplication entries must be complete.
	defer end()
	reply, err := o.run(ctx, r, service, server)
	if err != nil {
		dedup.end(o.Clock, r, mtrequest.FromError(err))
		return nil, err
	}
	dedup.end(o.Clock, r, reply)
	return reply, nil
}

func (o *Owner) begin(dedup *deduplicator, r *mtrequest.Request, service *mtbundle.Service) (verdict, error) {
	f, err := o.fence(o.Clock.Now(), r, service)
	if err != nil {
		return verdict{}, err
	}
	tables := o.View.Snapshot().Tables(r.Service)
	dedup.syncOwned(o.Clock, f.holder, tables[mtshard.ChunkOf(r.Point(), len(tables))])
	return dedup.begin(o.Clock, r)
}

// fence is the permission to start a request: the epoch to send with it and the time
// until which it may start.
type fence struct {
	holder mtid.Holder
	low    mtid.Point // start of the shard
	epoch  mtid.Epoch
	until  mtclock.Instant
}

// fence returns the fence for a request. It fails unless this daemon owns the
// request's key under a valid lease, except for spread services, which need neither.
func (o *Owner) fence(now mtclock.Instant, r *mtrequest.Request, service *mtbundle.Service) (fence, error) {
	holder, until := o.Lease.Permit()
	if service.Kind != mtbundle.Keyed {
		return fence{holder: holder, until: r.Deadline}, nil
	}
	shard, ok := o.View.Snapshot().Lookup(r.Service, r.Point())
	if !ok {
		return fence{}, &mtreply.RefusedError{Cause: mtreply.CauseNoOwner, RetryAfter: time.Second}
	}
	if shard.Owner != holder {
		return fence{}, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
	}
	until = until.Add(-LeaseMargin)
	if !now.Before(until) {
		return fence{}, &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: time.Second}
	}
	return fence{holder: holder, low: shard.Low, epoch: shard.Epoch, until: until}, nil
}

// run checks an admitted request once more and sends it to the backend server.
func (o *Owner) run(ctx context.Context, r *mtrequest.Request, service *mtbundle.Service, server *mtserver.Server) (*mtrequest.Reply, error) {
	now := o.Clock.Now()
	f, err := o.fence(now, r, service)
	if err != nil {
		return nil, err
	}
	if !now.Before(r.Deadline) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseExpired, RetryAfter: -1}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(now))
	defer cancel()
	if service.Kind == mtbundle.Keyed {
		defer o.track(&activeRun{holder: f.holder, cancel: cancel})()
	}
	boot := o.Clock.Boot()
	observed, err := o.Poison.Observe(ctx, r)
	if err != nil {
		return nil, err
	}
	ended := o.Poison.TrackRun(r, server.Announcement().Address)
	reply, err := server.Do(ctx, mtserver.Call{
		Request:  r,
		Epoch:    f.epoch,
		StartBy:  boot + int64(f.until.Sub(now)),
		Deadline: boot + int64(r.Deadline.Sub(now)),
	})
	took := o.Clock.Now().Sub(now)
	result := iopoison.RunError(reply, err)
	observed(result)
	ended(result)
	if service.Kind == mtbundle.Keyed {
		o.Meter(r.Service).Finish(took)
	}
	if err != nil {
		o.removeIfUnreachable(ctx, r.Service, server, err)
		return nil, err
	}
	reply.Owner = f.holder
	reply.Served = took
	return reply, nil
}

// removeIfUnreachable removes the server if connecting to it failed for any reason
// other than the end of the request's own context.
func (o *Owner) removeIfUnreachable(ctx context.Context, ref mtid.Ref, server *mtserver.Server, err error) {
	var refused *mtreply.RefusedError
	if ctx.Err() == nil && errors.As(err, &refused) && refused.Cause == mtreply.CauseUnreachable {
		o.Servers.Remove(ref, server)
	}
}

// track registers a run until the returned function is called.
func (o *Owner) track(r *activeRun) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[r] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.runs, r)
	}
}

func (o *Owner) gate(ref mtid.Ref) *serviceGate {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.gates[ref]
	if g == nil {
		g = newServiceGate(o.Clock, func(low, high mtid.Point) { o.OnRangeIdle(ref, low, high) })
		o.gates[ref] = g
	}
	return g
}

func (o *Owner) deduplicator(ref mtid.Ref) *deduplicator {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.deduplicators[ref]
	if d == nil {
		d = newDeduplicator()
		o.deduplicators[ref] = d
	}
	return d
}

// Meter returns the load meter of a service, which counts its requests for the
// reports to the planner.
func (o *Owner) Meter(ref mtid.Ref) *mtload.Meter {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.meters[ref]
	if m == nil {
		m = mtload.NewMeter()
		o.meters[ref] = m
	}
	return m
}

// Stop holds new requests for a range of a service. Config.OnRangeIdle is called
// once none is in flight.
func (o *Owner) Stop(ref mtid.Ref, low, high mtid.Point) {
	o.gate(ref).Stop(low, high)
}

// Resume admits the held requests of a stopped range on this daemon.
func (o *Owner) Resume(ref mtid.Ref, low, high mtid.Point) {
	o.gate(ref).Resume(low, high)
}

// Release redirects the held requests of a stopped range to its new owner.
func (o *Owner) Release(ref mtid.Ref, low, high mtid.Point) {
	o.deduplicator(ref).revoke(low, high)
	o.gate(ref).Release(low, high)
}

// Drain refuses new requests of every service and waits until none is in flight or
// ctx is done. It is called at the end of a graceful shutdown.
func (o *Owner) Drain(ctx context.Context) {
	o.stopping.Store(true)
	o.mu.Lock()
	gates := make([]*serviceGate, 0, len(o.gates))
	for _, g := range o.gates {
		gates = append(gates, g)
	}
	o.mu.Unlock()
	for _, g := range gates {
		g.Drain()
	}
	for _, g := range gates {
		select {
		case <-g.Idle():
		case <-ctx.Done():
			return
		}
	}
}

// Counts returns the counters of a service's gate.
func (o *Owner) Counts(ref mtid.Ref) mtgate.Counts { return o.gate(ref).Counts() }
