// Package mtplanner runs the placement of keyed services: it creates the initial
// assignment of a new service, writes splits and merges of shards, and requests moves
// of shards from their owners.
//
// Every daemon runs one Planner. For each service it acts only while its daemon is
// the leader, which is chosen by rendezvous hashing among the live daemons of the
// service. Two daemons that both consider themselves the leader do no harm, since
// each write is a compare-and-swap on the version that the plan was based on.
//
// On every daemon, a reporter sends the load of the daemon's shards to the leader.
//
// # Usage
//
//	planner, cleanUp, err := mtplanner.New(config, view, store, mover)
//	defer cleanUp()
//	mtwire.RegisterPlannerServer(grpcServer, planner)
//	cleanUp, err = mtplanner.NewReporter(config, view, meters, sender, planner)
//	defer cleanUp()
//
// The clean-up functions stop the background goroutines and wait for them. All
// methods are safe for concurrent use.
package mtplanner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtring"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwire"
)

// View is this daemon's copy of the roster, the bundles and the assignments. Its
// methods must be safe for concurrent use and return immutable values.
type View interface {
	// Roster returns the records of all daemons.
	Roster() []*mtroster.Record
	// Bundles returns the bundles in force.
	Bundles() []*mtbundle.Bundle
	// Table returns a chunk of a service's assignment, or false if there is none.
	Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool)
}

// Mover requests moves of shards from their owners, which execute them.
type Mover interface {
	// Move requests that owner move the shard that begins at low to another
	// holder. It returns when the owner has accepted or refused the request. The
	// table shows when the move is done.
	Move(ctx context.Context, owner mtid.Holder, service mtid.Ref, low mtid.Point, to mtid.Holder) error
}

// Config holds the dependencies of a Planner and of the reporter.
type Config struct {
	// Self returns the current incarnation of this daemon, or the zero holder while
	// it is not registered.
	Self func() mtid.Holder
	// NewWriteID returns a write ID that no other write of this daemon has.
	NewWriteID func() mtroster.WriteID
	// Now returns the current time.
	Now func() mtclock.Instant
	Log *slog.Logger
	// ObserveRound, if not nil, is called after each planning round with the input of
	// the policy, for metrics. It is called by the planner's goroutine and must not
	// retain the state.
	ObserveRound func(service mtid.Ref, state *mtplan.State)
	// TickInterval is the interval at which the view is checked. Zero means
	// DefaultTickInterval for the planner and one second for the reporter.
	TickInterval time.Duration
}

// DefaultTickInterval is the default interval at which the planner checks the view.
const DefaultTickInterval = 500 * time.Millisecond

// writeTimeout is the timeout of a write to the store, including the read that follows
// a lost reply.
const writeTimeout = 2 * time.Second

// ConfigError reports that a required field of a Config is not set.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "planner: field " + e.Field + " of Config is not set" }

// Intervals, queue sizes and timeouts of the planner.
const (
	// RoundInterval is the interval between two planning rounds for a service.
	// FollowUpInterval is the shorter interval after a round that wrote splits or
	// merges, since splits are usually followed by moves.
	RoundInterval    = 5 * time.Second
	FollowUpInterval = time.Second
	// maxReports is the size of the queue of load reports.
	maxReports = 256
	// maxMoveRequests is the size of the queue of move requests, and moveWorkers
	// the number of requests that are sent concurrently.
	maxMoveRequests = 512
	moveWorkers     = 8
	// moveTimeout is the timeout of a move request to an owner.
	moveTimeout = 2 * time.Second
)

// Planner plans for the services that this daemon leads. It implements
// mtwire.PlannerServer to receive load reports.
type Planner struct {
	mtwire.UnimplementedPlannerServer

	config       Config
	view         View
	writer       *writer
	mover        Mover
	reports      *mtring.Ring[queuedReport]
	moveRequests *mtring.Ring[moveRequest]
	failedMoves  *mtring.Ring[moveRequest]

	services map[mtid.Ref]*serviceState // accessed by the planner's goroutine only
}

// queuedReport is a queued load report with the channel for its reply.
type queuedReport struct {
	report *mtload.Report
	reply  chan *mtwire.LoadReply // has a buffer of one, so that the planner never blocks
}

// moveRequest is a planned move that is to be requested from the owner of the shard.
type moveRequest struct {
	service mtid.Ref
	move    mtplan.Move
}

// New starts a planner and returns it with a function that stops it. It fails with a
// *ConfigError.
func New(config Config, view View, store mtstore.Store, mover Mover) (*Planner, func(), error) {
	if err := checkConfig(config); err != nil {
		return nil, nil, err
	}
	if config.TickInterval == 0 {
		config.TickInterval = DefaultTickInterval
	}
	p := &Planner{
		config:       config,
		view:         view,
		writer:       &writer{store: store, newWriteID: config.NewWriteID, log: config.Log},
		mover:        mover,
		reports:      mtring.New[queuedReport](maxReports),
		moveRequests: mtring.New[moveRequest](maxMoveRequests),
		failedMoves:  mtring.New[moveRequest](maxMoveRequests),
		services:     make(map[mtid.Ref]*serviceState),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		ticker := time.NewTicker(config.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.tick(ctx)
			case d := <-p.reports.Items():
				d.reply <- p.addReport(d.report)
			case request := <-p.failedMoves.Items():
				p.moveFailed(request)
			}
		}
	})
	for range moveWorkers {
		goroutines.Go(func() {
			for {
				request, ok := p.moveRequests.Take(ctx.Done())
				if !ok {
					return
				}
				p.requestMove(ctx, request)
			}
		})
	}
	return p, func() { cancel(); goroutines.Wait() }, nil
}

// checkConfig returns a *ConfigError if a required field is not set.
func checkConfig(config Config) error {
	switch {
	case config.Self == nil:
		return &ConfigError{Field: "Self"}
	case config.NewWriteID == nil:
		return &ConfigError{Field: "NewWriteID"}
	case config.Now == nil:
		return &ConfigError{Field: "Now"}
	case config.Log == nil:
		return &ConfigError{Field: "Log"}
	}
	return nil
}

// tick checks every keyed service.
func (p *Planner) tick(ctx context.Context) {
	self := p.config.Self()
	if self.IsZero() {
		return
	}
	roster := p.view.Roster()
	for _, bundle := range p.view.Bundles() {
		for i := range bundle.Services {
			service := &bundle.Services[i]
			if service.Kind != mtbundle.Keyed {
				continue
			}
			ref := mtid.Ref{Business: bundle.Business, Service: service.Name}
			p.planService(ctx, self, ref, service, liveMembers(roster, ref))
		}
	}
}

// planService creates missing chunks of a service and runs a planning round if one is
// due. If this daemon does not lead the service, it discards the state of the
// service.
func (p *Planner) planService(ctx context.Context, self mtid.Holder, ref mtid.Ref, service *mtbundle.Service, servers []*mtroster.Record) {
	if mtplan.Leader(ref, leaderCandidates(servers)) != self {
		delete(p.services, ref)
		return
	}
	state, ok := p.services[ref]
	if !ok {
		state = newServiceState()
		p.services[ref] = state
	}
	p.createChunks(ctx, state, ref, service, serving(servers))
	if now := p.config.Now(); !now.Before(state.nextRound) {
		p.round(ctx, now, state, ref, service, servers)
	}
}

// createChunks writes the chunks that don't exist yet. It writes the first chunk
// alone, and the others only when the view has the first, which determines the number
// of chunks. Otherwise two planners with different bundles might write chunks of
// different partitions of the ring.
func (p *Planner) createChunks(ctx context.Context, state *serviceState, ref mtid.Ref, service *mtbundle.Service, serving []*mtroster.Record) {
	first, ok := p.view.Table(ref, 0)
	if !ok {
		if state.creation.Ready(p.config.Now(), holders(serving)) {
			ops := mtplan.InitialLayout(service.Shards, max(1, service.Chunks), layoutMembers(serving, ref))
			p.writer.write(ctx, mtshard.New(ref, 0, len(ops)), ops[0]...)
		}
		return
	}
	missing := p.missingChunks(ref, first.Chunks)
	if len(missing) == 0 || len(serving) == 0 {
		return
	}
	ops := mtplan.InitialLayout(service.Shards, first.Chunks, layoutMembers(serving, ref))
	for _, chunk := range missing {
		p.writer.write(ctx, mtshard.New(ref, chunk, len(ops)), ops[chunk]...)
	}
}

// missingChunks returns the numbers of the chunks that are not in the view.
func (p *Planner) missingChunks(ref mtid.Ref, chunks int) []int {
	var found []int
	for chunk := range chunks {
		if _, ok := p.view.Table(ref, chunk); !ok {
			found = append(found, chunk)
		}
	}
	return found
}

// liveMembers returns the records of the live daemons that offer a service.
func liveMembers(roster []*mtroster.Record, ref mtid.Ref) []*mtroster.Record {
	var found []*mtroster.Record
	for _, record := range roster {
		if !record.MayHoldLease() {
			continue
		}
		if _, ok := record.Offer(ref); ok {
			found = append(found, record)
		}
	}
	return found
}

// serving returns the records whose state is Serving, without those that are leaving.
func serving(records []*mtroster.Record) []*mtroster.Record {
	return slices.DeleteFunc(slices.Clone(records), func(r *mtroster.Record) bool { return r.State != mtroster.Serving })
}

func holders(records []*mtroster.Record) []mtid.Holder {
	var found []mtid.Holder
	for _, record := range records {
		found = append(found, record.Holder)
	}
	return found
}

// layoutMembers returns the members among which the shards of a new table are
// distributed.
func layoutMembers(records []*mtroster.Record, ref mtid.Ref) []mtplan.Member {
	var found []mtplan.Member
	for _, record := range records {
		offer, _ := record.Offer(ref)
		found = append(found, mtplan.Member{Holder: record.Holder, Zone: record.Zone, Slots: float64(max(1, offer.Slots))})
	}
	return found
}

// leaderCandidates returns the holders from which the leader is chosen: the serving
// ones, or all of them if none is serving.
func leaderCandidates(records []*mtroster.Record) []mtid.Holder {
	if active := serving(records); len(active) > 0 {
		return holders(active)
	}
	return holders(records)
}
