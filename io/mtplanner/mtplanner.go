// Package mtplanner is the duty that plans for keyed services: it lays the
// first table of a new service, writes splits and merges, and asks owners to
// move shards.
//
// Every daemon runs one Planner. For each service it acts only while its daemon
// is the leader by rendezvous rank among the service's live daemons. Two
// daemons that both take themselves for the leader do no harm: each write is a
// compare-and-swap on the version that was planned from.
//
// A Reporter on every daemon tells the leader the load of the daemon's shards.
//
// # Usage
//
//	planner, cleanUp, err := mtplanner.New(config, view, store, mover)
//	defer cleanUp()
//	mtwire.RegisterPlannerServer(grpcServer, planner)
//	cleanUp, err = mtplanner.NewReporter(config, view, meters, link, planner)
//	defer cleanUp()
//
// The clean-ups stop the duties and wait for them. All methods are safe for
// concurrent use.
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

// View is the live state as this daemon knows it. Its methods must be safe for
// concurrent use, and what they return is not changed by anyone.
type View interface {
	// Roster returns the records of all daemons.
	Roster() []*mtroster.Record
	// Bundles returns the bundles in force.
	Bundles() []*mtbundle.Bundle
	// Table returns a chunk of a service's assignment, if it exists.
	Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool)
}

// Mover carries a wish to move a shard to its owner, who executes it.
type Mover interface {
	// Move asks owner to hand the shard that begins at low to another holder.
	// It returns when the owner has taken the wish or refused it; the change
	// itself shows in the table.
	Move(ctx context.Context, owner mtid.Holder, service mtid.Ref, low mtid.Point, to mtid.Holder) error
}

// Config is what a Planner is told at its start.
type Config struct {
	// Self returns the present life of this daemon; the zero holder while it
	// is not registered.
	Self func() mtid.Holder
	// Stamp returns a stamp that no other write of this daemon carries.
	Stamp func() mtroster.WriteID
	// Now returns the present time.
	Now func() mtclock.Instant
	Log *slog.Logger
	// Seen is called with what each round of planning was decided from, by the
	// duty's goroutine, for figures; it must not keep the state. It may be nil.
	Seen func(service mtid.Ref, state *mtplan.State)
	// Tick is the time between two looks at the live state; zero means
	// DefaultTick.
	Tick time.Duration
}

// DefaultTick is the time between two looks at the live state.
const DefaultTick = 500 * time.Millisecond

// writeTimeout bounds one call of the store.
const writeTimeout = 2 * time.Second

// ConfigError says that a required part of a Config is missing.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "planner: " + e.Field + " is missing" }

// Sizes and times of the duty.
const (
	// RoundTime is the time between two rounds of planning for a service, and
	// SoonTime the time to the next one after a round that wrote splits, which
	// usually are to be followed by moves.
	RoundTime = 5 * time.Second
	SoonTime  = time.Second
	// maxReports is how many load reports may wait.
	maxReports = 256
	// maxWishes is how many moves may wait to be asked for, and askers how
	// many are asked for at once.
	maxWishes = 512
	askers    = 8
	// askTimeout bounds one call to an owner.
	askTimeout = 2 * time.Second
)

// Planner is the duty. It is the server of mtwire.Planner as well.
type Planner struct {
	mtwire.UnimplementedPlannerServer

	config  Config
	view    View
	writer  *writer
	mover   Mover
	reports *mtring.Ring[delivery]
	wishes  *mtring.Ring[wish]
	refused *mtring.Ring[wish]

	services map[mtid.Ref]*serviceState // of the duty's goroutine alone
}

// delivery is a report that waits for the duty, and where its answer goes.
type delivery struct {
	report *mtload.Report
	answer chan *mtwire.LoadReply // of size one, so that the duty never waits
}

// wish is a move to be asked for.
type wish struct {
	service mtid.Ref
	move    mtplan.Move
}

// New starts the duty. It fails with a *ConfigError.
func New(config Config, view View, store mtstore.Store, mover Mover) (*Planner, func(), error) {
	if err := check(config); err != nil {
		return nil, nil, err
	}
	if config.Tick == 0 {
		config.Tick = DefaultTick
	}
	p := &Planner{
		config:   config,
		view:     view,
		writer:   &writer{store: store, stamp: config.Stamp, log: config.Log},
		mover:    mover,
		reports:  mtring.New[delivery](maxReports),
		wishes:   mtring.New[wish](maxWishes),
		refused:  mtring.New[wish](maxWishes),
		services: make(map[mtid.Ref]*serviceState),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() {
		ticker := time.NewTicker(config.Tick)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.tick(ctx)
			case d := <-p.reports.Items():
				d.answer <- p.take(d.report)
			case w := <-p.refused.Items():
				p.forget(w)
			}
		}
	})
	for range askers {
		duties.Go(func() {
			for {
				w, ok := p.wishes.Take(ctx.Done())
				if !ok {
					return
				}
				p.ask(ctx, w)
			}
		})
	}
	return p, func() { cancel(); duties.Wait() }, nil
}

func check(config Config) error {
	switch {
	case config.Self == nil:
		return &ConfigError{Field: "Self"}
	case config.Stamp == nil:
		return &ConfigError{Field: "Stamp"}
	case config.Now == nil:
		return &ConfigError{Field: "Now"}
	case config.Log == nil:
		return &ConfigError{Field: "Log"}
	}
	return nil
}

// tick looks at every keyed service once.
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
			p.serve(ctx, self, ref, service, members(roster, ref))
		}
	}
}

// serve does what one service needs, if this daemon leads it.
func (p *Planner) serve(ctx context.Context, self mtid.Holder, ref mtid.Ref, service *mtbundle.Service, servers []*mtroster.Record) {
	if mtplan.Leader(ref, leaders(servers)) != self {
		delete(p.services, ref)
		return
	}
	state, ok := p.services[ref]
	if !ok {
		state = newServiceState()
		p.services[ref] = state
	}
	p.create(ctx, state, ref, service, serving(servers))
	if now := p.config.Now(); !now.Before(state.next) {
		p.round(ctx, now, state, ref, service, servers)
	}
}

// create lays the chunks that don't exist yet. The first chunk comes alone, and
// the others follow once it is seen: it fixes the number of chunks, and two
// planners that read different bundles would otherwise lay chunks of
// differently divided rings.
func (p *Planner) create(ctx context.Context, state *serviceState, ref mtid.Ref, service *mtbundle.Service, serving []*mtroster.Record) {
	first, ok := p.view.Table(ref, 0)
	if !ok {
		if state.creation.Ready(p.config.Now(), holders(serving)) {
			laid := mtplan.InitialLayout(service.Shards, max(1, service.Chunks), layout(serving, ref))
			p.writer.write(ctx, mtshard.New(ref, 0, len(laid)), laid[0]...)
		}
		return
	}
	missing := p.missing(ref, first.Chunks)
	if len(missing) == 0 || len(serving) == 0 {
		return
	}
	laid := mtplan.InitialLayout(service.Shards, first.Chunks, layout(serving, ref))
	for _, chunk := range missing {
		p.writer.write(ctx, mtshard.New(ref, chunk, len(laid)), laid[chunk]...)
	}
}

// missing returns the chunks that don't exist yet.
func (p *Planner) missing(ref mtid.Ref, chunks int) []int {
	var found []int
	for chunk := range chunks {
		if _, ok := p.view.Table(ref, chunk); !ok {
			found = append(found, chunk)
		}
	}
	return found
}

// members returns the live records that offer a service.
func members(roster []*mtroster.Record, ref mtid.Ref) []*mtroster.Record {
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

// serving returns the records of the servers that stay.
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

// layout returns what a new table is laid over.
func layout(records []*mtroster.Record, ref mtid.Ref) []mtplan.Member {
	var found []mtplan.Member
	for _, record := range records {
		offer, _ := record.Offer(ref)
		found = append(found, mtplan.Member{Holder: record.Holder, Zone: record.Zone, Slots: float64(max(1, offer.Slots))})
	}
	return found
}

// leaders returns the holders among which the planner is chosen: the serving
// ones, or the leaving ones if no other is left.
func leaders(records []*mtroster.Record) []mtid.Holder {
	if staying := serving(records); len(staying) > 0 {
		return holders(staying)
	}
	return holders(records)
}
