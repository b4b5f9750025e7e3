// Package mtmover executes the planned moves of this daemon's shards. It passes
// events of the gate, the new owner and the store to the state machine of
// core/mtmove, and carries out the effects that this returns.
//
// # Usage
//
//	mover, cleanUp := mtmover.New(config)
//	mover.Register(grpcServer)
//	err := mover.Move(ctx, owner, service, low, to) // called by the planner
//	err = mover.Leave(ctx)                          // hand over all shards
//
// A single goroutine, the event loop, owns the state machine. All events reach it
// through a bounded queue. All methods are safe for concurrent use.
package mtmover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmove"
	"magnoliaturn/core/mtring"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtduty"
)

const (
	eventQueueSize = 4096
	tickInterval   = 100 * time.Millisecond
	writeTimeout   = 2 * time.Second
	callTimeout    = 2 * time.Second
)

type clock interface{ Now() mtclock.Instant }

// gates holds back and admits the requests of a range of a service on this daemon.
type gates interface {
	Stop(ref mtid.Ref, low, high mtid.Point)
	Resume(ref mtid.Ref, low, high mtid.Point)
	Release(ref mtid.Ref, low, high mtid.Point)
}

// recents stores the recent request identifiers of this daemon, by which a resent
// request is recognized.
type recents interface {
	// Export returns the identifiers of a range in wire format.
	Export(ref mtid.Ref, low, high mtid.Point) ([]byte, error)
	// Import adds the identifiers of a range that the holder from has owned so far.
	Import(ref mtid.Ref, low, high mtid.Point, from mtid.Holder, value []byte) error
}

// conns returns the pooled connection to another daemon.
type conns interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// Config holds the dependencies of a Mover.
type Config struct {
	// Self returns the current incarnation of this daemon, or the zero holder while
	// it is not registered.
	Self func() mtid.Holder
	// NewWriteID returns a write ID that no other write of this daemon has.
	NewWriteID func() mtroster.WriteID
	View       *mtview.View
	Store      mtstore.Store
	Gates      gates
	RecentIDs  recents
	Conns      conns
	// Offers returns the offers of the backend servers on this VM that accept work.
	Offers func() []mtroster.Offer
	Clock  clock
	Log    *slog.Logger
	// Count increments the named counter of the mover.
	Count func(name string)
	// RecordStopTime records how long a shard that was handed over admitted no
	// requests here.
	RecordStopTime func(d time.Duration)
	// Refresh is called after a write to fetch the resulting revision from the store.
	Refresh func()
}

// Mover executes the moves of this daemon's shards. See the package comment.
type Mover struct {
	Config
	events    *mtring.Ring[func(now mtclock.Instant)]
	moves     *mtmove.Moves                      // accessed by the event loop only
	self      mtid.Holder                        // the incarnation that moves belongs to
	stoppedAt map[mtmove.ShardID]mtclock.Instant // when each shard that is being moved was stopped
	effects   sync.WaitGroup
	ctx       context.Context
	closed    chan struct{}
}

// New starts the event loop and returns the Mover with a function that stops it and
// waits for all pending calls.
func New(config Config) (*Mover, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mover{
		Config:    config,
		events:    mtring.New[func(mtclock.Instant)](eventQueueSize),
		moves:     mtmove.New(mtid.Holder{}, mtmove.DefaultLimit),
		stoppedAt: make(map[mtmove.ShardID]mtclock.Instant),
		ctx:       ctx,
		closed:    make(chan struct{}),
	}
	go func() {
		defer close(m.closed)
		m.run(ctx)
	}()
	return m, func() {
		cancel()
		<-m.closed
		m.effects.Wait()
	}
}

func (m *Mover) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-m.events.Items():
			event(m.Clock.Now())
		case <-ticker.C:
			m.tick(m.Clock.Now())
		}
	}
}

// tick discards all moves if the incarnation of this daemon has changed, passes the
// current tables to the state machine, and lets it repeat pending writes and cancel
// moves that take too long.
func (m *Mover) tick(now mtclock.Instant) {
	if self := m.Self(); self != m.self {
		// The new incarnation owns no shard of the previous one, so the moves of
		// that are void. Requests that their gates hold back belong to the daemons
		// that took over the shards.
		m.self = self
		m.moves = mtmove.New(self, mtmove.DefaultLimit)
		clear(m.stoppedAt)
	}
	m.moveUnserved(now)
	if m.moves.Len() == 0 {
		return
	}
	s := m.View.Snapshot()
	for _, ref := range s.Services() {
		for _, table := range s.Tables(ref) {
			if table != nil {
				m.execute(m.moves.ObserveTable(now, table))
			}
		}
	}
	m.execute(m.moves.Tick(now))
}

// moveUnserved moves away the shards of services whose backend server on this VM was
// removed or accepts no more work. The planner would request the same moves, but
// only after the roster shows the change; callers would be refused until then.
func (m *Mover) moveUnserved(now mtclock.Instant) {
	if m.self.IsZero() {
		return
	}
	offers := m.Offers()
	s := m.View.Snapshot()
	for _, ref := range s.Services() {
		if slices.ContainsFunc(offers, func(o mtroster.Offer) bool { return o.Service == ref }) {
			continue
		}
		others := EligibleOwners(s, ref, m.self)
		for _, shard := range ownedShards(s, ref, m.self) {
			// A move that cannot begin now (already in progress, too many at once,
			// no eligible new owner) is tried again at the next tick.
			_ = m.begin(now, ref, shard.Low, mtshard.Choose(shard.Low, others))
		}
	}
}

// ownedShards returns the shards of a service that self owns, from all chunks.
func ownedShards(s *mtview.Snapshot, ref mtid.Ref, self mtid.Holder) []mtshard.Shard {
	var out []mtshard.Shard
	for _, table := range s.Tables(ref) {
		if table != nil {
			out = append(out, table.OwnedBy(self)...)
		}
	}
	return out
}

// post enqueues an event for the event loop, or drops it and returns false if the
// queue is full. This is harmless: the planner repeats its requests, and a move
// whose RangeIdle event was lost is canceled and its shard resumed after
// mtmove.PhaseTimeout.
func (m *Mover) post(event func(now mtclock.Instant)) bool { return m.events.Put(event) }

// postResult enqueues a result that the state machine waits for, and blocks while the
// queue is full. If the result of a write were dropped, its chunk would never be
// written again.
func (m *Mover) postResult(event func(now mtclock.Instant)) { m.events.PutWait(event, m.ctx.Done()) }

// RangeIdle reports that no request of a stopped range is in flight. The gate calls
// it.
func (m *Mover) RangeIdle(ref mtid.Ref, low, _ mtid.Point) {
	m.post(func(now mtclock.Instant) {
		m.execute(m.moves.RangeIdle(now, mtmove.ShardID{Service: ref, Low: low}))
	})
}

// BusyError reports that a move was not requested because the event queue is full
// or the mover has stopped.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return "move: too many wishes wait" }

// requestMove begins a move on the event loop and returns its result. It fails with a
// *BusyError, a *mtmove.BeginError or the error of ctx.
func (m *Mover) requestMove(ctx context.Context, ref mtid.Ref, low mtid.Point, to mtid.Holder) error {
	result := make(chan error, 1)
	posted := m.post(func(now mtclock.Instant) {
		m.tick(now)
		result <- m.begin(now, ref, low, to)
	})
	if !posted {
		return &BusyError{}
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-m.closed:
		return &BusyError{}
	}
}

// begin begins a move if the service exists and the new owner can serve the shard. It
// fails with a *mtmove.BeginError. It runs on the event loop.
func (m *Mover) begin(now mtclock.Instant, ref mtid.Ref, low mtid.Point, to mtid.Holder) error {
	s := m.View.Snapshot()
	id := mtmove.ShardID{Service: ref, Low: low}
	tables := s.Tables(ref)
	if len(tables) == 0 || tables[mtshard.ChunkOf(low, len(tables))] == nil {
		return &mtmove.BeginError{Shard: id, Reason: "no such service"}
	}
	record, _, ok := s.Record(to.Daemon)
	if !ok || record.Holder != to || !record.MayHoldLease() || record.State != mtroster.Serving {
		return &mtmove.BeginError{Shard: id, Reason: to.String() + " is not serving"}
	}
	if _, ok := record.Offer(ref); !ok {
		return &mtmove.BeginError{Shard: id, Reason: to.String() + " has no server of the service"}
	}
	effects, err := m.moves.Begin(now, tables[mtshard.ChunkOf(low, len(tables))], low, to)
	if err != nil {
		return err
	}
	m.Count("begun")
	m.execute(effects)
	return nil
}

// execute carries out effects. Those that wait for the network run in goroutines of
// their own, which report their results to the event loop as events.
func (m *Mover) execute(effects []mtmove.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtmove.Stop:
			m.stoppedAt[e.Shard] = m.Clock.Now()
			m.Gates.Stop(e.Shard.Service, e.Shard.Low, e.High)
		case mtmove.Handover:
			m.effects.Go(func() { m.handover(e) })
		case mtmove.Write:
			m.effects.Go(func() { m.write(e) })
		case mtmove.Resume:
			delete(m.stoppedAt, e.Shard)
			m.Count("resumed_" + string(e.Cause))
			m.Log.Warn("move given up", "service", e.Shard.Service.String(), "shard", uint64(e.Shard.Low), "cause", e.Cause)
			m.Gates.Resume(e.Shard.Service, e.Shard.Low, e.High)
		case mtmove.Release:
			m.Count("released")
			if stoppedAt, ok := m.stoppedAt[e.Shard]; ok {
				m.RecordStopTime(m.Clock.Now().Sub(stoppedAt))
				delete(m.stoppedAt, e.Shard)
			}
			m.Gates.Release(e.Shard.Service, e.Shard.Low, e.High)
		}
	}
}

// handover sends the recent identifiers to the new owner and reports the result.
func (m *Mover) handover(e mtmove.Handover) {
	err := m.sendRecent(e)
	if err != nil {
		m.Log.Warn("handover failed", "service", e.Shard.Service.String(), "to", e.To.String(), "error", err)
	}
	m.postResult(func(now mtclock.Instant) {
		if err != nil {
			m.execute(m.moves.HandoverFailed(now, e.Shard))
			return
		}
		m.execute(m.moves.HandedOver(now, e.Shard))
	})
}

// write writes a chunk, notifies its new owners, and reports the result.
func (m *Mover) write(e mtmove.Write) {
	table, result := m.swap(e)
	if result == mtmove.Applied {
		m.Count("written")
		m.notifyOwners(table, e.Ops)
		m.Refresh()
	}
	m.postResult(func(now mtclock.Instant) { m.execute(m.moves.WriteEnded(now, table, result)) })
}

// swap replaces a chunk in the store if its version has not changed. It returns the
// latest table that is known afterwards.
func (m *Mover) swap(e mtmove.Write) (*mtshard.Table, mtmove.WriteResult) {
	next, err := e.Table.Apply(m.NewWriteID(), e.Ops...)
	if err != nil {
		m.Log.Error("cannot apply a move to its table", "error", err)
		return e.Table, mtmove.Unavailable
	}
	value, err := next.Encode()
	if err != nil {
		m.Log.Error("cannot encode the table of a move", "error", err)
		return e.Table, mtmove.Unavailable
	}
	ctx, cancel := context.WithTimeout(m.ctx, writeTimeout)
	defer cancel()
	name := mtstore.ShardName(next.Service, next.Chunk)
	version, err := m.Store.Swap(ctx, name, e.Table.Version, value, "")
	if err == nil {
		m.applyWritten(mtview.Item{Name: name, Version: version, Value: value})
		return next, mtmove.Applied
	}
	return m.classifyFailure(ctx, e.Table, name, err)
}

// classifyFailure returns the result of a write that failed: whether it certainly had
// no effect or may still take effect.
func (m *Mover) classifyFailure(ctx context.Context, table *mtshard.Table, name string, err error) (*mtshard.Table, mtmove.WriteResult) {
	var conflict *mtstore.ConflictError
	var unavailable *mtstore.UnavailableError
	var rejected *mtstore.RejectedError
	switch {
	case errors.As(err, &conflict):
		return m.readCurrent(ctx, table, name), mtmove.Conflicted
	case errors.As(err, &unavailable), errors.As(err, &rejected):
		return table, mtmove.Unavailable
	}
	return table, mtmove.OutcomeUnknown
}

// readCurrent reads a chunk after a conflict. If this fails as well, it returns
// table, so that the next write conflicts again and the chunk is read again.
func (m *Mover) readCurrent(ctx context.Context, table *mtshard.Table, name string) *mtshard.Table {
	entry, err := m.Store.Get(ctx, name)
	if err != nil {
		return table
	}
	read, err := mtshard.Decode(entry.Value)
	if err != nil {
		m.Log.Error("cannot decode a stored table", "name", name, "error", err)
		return table
	}
	m.applyWritten(mtview.Item{Name: name, Version: entry.Version, Value: entry.Value})
	return read
}

// applyWritten applies a written table to this daemon's view. This precedes the
// release of the shard, since the requests that were held back are forwarded to the
// owner in the view and must not find the previous one there.
func (m *Mover) applyWritten(item mtview.Item) {
	if _, err := m.View.ApplyWrite(item); err != nil {
		m.Log.Debug("cannot apply a written table to the view", "error", err)
	}
}

// Leave moves every shard of this daemon to another one, chosen by rendezvous
// hashing. It returns once this daemon owns no shard that another one could own, or
// when ctx is done. The daemon's record in the roster must have the state Leaving
// before, or the planner would move new shards here. Leave fails with a
// *LeaveError.
func (m *Mover) Leave(ctx context.Context) error {
	for {
		rest := m.requestMoves(ctx)
		if rest.movable == 0 {
			return rest.err()
		}
		if !mtduty.Sleep(ctx, tickInterval) {
			return rest.err()
		}
	}
}

// LeaveError reports that shards were not handed over, either because the time ran
// out or because no other daemon has a server of their service. They are taken over
// after this daemon's lease has expired, as soon as such a server exists.
type LeaveError struct{ Owned int }

// Error implements error.
func (e *LeaveError) Error() string {
	return fmt.Sprintf("move: %d shards were not handed over", e.Owned)
}

// remaining counts the shards that a leaving daemon still owns.
type remaining struct {
	owned   int
	movable int // of these, the ones that another daemon could own
}

func (r remaining) err() error {
	if r.owned == 0 {
		return nil
	}
	return &LeaveError{Owned: r.owned}
}

// requestMoves requests the move of every shard that is owned and counts these shards.
func (m *Mover) requestMoves(ctx context.Context) remaining {
	self := m.Self()
	s := m.View.Snapshot()
	var rest remaining
	for _, ref := range s.Services() {
		others := EligibleOwners(s, ref, self)
		shards := ownedShards(s, ref, self)
		rest.owned += len(shards)
		if len(others) == 0 {
			continue
		}
		rest.movable += len(shards)
		for _, shard := range shards {
			// A move that was refused is requested again in the next round.
			_ = m.requestMove(ctx, ref, shard.Low, mtshard.Choose(shard.Low, others))
		}
	}
	return rest
}

// EligibleOwners returns the holders other than self to which shards of a service may
// be moved.
func EligibleOwners(s *mtview.Snapshot, ref mtid.Ref, self mtid.Holder) []mtid.Holder {
	var out []mtid.Holder
	for _, r := range s.Roster() {
		if _, ok := r.Offer(ref); ok && r.MayHoldLease() && r.State == mtroster.Serving && r.Holder != self {
			out = append(out, r.Holder)
		}
	}
	return out
}
