// Package mtmove is the owner's side of a planned move: stop a shard, finish
// what is in flight, hand over the recent request identifiers, and only then
// change the owner in the store.
//
// The present owner executes the move, since it alone can stop itself without
// waiting for a lease to end. A planner only asks. So a planner that is lost
// half-way leaves nothing behind, a new owner that is lost before the write is
// never named, and an owner that is lost is taken over like any other.
//
// Until a write is attempted, the owner may take a stopped shard back. After
// that it may not: the write may land late. It writes again instead: if that
// succeeds the shard has moved, and if it is refused the version has moved on,
// so the earlier write can't land any more and the table tells what holds.
//
// # Usage
//
//	moves := mtmove.New(self, limit)
//	effects := moves.Want(now, table, low, to)
//	for _, effect := range effects {
//		switch e := effect.(type) {
//		case mtmove.Stop:     // stop the range at the gate; later Quiet
//		case mtmove.Handover: // send identifiers to e.To; later HandedOver or HandoverFailed
//		case mtmove.Write:    // apply e.Ops and swap; later Wrote
//		case mtmove.Resume:   // the shard stays here: admit again
//		case mtmove.Release:  // the shard is another's: send what waits there
//		}
//	}
//
// A Moves isn't safe for concurrent use: one duty owns it.
package mtmove

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Patience is how long a shard may stay stopped before anything was written.
// A request that runs longer keeps its shard where it is; the planner may ask
// again.
const Patience = 10 * time.Second

// DefaultLimit is how many shards of a daemon move at once.
const DefaultLimit = 64

// Place names a shard of a service by where it begins.
type Place struct {
	Service mtid.Ref
	Low     mtid.Point
}

// Effect is what the caller of the moves has to do.
type Effect interface{ effect() }

// Stop asks to hold new work for a range and report when none is in flight.
type Stop struct {
	Place Place
	High  mtid.Point
}

// Handover asks to send the recent identifiers of a range to its new owner.
type Handover struct {
	Place Place
	High  mtid.Point
	To    mtid.Holder
}

// Write asks to swap a chunk from the table it was given to one with Ops
// applied. Exactly one Wrote for the chunk follows.
type Write struct {
	Table *mtshard.Table
	Ops   []mtshard.Op
}

// Resume says that the shard stays with this owner.
type Resume struct {
	Place Place
	High  mtid.Point
	Cause Cause
}

// Release says that the shard is no longer this owner's.
type Release struct {
	Place Place
	High  mtid.Point
}

func (Stop) effect()     {}
func (Handover) effect() {}
func (Write) effect()    {}
func (Resume) effect()   {}
func (Release) effect()  {}

// Cause tells why a move was given up.
type Cause string

// The causes of a Resume.
const (
	CauseSlow    Cause = "slow"    // requests in flight outlasted Patience
	CauseRefused Cause = "refused" // the new owner did not take the identifiers
	CauseStore   Cause = "store"   // the store did not take the write
	CauseOverdue Cause = "overdue" // the identifiers could not be sent in time
	CauseAltered Cause = "altered" // the shard's bounds changed meanwhile
)

// WantError says that a wish to move a shard was not taken.
type WantError struct {
	Place  Place
	Reason string
}

// Error implements error.
func (e *WantError) Error() string {
	return fmt.Sprintf("move: %s from %x: %s", e.Place.Service, uint64(e.Place.Low), e.Reason)
}

// phase is how far a move has come.
type phase int

const (
	stopping phase = iota // waits for Quiet
	handing               // waits for HandedOver
	ready                 // waits for its chunk's write to start
	writing               // part of a write whose outcome isn't known yet
)

type move struct {
	place Place
	high  mtid.Point
	to    mtid.Holder
	since mtclock.Instant
	phase phase
	// doubtful says that a write which names this move has an unknown outcome.
	doubtful bool
}

// chunk names a chunk of a service.
type chunk struct {
	service mtid.Ref
	number  int
}

// Result is what became of a write.
type Result int

// The results of a write.
const (
	Landed      Result = iota // it took effect
	Refused                   // the version had moved on: it did not and never will
	Unavailable               // the store did not take the call: it did not and never will
	InDoubt                   // it may have, or may still
)

// Moves are the planned moves of one daemon's shards.
type Moves struct {
	self   mtid.Holder
	limit  int
	moves  map[Place]*move
	tables map[chunk]*mtshard.Table // the newest known
	busy   map[chunk][]*move        // the moves of the write under way
	out    []Effect
}

// New returns a machine without moves for one life of a daemon.
func New(self mtid.Holder, limit int) *Moves {
	return &Moves{
		self:   self,
		limit:  limit,
		moves:  make(map[Place]*move),
		tables: make(map[chunk]*mtshard.Table),
		busy:   make(map[chunk][]*move),
	}
}

// Len returns how many shards are on the move.
func (m *Moves) Len() int { return len(m.moves) }

// Moving reports whether a shard is on the move.
func (m *Moves) Moving(p Place) bool { return m.moves[p] != nil }

// Want begins the move of the shard that begins at low to another holder. It
// fails with a *WantError, and then nothing has changed.
func (m *Moves) Want(now mtclock.Instant, table *mtshard.Table, low mtid.Point, to mtid.Holder) ([]Effect, error) {
	m.out = nil
	place := Place{Service: table.Service, Low: low}
	high, ok := table.High(low)
	if reason := m.unfit(table, place, to, ok); reason != "" {
		return nil, &WantError{Place: place, Reason: reason}
	}
	m.see(table)
	m.moves[place] = &move{place: place, high: high, to: to, since: now, phase: stopping}
	m.emit(Stop{Place: place, High: high})
	return m.out, nil
}

func (m *Moves) unfit(table *mtshard.Table, place Place, to mtid.Holder, begins bool) string {
	shard, _ := table.Lookup(place.Low)
	switch {
	case !begins:
		return "no shard begins there"
	case shard.Owner != m.self:
		return "owned by " + shard.Owner.String()
	case to == m.self || to.IsZero():
		return "no other holder named"
	case m.moves[place] != nil:
		return "on the move already"
	case len(m.moves) >= m.limit:
		return "too many shards on the move"
	}
	return ""
}

// Quiet says that no request is in flight in a stopped range.
func (m *Moves) Quiet(now mtclock.Instant, p Place) []Effect {
	m.out = nil
	mv := m.moves[p]
	if mv == nil || mv.phase != stopping {
		return nil
	}
	mv.phase = handing
	mv.since = now
	m.emit(Handover{Place: p, High: mv.high, To: mv.to})
	return m.out
}

// HandedOver says that the new owner has the recent identifiers.
func (m *Moves) HandedOver(now mtclock.Instant, p Place) []Effect {
	m.out = nil
	mv := m.moves[p]
	if mv == nil || mv.phase != handing {
		return nil
	}
	mv.phase = ready
	mv.since = now
	m.write(m.chunkOf(p))
	return m.out
}

// HandoverFailed says that the new owner did not take the identifiers, or that
// it is not known. The shard stays: an identifier that the new owner forgot
// would let a resend run a second time.
func (m *Moves) HandoverFailed(_ mtclock.Instant, p Place) []Effect {
	m.out = nil
	if mv := m.moves[p]; mv != nil && mv.phase == handing {
		m.resume(mv, CauseRefused)
	}
	return m.out
}

// Wrote says what became of the write of a chunk. table is the newest one that
// the caller knows: after Landed the one that was written, after Refused the
// one read from the store.
func (m *Moves) Wrote(now mtclock.Instant, table *mtshard.Table, result Result) []Effect {
	m.out = nil
	c := chunk{service: table.Service, number: table.Chunk}
	written := m.busy[c]
	delete(m.busy, c)
	m.see(table)
	for _, mv := range written {
		m.settle(now, mv, result)
	}
	// After a failure of the store, Tick sets the pace of the next try.
	if result == Landed || result == Refused {
		m.write(c)
	}
	return m.out
}

// settle decides what comes after a write that named mv.
func (m *Moves) settle(now mtclock.Instant, mv *move, result Result) {
	switch result {
	case Landed:
		m.release(mv)
	case Refused:
		// The version moved on, so no earlier write can land: the table
		// holds the truth.
		mv.doubtful = false
		if m.fits(mv) {
			mv.phase = ready
			mv.since = now
		}
	case Unavailable:
		if mv.doubtful {
			mv.phase = ready
			return
		}
		m.resume(mv, CauseStore)
	case InDoubt:
		mv.doubtful = true
		mv.phase = ready
	}
}

// See takes note of a newer table of a chunk, learnt from peers or the store.
func (m *Moves) See(_ mtclock.Instant, table *mtshard.Table) []Effect {
	m.out = nil
	m.see(table)
	for _, mv := range m.ordered() {
		if m.chunkOf(mv.place) != (chunk{service: table.Service, number: table.Chunk}) || mv.phase == writing {
			continue
		}
		if shard, ok := table.Lookup(mv.place.Low); ok && shard.Owner != m.self {
			m.release(mv)
		}
	}
	return m.out
}

// Tick gives up what takes too long and repeats writes that wait. It is called
// a few times a second.
func (m *Moves) Tick(now mtclock.Instant) []Effect {
	m.out = nil
	for _, mv := range m.ordered() {
		if now.Sub(mv.since) < Patience {
			continue
		}
		switch mv.phase {
		case stopping:
			m.resume(mv, CauseSlow)
		case handing:
			m.resume(mv, CauseOverdue)
		}
	}
	for _, mv := range m.ordered() {
		m.write(m.chunkOf(mv.place))
	}
	return m.out
}

// write starts the write of a chunk's ready moves, all in one, unless one is
// under way.
func (m *Moves) write(c chunk) {
	if m.busy[c] != nil {
		return
	}
	var batch []*move
	var ops []mtshard.Op
	for _, mv := range m.ordered() {
		if mv.phase == ready && m.chunkOf(mv.place) == c && m.fits(mv) {
			mv.phase = writing
			batch = append(batch, mv)
			ops = append(ops, mtshard.Move{Low: mv.place.Low, To: mv.to})
		}
	}
	if len(batch) == 0 {
		return
	}
	m.busy[c] = batch
	m.emit(Write{Table: m.tables[c], Ops: ops})
}

// fits reports whether a move still fits the newest table, and ends it if not:
// another may have become the owner, or the planner may have split the shard
// while it was being stopped.
func (m *Moves) fits(mv *move) bool {
	table := m.tables[m.chunkOf(mv.place)]
	shard, _ := table.Lookup(mv.place.Low)
	high, begins := table.High(mv.place.Low)
	switch {
	case shard.Owner != m.self:
		m.release(mv)
		return false
	case !begins || high != mv.high:
		m.resume(mv, CauseAltered)
		return false
	}
	return true
}

func (m *Moves) see(table *mtshard.Table) {
	c := chunk{service: table.Service, number: table.Chunk}
	if old := m.tables[c]; old == nil || old.Version < table.Version {
		m.tables[c] = table
	}
}

func (m *Moves) chunkOf(p Place) chunk {
	for c, t := range m.tables {
		if c.service == p.Service && mtshard.ChunkOf(p.Low, t.Chunks) == c.number {
			return c
		}
	}
	return chunk{service: p.Service}
}

func (m *Moves) resume(mv *move, cause Cause) {
	delete(m.moves, mv.place)
	m.emit(Resume{Place: mv.place, High: mv.high, Cause: cause})
}

func (m *Moves) release(mv *move) {
	delete(m.moves, mv.place)
	m.emit(Release{Place: mv.place, High: mv.high})
}

func (m *Moves) emit(e Effect) { m.out = append(m.out, e) }

// ordered returns the moves in the order of their places, so that the same
// events give the same effects.
func (m *Moves) ordered() []*move {
	out := make([]*move, 0, len(m.moves))
	for _, mv := range m.moves {
		out = append(out, mv)
	}
	slices.SortFunc(out, func(a, b *move) int {
		if c := cmp.Compare(a.place.Service.String(), b.place.Service.String()); c != 0 {
			return c
		}
		return cmp.Compare(a.place.Low, b.place.Low)
	})
	return out
}
