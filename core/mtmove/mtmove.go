// Package mtmove implements the owner's side of a planned move: stop a shard, let
// the requests in flight finish, hand over the recent request identifiers, and
// only then change the owner in the store.
//
// The current owner executes the move, since only the owner can stop itself
// without waiting for a lease to expire. A planner merely requests it. So a planner
// that is lost during a move leaves no state behind, a new owner that is lost
// before the write never enters the table, and the keys of an owner that is lost
// are taken over as usual.
//
// Until a write is attempted, the owner may resume a stopped shard. Afterwards it
// may not, since the write may still take effect later. It repeats the write
// instead. If that succeeds, the shard has moved. If it conflicts, the version has
// changed, so the previous write can't take effect any more and the table read
// from the store is authoritative.
//
// # Usage
//
//	moves := mtmove.New(self, limit)
//	effects := moves.Begin(now, table, low, to)
//	for _, effect := range effects {
//		switch e := effect.(type) {
//		case mtmove.Stop:     // stop the range at the gate; then call RangeIdle
//		case mtmove.Handover: // send identifiers to e.To; then call HandedOver or HandoverFailed
//		case mtmove.Write:    // apply e.Ops and swap; then call WriteEnded
//		case mtmove.Resume:   // the shard was not moved: admit requests again
//		case mtmove.Release:  // the shard has a new owner: forward the waiting requests
//		}
//	}
//
// A Moves isn't safe for concurrent use: a single goroutine owns it.
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

// PhaseTimeout is how long a shard may stay in each phase before a write, that is,
// while its requests in flight finish and while the identifiers are handed over.
// If a request runs longer, the move is canceled; the planner may request it again.
const PhaseTimeout = 10 * time.Second

// DefaultLimit is the usual limit on concurrent moves of a daemon.
const DefaultLimit = 64

// ShardID identifies a shard of a service by its first point.
type ShardID struct {
	Service mtid.Ref
	Low     mtid.Point
}

// Effect is an action that the caller has to carry out.
type Effect interface{ effect() }

// Stop requests that new requests for a range be held back, and that RangeIdle be
// called when none is in flight.
type Stop struct {
	Shard ShardID
	High  mtid.Point
}

// Handover requests that the recent request identifiers of a range be sent to its
// new owner.
type Handover struct {
	Shard ShardID
	High  mtid.Point
	To    mtid.Holder
}

// Write requests a compare-and-swap of a chunk from Table to the table with Ops
// applied. The caller reports the result by exactly one call to WriteEnded.
type Write struct {
	Table *mtshard.Table
	Ops   []mtshard.Op
}

// Resume reports that a move was canceled: the shard remains with this owner.
type Resume struct {
	Shard ShardID
	High  mtid.Point
	Cause Cause
}

// Release reports that the shard has another owner now.
type Release struct {
	Shard ShardID
	High  mtid.Point
}

func (Stop) effect()     {}
func (Handover) effect() {}
func (Write) effect()    {}
func (Resume) effect()   {}
func (Release) effect()  {}

// Cause is the reason why a move was canceled.
type Cause string

// The causes of a Resume.
const (
	CauseSlow    Cause = "slow"    // requests in flight took longer than PhaseTimeout
	CauseRefused Cause = "refused" // the new owner did not accept the identifiers
	CauseStore   Cause = "store"   // the store did not accept the write
	CauseOverdue Cause = "overdue" // the handover of the identifiers took too long
	CauseAltered Cause = "altered" // the bounds of the shard changed during the move
)

// BeginError reports that a move was not begun.
type BeginError struct {
	Shard  ShardID
	Reason string
}

// Error implements error.
func (e *BeginError) Error() string {
	return fmt.Sprintf("move: %s from %x: %s", e.Shard.Service, uint64(e.Shard.Low), e.Reason)
}

// phase is the progress of a move.
type phase int

const (
	stopping    phase = iota // waits for a call to RangeIdle
	handingOver              // waits for a call to HandedOver or HandoverFailed
	ready                    // waits for the next write of its chunk
	writing                  // part of a write in flight
)

type move struct {
	id         ShardID
	high       mtid.Point
	to         mtid.Holder
	phaseSince mtclock.Instant
	phase      phase
	// outcomeUnknown is whether a write that includes this move has an unknown
	// outcome.
	outcomeUnknown bool
}

// enter starts a phase, and with it the time that the phase may take.
func (mv *move) enter(now mtclock.Instant, next phase) {
	mv.phase, mv.phaseSince = next, now
}

// chunkID identifies a chunk of a service.
type chunkID struct {
	service mtid.Ref
	number  int
}

// WriteResult is the outcome of a write.
type WriteResult int

// The results of a write.
const (
	Applied        WriteResult = iota // the write took effect
	Conflicted                        // the version had changed: it did not take effect and never will
	Unavailable                       // the store did not accept the call: it did not take effect and never will
	OutcomeUnknown                    // it may have taken effect, or may still do so
)

// Moves is the state machine of all planned moves of one daemon's shards.
type Moves struct {
	self     mtid.Holder
	limit    int
	moves    map[ShardID]*move
	tables   map[chunkID]*mtshard.Table // the latest known version of each chunk
	inFlight map[chunkID][]*move        // the moves in the write in flight, by chunk
	effects  []Effect
}

// New returns a state machine without moves for one incarnation of a daemon, which
// moves at most limit shards concurrently.
func New(self mtid.Holder, limit int) *Moves {
	return &Moves{
		self:     self,
		limit:    limit,
		moves:    make(map[ShardID]*move),
		tables:   make(map[chunkID]*mtshard.Table),
		inFlight: make(map[chunkID][]*move),
	}
}

// Len returns the number of shards that are being moved.
func (m *Moves) Len() int { return len(m.moves) }

// Moving reports whether a shard is being moved.
func (m *Moves) Moving(id ShardID) bool { return m.moves[id] != nil }

// Begin starts to move the shard that begins at low to another holder. On an
// error, which is a *BeginError, the state does not change.
func (m *Moves) Begin(now mtclock.Instant, table *mtshard.Table, low mtid.Point, to mtid.Holder) ([]Effect, error) {
	m.effects = nil
	id := ShardID{Service: table.Service, Low: low}
	high, ok := table.High(low)
	if reason := m.rejectReason(table, id, to, ok); reason != "" {
		return nil, &BeginError{Shard: id, Reason: reason}
	}
	m.observe(table)
	m.moves[id] = &move{id: id, high: high, to: to, phaseSince: now, phase: stopping}
	m.emit(Stop{Shard: id, High: high})
	return m.effects, nil
}

func (m *Moves) rejectReason(table *mtshard.Table, id ShardID, to mtid.Holder, begins bool) string {
	shard, _ := table.Lookup(id.Low)
	switch {
	case !begins:
		return "no shard begins there"
	case shard.Owner != m.self:
		return "owned by " + shard.Owner.String()
	case to == m.self || to.IsZero():
		return "no other holder named"
	case m.moves[id] != nil:
		return "on the move already"
	case len(m.moves) >= m.limit:
		return "too many shards on the move"
	}
	return ""
}

// RangeIdle reports that no request is in flight in a stopped range.
func (m *Moves) RangeIdle(now mtclock.Instant, id ShardID) []Effect {
	m.effects = nil
	mv := m.moves[id]
	if mv == nil || mv.phase != stopping {
		return nil
	}
	mv.enter(now, handingOver)
	m.emit(Handover{Shard: id, High: mv.high, To: mv.to})
	return m.effects
}

// HandedOver reports that the new owner has accepted the recent identifiers.
func (m *Moves) HandedOver(now mtclock.Instant, id ShardID) []Effect {
	m.effects = nil
	mv := m.moves[id]
	if mv == nil || mv.phase != handingOver {
		return nil
	}
	mv.enter(now, ready)
	m.startWrite(m.chunkOf(id))
	return m.effects
}

// HandoverFailed reports that the new owner did not accept the identifiers, or
// that it is not known whether it did. The move is canceled: if the new owner
// lacked an identifier, it would run a resent request a second time.
func (m *Moves) HandoverFailed(_ mtclock.Instant, id ShardID) []Effect {
	m.effects = nil
	if mv := m.moves[id]; mv != nil && mv.phase == handingOver {
		m.resume(mv, CauseRefused)
	}
	return m.effects
}

// WriteEnded reports the result of the write of a chunk. table is the latest
// version that the caller knows: after Applied the one that was written, after
// Conflicted the one read from the store.
func (m *Moves) WriteEnded(now mtclock.Instant, table *mtshard.Table, result WriteResult) []Effect {
	m.effects = nil
	c := chunkID{service: table.Service, number: table.Chunk}
	finished := m.inFlight[c]
	delete(m.inFlight, c)
	m.observe(table)
	for _, mv := range finished {
		m.finishWrite(now, mv, result)
	}
	// After a failure of the store, the write is repeated by Tick only, which limits
	// the rate of attempts.
	if result == Applied || result == Conflicted {
		m.startWrite(c)
	}
	return m.effects
}

// finishWrite updates a move after a write that included it.
func (m *Moves) finishWrite(now mtclock.Instant, mv *move, result WriteResult) {
	switch result {
	case Applied:
		m.release(mv)
	case Conflicted:
		// The version has changed, so no previous write can take effect any more
		// and the table is authoritative.
		mv.outcomeUnknown = false
		if m.stillValid(mv) {
			mv.enter(now, ready)
		}
	case Unavailable:
		if mv.outcomeUnknown {
			mv.phase = ready
			return
		}
		m.resume(mv, CauseStore)
	case OutcomeUnknown:
		mv.outcomeUnknown = true
		mv.phase = ready
	}
}

// ObserveTable processes a table of a chunk that was received from a peer or from
// the store. Moves of shards that have another owner by now are released.
func (m *Moves) ObserveTable(_ mtclock.Instant, table *mtshard.Table) []Effect {
	m.effects = nil
	m.observe(table)
	for _, mv := range m.ordered() {
		if m.chunkOf(mv.id) != (chunkID{service: table.Service, number: table.Chunk}) || mv.phase == writing {
			continue
		}
		if shard, ok := table.Lookup(mv.id.Low); ok && shard.Owner != m.self {
			m.release(mv)
		}
	}
	return m.effects
}

// Tick cancels moves that take too long and starts or repeats pending writes. It
// is called a few times a second.
func (m *Moves) Tick(now mtclock.Instant) []Effect {
	m.effects = nil
	for _, mv := range m.ordered() {
		if now.Sub(mv.phaseSince) < PhaseTimeout {
			continue
		}
		switch mv.phase {
		case stopping:
			m.resume(mv, CauseSlow)
		case handingOver:
			m.resume(mv, CauseOverdue)
		}
	}
	for _, mv := range m.ordered() {
		m.startWrite(m.chunkOf(mv.id))
	}
	return m.effects
}

// startWrite starts a single write for all ready moves of a chunk, unless a write
// of the chunk is in flight.
func (m *Moves) startWrite(c chunkID) {
	if m.inFlight[c] != nil {
		return
	}
	var batch []*move
	var ops []mtshard.Op
	for _, mv := range m.ordered() {
		if mv.phase == ready && m.chunkOf(mv.id) == c && m.stillValid(mv) {
			mv.phase = writing
			batch = append(batch, mv)
			ops = append(ops, mtshard.Move{Low: mv.id.Low, To: mv.to})
		}
	}
	if len(batch) == 0 {
		return
	}
	m.inFlight[c] = batch
	m.emit(Write{Table: m.tables[c], Ops: ops})
}

// stillValid reports whether a move can be applied to the latest table, and ends
// the move if not: the shard may have another owner, or the planner may have split
// it in the meantime.
func (m *Moves) stillValid(mv *move) bool {
	table := m.tables[m.chunkOf(mv.id)]
	shard, _ := table.Lookup(mv.id.Low)
	high, begins := table.High(mv.id.Low)
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

func (m *Moves) observe(table *mtshard.Table) {
	c := chunkID{service: table.Service, number: table.Chunk}
	if old := m.tables[c]; old == nil || old.Version < table.Version {
		m.tables[c] = table
	}
}

func (m *Moves) chunkOf(id ShardID) chunkID {
	for c, t := range m.tables {
		if c.service == id.Service && mtshard.ChunkOf(id.Low, t.Chunks) == c.number {
			return c
		}
	}
	return chunkID{service: id.Service}
}

func (m *Moves) resume(mv *move, cause Cause) {
	delete(m.moves, mv.id)
	m.emit(Resume{Shard: mv.id, High: mv.high, Cause: cause})
}

func (m *Moves) release(mv *move) {
	delete(m.moves, mv.id)
	m.emit(Release{Shard: mv.id, High: mv.high})
}

func (m *Moves) emit(e Effect) { m.effects = append(m.effects, e) }

// ordered returns the moves ordered by service and first point, so that the same
// events always produce the same effects.
func (m *Moves) ordered() []*move {
	out := make([]*move, 0, len(m.moves))
	for _, mv := range m.moves {
		out = append(out, mv)
	}
	slices.SortFunc(out, func(a, b *move) int {
		if c := cmp.Compare(a.id.Service.String(), b.id.Service.String()); c != 0 {
			return c
		}
		return cmp.Compare(a.id.Low, b.id.Low)
	})
	return out
}
