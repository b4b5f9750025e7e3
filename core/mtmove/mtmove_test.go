package mtmove_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmove"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

var (
	ref = mtid.Ref{Business: "ratins", Service: "mapsvc"}
	a   = mtid.Holder{Daemon: "a", Incarnation: 1}
	b   = mtid.Holder{Daemon: "b", Incarnation: 1}
)

func table(t assert.TestingT) *mtshard.Table {
	created, err := mtshard.New(ref, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 2, Holders: []mtid.Holder{a}})
	assert.NilError(t, err)
	return created
}

func TestInvalidMoveIsRejected(t *testing.T) {
	first := table(t)
	second := first.Shards[1].Low
	moves := mtmove.New(a, 1)
	_, err := moves.Begin(0, first, 0, b)
	assert.NilError(t, err)
	tests := []struct {
		name string
		low  mtid.Point
		to   mtid.Holder
	}{
		{"no shard begins at the point", 5, b},
		{"new owner is the current one", second, a},
		{"no new owner", second, mtid.Holder{}},
		{"already being moved", 0, b},
		{"too many concurrent moves", second, b},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := moves.Begin(0, first, tt.low, tt.to)
			var got *mtmove.BeginError
			assert.Assert(t, errors.As(err, &got), "got %v, want a *mtmove.BeginError", err)
			assert.Equal(t, moves.Len(), 1)
		})
	}
}

// A request in flight runs longer than a move may wait. Callers of the stopped
// shard would wait without limit. Since nothing was written yet, the move must be
// canceled, so that the owner resumes the shard.
func TestSlowRequestCancelsMove(t *testing.T) {
	moves := mtmove.New(a, 4)
	_, err := moves.Begin(0, table(t), 0, b)
	assert.NilError(t, err)
	got := moves.Tick(mtclock.Instant(0).Add(mtmove.PhaseTimeout))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].(mtmove.Resume).Cause, mtmove.CauseSlow)
}

// The reply to the write of a move is lost and the store becomes unavailable. The
// write may still take effect, and if the owner resumed the shard, two daemons
// would serve it. It must stay stopped until another write by the owner succeeded
// or conflicted.
func TestUnknownWriteOutcomeKeepsShardStopped(t *testing.T) {
	moves := mtmove.New(a, 4)
	first := table(t)
	id := mtmove.ShardID{Service: ref, Low: 0}
	_, err := moves.Begin(0, first, 0, b)
	assert.NilError(t, err)
	moves.RangeIdle(0, id)
	moves.HandedOver(0, id)
	assert.Equal(t, len(moves.WriteEnded(0, first, mtmove.OutcomeUnknown)), 0)
	late := mtclock.Instant(0).Add(10 * mtmove.PhaseTimeout)
	assert.Equal(t, len(moves.Tick(late)), 1) // repeats the write
	assert.Equal(t, len(moves.WriteEnded(late, first, mtmove.Unavailable)), 0)
	assert.Assert(t, moves.Moving(id))
}

// The planner splits a shard while its owner moves it. The handover covered the
// whole shard, but the write would move a part of it only, and the owner would
// drop the request identifiers of the part that it retains.
func TestSplitDuringMoveCancelsIt(t *testing.T) {
	moves := mtmove.New(a, 4)
	first := table(t)
	id := mtmove.ShardID{Service: ref, Low: 0}
	_, err := moves.Begin(0, first, 0, b)
	assert.NilError(t, err)
	moves.RangeIdle(0, id)
	split, err := first.Apply(mtroster.WriteID{}, mtshard.Split{Point: 9})
	assert.NilError(t, err)
	moves.ObserveTable(0, split)
	got := moves.HandedOver(0, id)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].(mtmove.Resume).Cause, mtmove.CauseAltered)
}

// Two shards of a chunk are ready while the write for a third one is in flight. A
// concurrent write would be for the same version, and one of the two would conflict
// needlessly. Both shards must go into a single write after the first.
func TestChunkHasOneWriteInFlight(t *testing.T) {
	first, err := mtshard.New(ref, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 3, Holders: []mtid.Holder{a}})
	assert.NilError(t, err)
	moves := mtmove.New(a, 4)
	var writes []mtmove.Write
	for _, shard := range first.Shards {
		id := mtmove.ShardID{Service: ref, Low: shard.Low}
		_, err := moves.Begin(0, first, shard.Low, b)
		assert.NilError(t, err)
		moves.RangeIdle(0, id)
		for _, effect := range moves.HandedOver(0, id) {
			writes = append(writes, effect.(mtmove.Write))
		}
	}
	assert.Equal(t, len(writes), 1)
	second, err := first.Apply(mtroster.WriteID{}, writes[0].Ops...)
	assert.NilError(t, err)
	effects := moves.WriteEnded(0, second, mtmove.Applied)
	assert.Equal(t, len(effects), 2) // the release of the first shard, the write for the others
	assert.Equal(t, len(effects[1].(mtmove.Write).Ops), 2)
}

// stoppedRange is a range that is stopped for a move or was moved away.
type stoppedRange struct{ low, high mtid.Point }

// simulation is a store that may delay writes or lose the replies to them, and the
// moves of one owner.
type simulation struct {
	t        *rapid.T
	now      mtclock.Instant
	stored   *mtshard.Table
	moves    *mtmove.Moves
	stopped  []stoppedRange // ranges that holder a does not serve
	delayed  []mtmove.Write // reply lost, may take effect at any time
	pending  []mtmove.Write // result not yet reported
	sequence uint64
}

func (s *simulation) apply(effects []mtmove.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtmove.Stop:
			s.stopped = append(s.stopped, stoppedRange{low: e.Shard.Low, high: e.High})
		case mtmove.Write:
			s.pending = append(s.pending, e)
		case mtmove.Resume:
			s.stopped = slices.DeleteFunc(s.stopped, func(r stoppedRange) bool { return r.low == e.Shard.Low })
		}
	}
}

// store applies a write if the stored version is still the one that it expects.
func (s *simulation) store(write mtmove.Write) bool {
	if write.Table.Version != s.stored.Version {
		return false
	}
	s.sequence++
	next, err := write.Table.Apply(mtroster.WriteID{Writer: a, Sequence: s.sequence}, write.Ops...)
	assert.NilError(s.t, err)
	s.stored = next
	return true
}

func (s *simulation) finishWrite() {
	write := s.pending[0]
	s.pending = s.pending[1:]
	switch rapid.IntRange(0, 3).Draw(s.t, "result") {
	case 0:
		if s.store(write) {
			s.apply(s.moves.WriteEnded(s.now, s.stored, mtmove.Applied))
			return
		}
		s.apply(s.moves.WriteEnded(s.now, s.stored, mtmove.Conflicted))
	case 1:
		s.apply(s.moves.WriteEnded(s.now, write.Table, mtmove.Unavailable))
	case 2:
		s.store(write)
		s.apply(s.moves.WriteEnded(s.now, write.Table, mtmove.OutcomeUnknown))
	case 3:
		s.delayed = append(s.delayed, write)
		s.apply(s.moves.WriteEnded(s.now, write.Table, mtmove.OutcomeUnknown))
	}
}

// splitShard splits a shard in the store, as a planner would, without notifying
// the owner.
func (s *simulation) splitShard() {
	point := mtid.Point(rapid.Uint64().Draw(s.t, "point"))
	s.sequence++
	next, err := s.stored.Apply(mtroster.WriteID{Writer: b, Sequence: s.sequence}, mtshard.Split{Point: point})
	if err == nil {
		s.stored = next
	}
}

func (s *simulation) step() {
	shard := rapid.SampledFrom(s.stored.Shards).Draw(s.t, "shard")
	id := mtmove.ShardID{Service: ref, Low: shard.Low}
	switch rapid.IntRange(0, 7).Draw(s.t, "event") {
	case 0:
		effects, err := s.moves.Begin(s.now, s.stored, shard.Low, b)
		if err == nil {
			s.apply(effects)
		}
	case 1:
		s.apply(s.moves.RangeIdle(s.now, id))
	case 2:
		s.apply(s.moves.HandedOver(s.now, id))
	case 3:
		s.apply(s.moves.HandoverFailed(s.now, id))
	case 4:
		if len(s.pending) > 0 {
			s.finishWrite()
		}
	case 5:
		s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, mtmove.PhaseTimeout}).Draw(s.t, "pass"))
		s.apply(s.moves.Tick(s.now))
	case 6:
		s.splitShard()
		s.apply(s.moves.ObserveTable(s.now, s.stored))
	case 7:
		if len(s.delayed) > 0 {
			s.store(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	}
}

// The previous owner must never serve a shard that the store assigns to the new
// owner, whichever replies are lost, delayed or negative.
func TestOwnerDoesNotServeMovedShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, stored: table(t), moves: mtmove.New(a, 8)}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.step()
			for _, shard := range s.stored.Shards {
				if shard.Owner == b {
					assert.Assert(t, s.isStopped(shard.Low), "shard %x is served by a but owned by b", shard.Low)
				}
			}
		}
	})
}

// isStopped reports whether holder a does not serve requests at low.
func (s *simulation) isStopped(low mtid.Point) bool {
	return slices.ContainsFunc(s.stopped, func(r stoppedRange) bool { return r.low <= low && low <= r.high })
}
