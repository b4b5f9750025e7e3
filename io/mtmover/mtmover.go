// Package mtmover carries out the planned moves of this daemon's shards: it
// feeds core/mtmove with what happens at the gate, at the new owner and in the
// store, and does what it decides.
//
// # Usage
//
//	mover, cleanUp := mtmover.New(config)
//	mover.Register(grpcServer)
//	err := mover.Move(ctx, owner, service, low, to) // the planner's wish
//	mover.Leave(ctx)                                // hand all shards over
//
// One duty owns the decisions; everything reaches it by a bounded ring. All
// methods are safe for concurrent use.
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
	eventsWaiting = 4096
	tickEvery     = 100 * time.Millisecond
	writeTimeout  = 2 * time.Second
	sendTimeout   = 2 * time.Second
)

type clock interface{ Now() mtclock.Instant }

// gates are this daemon's admission, one per service.
type gates interface {
	Stop(ref mtid.Ref, low, high mtid.Point)
	Resume(ref mtid.Ref, low, high mtid.Point)
	Release(ref mtid.Ref, low, high mtid.Point)
}

// recents are this daemon's recent request identifiers.
type recents interface {
	// Export returns the identifiers of a range in their wire form.
	Export(ref mtid.Ref, low, high mtid.Point) ([]byte, error)
	// Import takes identifiers in that from owned until now.
	Import(ref mtid.Ref, low, high mtid.Point, from mtid.Holder, value []byte) error
}

// conns are the pooled connections to other daemons.
type conns interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// Config is what a Mover works with.
type Config struct {
	Self    func() mtid.Holder
	Stamp   func() mtroster.WriteID
	View    *mtview.View
	Store   mtstore.Store
	Gates   gates
	Recents recents
	Conns   conns
	// Offers returns the backend servers on this VM that want work.
	Offers func() []mtroster.Offer
	Clock  clock
	Log    *slog.Logger
	// Count adds one to a counter of this duty.
	Count func(name string)
	// Stopped is told how long a shard that was handed over took no work here.
	Stopped func(d time.Duration)
	// Refresh is called after a write, so that the store's revision is learnt.
	Refresh func()
}

// Mover carries out moves.
type Mover struct {
	Config
	events *mtring.Ring[func(now mtclock.Instant)]
	moves  *mtmove.Moves                      // of the duty alone
	self   mtid.Holder                        // the life that moves belongs to
	since  map[mtmove.ShardID]mtclock.Instant // when moving shards were stopped
	work   sync.WaitGroup
	ctx    context.Context
	closed chan struct{}
}

// New starts the duty and returns the Mover with its clean-up function.
func New(config Config) (*Mover, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mover{
		Config: config,
		events: mtring.New[func(mtclock.Instant)](eventsWaiting),
		moves:  mtmove.New(mtid.Holder{}, mtmove.DefaultLimit),
		since:  make(map[mtmove.ShardID]mtclock.Instant),
		ctx:    ctx,
		closed: make(chan struct{}),
	}
	go func() {
		defer close(m.closed)
		m.run(ctx)
	}()
	return m, func() {
		cancel()
		<-m.closed
		m.work.Wait()
	}
}

func (m *Mover) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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

// tick follows a change of this daemon's life, notes new tables, and lets the
// moves repeat what waits.
func (m *Mover) tick(now mtclock.Instant) {
	if self := m.Self(); self != m.self {
		// A new life owns nothing of the former one's: its moves are void, and
		// what their gates hold belongs to whoever took the shards over.
		m.self = self
		m.moves = mtmove.New(self, mtmove.DefaultLimit)
		clear(m.since)
	}
	m.rehome(now)
	if m.moves.Len() == 0 {
		return
	}
	s := m.View.Snapshot()
	for _, ref := range s.Services() {
		for _, table := range s.Tables(ref) {
			if table != nil {
				m.do(m.moves.ObserveTable(now, table))
			}
		}
	}
	m.do(m.moves.Tick(now))
}

// rehome moves the shards of services whose backend server on this VM is gone or
// wants no more work. The planner would do so too, once it hears of it; until
// then callers would be refused.
func (m *Mover) rehome(now mtclock.Instant) {
	if m.self.IsZero() {
		return
	}
	offers := m.Offers()
	s := m.View.Snapshot()
	for _, ref := range s.Services() {
		if slices.ContainsFunc(offers, func(o mtroster.Offer) bool { return o.Service == ref }) {
			continue
		}
		others := Others(s, ref, m.self)
		for _, shard := range owned(s, ref, m.self) {
			// A wish that doesn't fit (on its way, too many at once, nobody to
			// take it) is repeated at the next tick.
			_ = m.begin(now, ref, shard.Low, mtshard.Choose(shard.Low, others))
		}
	}
}

// owned returns the shards of a service that self owns.
func owned(s *mtview.Snapshot, ref mtid.Ref, self mtid.Holder) []mtshard.Shard {
	var out []mtshard.Shard
	for _, table := range s.Tables(ref) {
		if table != nil {
			out = append(out, table.OwnedBy(self)...)
		}
	}
	return out
}

// post gives the duty an event. A full ring drops it: a wish is repeated by the
// planner, and a lost Quiet ends in a Resume once the move is overdue.
func (m *Mover) post(event func(now mtclock.Instant)) bool { return m.events.Put(event) }

// tell gives the duty an outcome that it waits for, and waits itself for room
// in the ring: a dropped outcome of a write would hold its chunk for good.
func (m *Mover) tell(event func(now mtclock.Instant)) { m.events.PutWait(event, m.ctx.Done()) }

// Quiet is called by the gate when a stopped range has nothing in flight.
func (m *Mover) Quiet(ref mtid.Ref, low, _ mtid.Point) {
	m.post(func(now mtclock.Instant) {
		m.do(m.moves.RangeIdle(now, mtmove.ShardID{Service: ref, Low: low}))
	})
}

// BusyError says that the duty has too much waiting to take a wish.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return "move: too many wishes wait" }

// want asks the duty to begin a move, and waits for its word.
func (m *Mover) want(ctx context.Context, ref mtid.Ref, low mtid.Point, to mtid.Holder) error {
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

func (m *Mover) begin(now mtclock.Instant, ref mtid.Ref, low mtid.Point, to mtid.Holder) error {
	s := m.View.Snapshot()
	place := mtmove.ShardID{Service: ref, Low: low}
	tables := s.Tables(ref)
	if len(tables) == 0 || tables[mtshard.ChunkOf(low, len(tables))] == nil {
		return &mtmove.BeginError{Shard: place, Reason: "no such service"}
	}
	record, _, ok := s.Record(to.Daemon)
	if !ok || record.Holder != to || !record.MayHoldLease() || record.State != mtroster.Serving {
		return &mtmove.BeginError{Shard: place, Reason: to.String() + " is not serving"}
	}
	if _, ok := record.Offer(ref); !ok {
		return &mtmove.BeginError{Shard: place, Reason: to.String() + " has no server of the service"}
	}
	effects, err := m.moves.Begin(now, tables[mtshard.ChunkOf(low, len(tables))], low, to)
	if err != nil {
		return err
	}
	m.Count("begun")
	m.do(effects)
	return nil
}

// do carries out effects. What takes time runs beside the duty and comes back
// as an event.
func (m *Mover) do(effects []mtmove.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtmove.Stop:
			m.since[e.Shard] = m.Clock.Now()
			m.Gates.Stop(e.Shard.Service, e.Shard.Low, e.High)
		case mtmove.Handover:
			m.work.Go(func() { m.handover(e) })
		case mtmove.Write:
			m.work.Go(func() { m.write(e) })
		case mtmove.Resume:
			delete(m.since, e.Shard)
			m.Count("resumed_" + string(e.Cause))
			m.Log.Warn("move given up", "service", e.Shard.Service.String(), "shard", uint64(e.Shard.Low), "cause", e.Cause)
			m.Gates.Resume(e.Shard.Service, e.Shard.Low, e.High)
		case mtmove.Release:
			m.Count("released")
			if since, ok := m.since[e.Shard]; ok {
				m.Stopped(m.Clock.Now().Sub(since))
				delete(m.since, e.Shard)
			}
			m.Gates.Release(e.Shard.Service, e.Shard.Low, e.High)
		}
	}
}

func (m *Mover) handover(e mtmove.Handover) {
	err := m.sendRecent(e)
	if err != nil {
		m.Log.Warn("handover failed", "service", e.Shard.Service.String(), "to", e.To.String(), "error", err)
	}
	m.tell(func(now mtclock.Instant) {
		if err != nil {
			m.do(m.moves.HandoverFailed(now, e.Shard))
			return
		}
		m.do(m.moves.HandedOver(now, e.Shard))
	})
}

// write swaps a chunk and reports what became of it.
func (m *Mover) write(e mtmove.Write) {
	table, result := m.swap(e)
	if result == mtmove.Applied {
		m.Count("written")
		m.grant(table, e.Ops)
		m.Refresh()
	}
	m.tell(func(now mtclock.Instant) { m.do(m.moves.WriteEnded(now, table, result)) })
}

func (m *Mover) swap(e mtmove.Write) (*mtshard.Table, mtmove.WriteResult) {
	next, err := e.Table.Apply(m.Stamp(), e.Ops...)
	if err != nil {
		m.Log.Error("move does not fit the table it was made for", "error", err)
		return e.Table, mtmove.Unavailable
	}
	value, err := next.Encode()
	if err != nil {
		m.Log.Error("table can't be written", "error", err)
		return e.Table, mtmove.Unavailable
	}
	ctx, cancel := context.WithTimeout(m.ctx, writeTimeout)
	defer cancel()
	name := mtstore.ShardName(next.Service, next.Chunk)
	version, err := m.Store.Swap(ctx, name, e.Table.Version, value, "")
	if err == nil {
		m.learn(mtview.Item{Name: name, Version: version, Value: value})
		return next, mtmove.Applied
	}
	return m.failed(ctx, e.Table, name, err)
}

// failed tells a write that never took effect from one that may have.
func (m *Mover) failed(ctx context.Context, table *mtshard.Table, name string, err error) (*mtshard.Table, mtmove.WriteResult) {
	var conflict *mtstore.ConflictError
	var unavailable *mtstore.UnavailableError
	var rejected *mtstore.RejectedError
	switch {
	case errors.As(err, &conflict):
		return m.newest(ctx, table, name), mtmove.Conflicted
	case errors.As(err, &unavailable), errors.As(err, &rejected):
		return table, mtmove.Unavailable
	}
	return table, mtmove.OutcomeUnknown
}

// newest reads a chunk after a conflict; if that fails too, the next try
// conflicts again and comes back here.
func (m *Mover) newest(ctx context.Context, table *mtshard.Table, name string) *mtshard.Table {
	entry, err := m.Store.Get(ctx, name)
	if err != nil {
		return table
	}
	read, err := mtshard.Decode(entry.Value)
	if err != nil {
		m.Log.Error("table can't be read", "name", name, "error", err)
		return table
	}
	m.learn(mtview.Item{Name: name, Version: entry.Version, Value: entry.Value})
	return read
}

// learn makes a written table this daemon's own before anything is released:
// a request that was held must not find the old owner in the table.
func (m *Mover) learn(item mtview.Item) {
	if _, err := m.View.ApplyWrite(item); err != nil {
		m.Log.Debug("written table does not follow the known one", "error", err)
	}
}

// Leave hands all shards of this daemon to the rendezvous choice among the
// others, and returns once it owns none that another could take, or ctx is done.
// The roster must say that the daemon is leaving, or the planner would give it
// new ones. It fails with a *LeaveError.
func (m *Mover) Leave(ctx context.Context) error {
	for {
		left := m.ask(ctx)
		if left.takeable == 0 {
			return left.err()
		}
		if !mtduty.Sleep(ctx, tickEvery) {
			return left.err()
		}
	}
}

// LeaveError says that shards were not handed over: in time, or at all, since no
// other daemon has a server of their service. They will be taken over once this
// daemon's lease has ended and there is one.
type LeaveError struct{ Owned int }

// Error implements error.
func (e *LeaveError) Error() string { return fmt.Sprintf("move: %d shards are still owned", e.Owned) }

// remaining is what a leaving daemon still owns.
type remaining struct {
	owned    int
	takeable int // of these, the ones that another daemon could take
}

func (r remaining) err() error {
	if r.owned == 0 {
		return nil
	}
	return &LeaveError{Owned: r.owned}
}

// ask wishes for the move of every shard that isn't on its way.
func (m *Mover) ask(ctx context.Context) remaining {
	self := m.Self()
	s := m.View.Snapshot()
	var left remaining
	for _, ref := range s.Services() {
		others := Others(s, ref, self)
		shards := owned(s, ref, self)
		left.owned += len(shards)
		if len(others) == 0 {
			continue
		}
		left.takeable += len(shards)
		for _, shard := range shards {
			// A refused wish is repeated at the next round.
			_ = m.want(ctx, ref, shard.Low, mtshard.Choose(shard.Low, others))
		}
	}
	return left
}

// Others returns the holders that may be given shards of a service, without
// self.
func Others(s *mtview.Snapshot, ref mtid.Ref, self mtid.Holder) []mtid.Holder {
	var out []mtid.Holder
	for _, r := range s.Roster() {
		if _, ok := r.Offer(ref); ok && r.MayHoldLease() && r.State == mtroster.Serving && r.Holder != self {
			out = append(out, r.Holder)
		}
	}
	return out
}
