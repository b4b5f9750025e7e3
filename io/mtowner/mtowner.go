// Package mtowner runs the requests whose keys this daemon owns: it checks the
// lease and the assignment, admits at the gate, remembers identifiers, and asks
// the backend server on this VM.
//
// A request is checked twice. Before the gate, so that work for another owner
// doesn't queue here; and after it, since the shard or the lease may have gone
// while it waited. What the second check can't see, a pause between it and the
// send, the backend server sees by the request's start-by time and epoch.
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

// lease tells which life of this daemon may serve, and until when. The two
// belong together: a new life starts without permission.
type lease interface {
	Permit() (mtid.Holder, mtclock.Instant)
}

// servers finds the backend server of a service on this VM.
type servers interface {
	Server(ref mtid.Ref, now mtclock.Instant) (*mtserver.Server, bool)
	// Lost forgets a server that refuses connections.
	Lost(ref mtid.Ref, server *mtserver.Server)
}

// Margin is kept free at the end of a lease: a request must reach the backend
// server before the lease ends, not just leave the daemon.
const Margin = 50 * time.Millisecond

// leaseLook is how often it is looked whether a request has outlasted its lease.
const leaseLook = 10 * time.Millisecond

// Config is what an Owner works with.
type Config struct {
	View    *mtview.View
	Lease   lease
	Servers servers
	Clock   clock
	Log     *slog.Logger
	// Poison knows the requests that crash backend servers.
	Poison *iopoison.Detector
	// Quiet is called, from whichever goroutine ended the last request, when a
	// stopped range has nothing in flight.
	Quiet func(service mtid.Ref, low, high mtid.Point)
}

// Owner runs requests.
type Owner struct {
	Config
	mu       sync.Mutex
	gates    map[mtid.Ref]*door
	recents  map[mtid.Ref]*recent
	meters   map[mtid.Ref]*mtload.Meter
	runs     map[*run]struct{} // requests of keyed services at the backend server
	stopping atomic.Bool
}

// run is a request at the backend server.
type run struct {
	holder mtid.Holder
	cancel context.CancelFunc
}

// New starts the duty that expires waiting requests and cancels running ones
// whose lease was lost, and returns the Owner with its clean-up function.
func New(config Config) (*Owner, func()) {
	o := &Owner{Config: config, gates: make(map[mtid.Ref]*door), recents: make(map[mtid.Ref]*recent), meters: make(map[mtid.Ref]*mtload.Meter), runs: make(map[*run]struct{})}
	return o, mtduty.Every(leaseLook, func(context.Context) { o.tick(o.Clock.Now()) })
}

// tick refuses what waited too long and cancels what runs without a lease.
func (o *Owner) tick(now mtclock.Instant) {
	holder, until := o.Lease.Permit()
	o.mu.Lock()
	defer o.mu.Unlock()
	for r := range o.runs {
		// A request may outlast one lease, never its holder's ownership: with
		// the lease gone another daemon may own the key, so the backend server
		// is told to stop by closing the connection.
		if r.holder != holder || !now.Before(until) {
			r.cancel()
		}
	}
}

// declared returns what the bundle in force says of a request.
func (o *Owner) declared(r *mtrequest.Request) (*mtbundle.Service, *mtbundle.Class, error) {
	return Declared(o.View.Snapshot(), r)
}

// Declared returns what the bundle in force says of a request's service and
// class. It fails with a *mtreply.RefusedError.
func Declared(s *mtview.Snapshot, r *mtrequest.Request) (*mtbundle.Service, *mtbundle.Class, error) {
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

// Serve runs a request, whoever relayed it, and returns what came of it.
func (o *Owner) Serve(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply {
	reply, err := o.serve(ctx, r)
	if err != nil {
		reply = mtrequest.FromError(err)
		reply.Owner = o.ownerOf(r)
	}
	reply.Frontier = o.View.Snapshot().Frontier()
	return reply
}

// ownerOf returns who owns a request's key as far as this daemon knows.
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
	service, class, err := o.declared(r)
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
		o.expose(r, class, f.holder)
	}
	switch o.Poison.Judge(r) {
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
	g.fit(server.Announced(), r.Service.Business, service)
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

// admitted runs a request that has its place at the backend server. end gives
// the place back.
func (o *Owner) admitted(ctx context.Context, r *mtrequest.Request, service *mtbundle.Service, class *mtbundle.Class, server *mtserver.Server, end func()) (*mtrequest.Reply, error) {
	if class.Idempotent || service.Kind != mtbundle.Keyed {
		defer end()
		return o.run(ctx, r, service, server)
	}
	return o.once(ctx, r, service, server, end)
}

// once runs a non-idempotent request unless its identifier was seen before.
//
// The memory is asked after the gate, not before: a request that is held there
// while its shard moves would be handed over as one that may have run, and its
// caller would be told so.
func (o *Owner) once(ctx context.Context, r *mtrequest.Request, service *mtbundle.Service, server *mtserver.Server, end func()) (*mtrequest.Reply, error) {
	memory := o.recent(r.Service)
	v, err := o.begin(memory, r, service)
	if err != nil || v.reply != nil {
		end()
		return v.reply, err
	}
	if !v.run {
		// The first try has a place of its own: this one must not keep another.
		end()
		return memory.wait(ctx, r, v)
	}
	// The place is given back last: a shard counts as quiet when nothing is in
	// flight, and its memory must be whole by then.
	defer end()
	reply, err := o.run(ctx, r, service, server)
	if err != nil {
		memory.end(o.Clock, r, mtrequest.FromError(err))
		return nil, err
	}
	memory.end(o.Clock, r, reply)
	return reply, nil
}

func (o *Owner) begin(memory *recent, r *mtrequest.Request, service *mtbundle.Service) (verdict, error) {
	f, err := o.fence(o.Clock.Now(), r, service)
	if err != nil {
		return verdict{}, err
	}
	tables := o.View.Snapshot().Tables(r.Service)
	memory.adopt(o.Clock, f.holder, tables[mtshard.ChunkOf(r.Point(), len(tables))])
	return memory.begin(o.Clock, r)
}

// fence is under which epoch and until when a request may be begun.
type fence struct {
	holder mtid.Holder
	low    mtid.Point // where the shard begins
	epoch  mtid.Epoch
	until  mtclock.Instant
}

// fence fails unless this daemon owns the request's key under a valid lease.
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
	until = until.Add(-Margin)
	if !now.Before(until) {
		return fence{}, &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: time.Second}
	}
	return fence{holder: holder, low: shard.Low, epoch: shard.Epoch, until: until}, nil
}

// run sends an admitted request to the backend server.
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
		defer o.track(&run{holder: f.holder, cancel: cancel})()
	}
	boot := o.Clock.Boot()
	ended := o.Poison.TrackRun(r, server.Announced().Address)
	reply, err := server.Do(ctx, mtserver.Call{
		Request:  r,
		Epoch:    f.epoch,
		StartBy:  boot + int64(f.until.Sub(now)),
		Deadline: boot + int64(r.Deadline.Sub(now)),
	})
	took := o.Clock.Now().Sub(now)
	ended(err)
	if service.Kind == mtbundle.Keyed {
		o.Meter(r.Service).Finish(took)
	}
	if err != nil {
		o.noteLoss(ctx, r.Service, server, err)
		return nil, err
	}
	reply.Owner = f.holder
	reply.Served = took
	return reply, nil
}

// noteLoss forgets the server if it could not be connected to, for another
// reason than that the request's own time was up.
func (o *Owner) noteLoss(ctx context.Context, ref mtid.Ref, server *mtserver.Server, err error) {
	var refused *mtreply.RefusedError
	if ctx.Err() == nil && errors.As(err, &refused) && refused.Cause == mtreply.CauseUnreachable {
		o.Servers.Lost(ref, server)
	}
}

// track lists a run until the returned function is called.
func (o *Owner) track(r *run) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[r] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.runs, r)
	}
}

func (o *Owner) gate(ref mtid.Ref) *door {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.gates[ref]
	if g == nil {
		g = newDoor(o.Clock, func(low, high mtid.Point) { o.Quiet(ref, low, high) })
		o.gates[ref] = g
	}
	return g
}

func (o *Owner) recent(ref mtid.Ref) *recent {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.recents[ref]
	if r == nil {
		r = newRecent()
		o.recents[ref] = r
	}
	return r
}

// Meter returns the load meter of a service, for its requests and for the
// reports to its planner.
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

// Stop holds new work for a range of a service; Config.Quiet is called once
// none is in flight.
func (o *Owner) Stop(ref mtid.Ref, low, high mtid.Point) {
	o.gate(ref).Stop(low, high)
}

// Resume admits the held work of a stopped range here.
func (o *Owner) Resume(ref mtid.Ref, low, high mtid.Point) {
	o.gate(ref).Resume(low, high)
}

// Release sends the held work of a stopped range to its new owner.
func (o *Owner) Release(ref mtid.Ref, low, high mtid.Point) {
	o.recent(ref).forget(low, high)
	o.gate(ref).Release(low, high)
}

// Drain refuses new work of every service and waits until none is in flight or
// ctx is done. It is called at the end of a graceful shutdown.
func (o *Owner) Drain(ctx context.Context) {
	o.stopping.Store(true)
	o.mu.Lock()
	gates := make([]*door, 0, len(o.gates))
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
