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
	created, err := mtshard.New(ref, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 2, Among: []mtid.Holder{a}})
	assert.NilError(t, err)
	return created
}

func TestWantIsRefused(t *testing.T) {
	first := table(t)
	second := first.Shards[1].Low
	moves := mtmove.New(a, 1)
	_, err := moves.Want(0, first, 0, b)
	assert.NilError(t, err)
	tests := []struct {
		name string
		low  mtid.Point
		to   mtid.Holder
	}{
		{"no shard begins there", 5, b},
		{"no other holder", second, a},
		{"nobody", second, mtid.Holder{}},
		{"on the move already", 0, b},
		{"too many at once", second, b},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := moves.Want(0, first, tt.low, tt.to)
			var got *mtmove.WantError
			assert.Assert(t, errors.As(err, &got), "got %v, want a WantError", err)
			assert.Equal(t, moves.Len(), 1)
		})
	}
}

// A request in flight outlasts the patience of a move. Callers of the shard
// would wait for it to no end; instead the shard goes on where it is, since
// nothing was written yet.
func TestSlowRequestEndsMove(t *testing.T) {
	moves := mtmove.New(a, 4)
	_, err := moves.Want(0, table(t), 0, b)
	assert.NilError(t, err)
	got := moves.Tick(mtclock.Instant(0).Add(mtmove.Patience))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].(mtmove.Resume).Cause, mtmove.CauseSlow)
}

// The answer to the write of a move is lost, the store stays silent, and the
// owner would like to serve on. The write may still land, and then two daemons
// would own the shard: it must stay stopped until a write of its own succeeded
// or was refused.
func TestDoubtfulWriteKeepsShardStopped(t *testing.T) {
	moves := mtmove.New(a, 4)
	first := table(t)
	place := mtmove.Place{Service: ref, Low: 0}
	_, err := moves.Want(0, first, 0, b)
	assert.NilError(t, err)
	moves.Quiet(0, place)
	moves.HandedOver(0, place)
	assert.Equal(t, len(moves.Wrote(0, first, mtmove.InDoubt)), 0)
	late := mtclock.Instant(0).Add(10 * mtmove.Patience)
	assert.Equal(t, len(moves.Tick(late)), 1) // writes again
	assert.Equal(t, len(moves.Wrote(late, first, mtmove.Unavailable)), 0)
	assert.Assert(t, moves.Moving(place))
}

// The planner splits a shard while its owner stops it for a move. The handover was
// for the whole; a write would move a part of it, and the owner would drop the
// memory of the part that it keeps.
func TestSplitMeanwhileEndsTheMove(t *testing.T) {
	moves := mtmove.New(a, 4)
	first := table(t)
	place := mtmove.Place{Service: ref, Low: 0}
	_, err := moves.Want(0, first, 0, b)
	assert.NilError(t, err)
	moves.Quiet(0, place)
	split, err := first.Apply(mtroster.WriteID{}, mtshard.Split{Point: 9})
	assert.NilError(t, err)
	moves.See(0, split)
	got := moves.HandedOver(0, place)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].(mtmove.Resume).Cause, mtmove.CauseAltered)
}

// Two shards of a chunk are ready while a third one's write is under way. A write
// beside it would be for the same version, and one of the two would be refused
// for nothing; they go in one write after it.
func TestWritesOfAChunkComeOneByOne(t *testing.T) {
	first, err := mtshard.New(ref, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 3, Among: []mtid.Holder{a}})
	assert.NilError(t, err)
	moves := mtmove.New(a, 4)
	var writes []mtmove.Write
	for _, shard := range first.Shards {
		place := mtmove.Place{Service: ref, Low: shard.Low}
		_, err := moves.Want(0, first, shard.Low, b)
		assert.NilError(t, err)
		moves.Quiet(0, place)
		for _, effect := range moves.HandedOver(0, place) {
			writes = append(writes, effect.(mtmove.Write))
		}
	}
	assert.Equal(t, len(writes), 1)
	second, err := first.Apply(mtroster.WriteID{}, writes[0].Ops...)
	assert.NilError(t, err)
	effects := moves.Wrote(0, second, mtmove.Landed)
	assert.Equal(t, len(effects), 2) // the release of the first, the write of the others
	assert.Equal(t, len(effects[1].(mtmove.Write).Ops), 2)
}

// closed is a range that is stopped for a move or gone by one.
type closed struct{ low, high mtid.Point }

// world is a store with writes that land late or lose their answers, and the
// moves of one owner.
type world struct {
	t       *rapid.T
	now     mtclock.Instant
	stored  *mtshard.Table
	moves   *mtmove.Moves
	closed  []closed       // ranges that a does not serve
	late    []mtmove.Write // sent, answer lost, may land any time
	pending []mtmove.Write // not yet answered
	steps   uint64
}

func (w *world) do(effects []mtmove.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtmove.Stop:
			w.closed = append(w.closed, closed{low: e.Place.Low, high: e.High})
		case mtmove.Write:
			w.pending = append(w.pending, e)
		case mtmove.Resume:
			w.closed = slices.DeleteFunc(w.closed, func(c closed) bool { return c.low == e.Place.Low })
		}
	}
}

// land applies a write if its version still fits.
func (w *world) land(write mtmove.Write) bool {
	if write.Table.Version != w.stored.Version {
		return false
	}
	w.steps++
	next, err := write.Table.Apply(mtroster.WriteID{Writer: a, Sequence: w.steps}, write.Ops...)
	assert.NilError(w.t, err)
	w.stored = next
	return true
}

func (w *world) answer() {
	write := w.pending[0]
	w.pending = w.pending[1:]
	switch rapid.IntRange(0, 3).Draw(w.t, "result") {
	case 0:
		if w.land(write) {
			w.do(w.moves.Wrote(w.now, w.stored, mtmove.Landed))
			return
		}
		w.do(w.moves.Wrote(w.now, w.stored, mtmove.Refused))
	case 1:
		w.do(w.moves.Wrote(w.now, write.Table, mtmove.Unavailable))
	case 2:
		w.land(write)
		w.do(w.moves.Wrote(w.now, write.Table, mtmove.InDoubt))
	case 3:
		w.late = append(w.late, write)
		w.do(w.moves.Wrote(w.now, write.Table, mtmove.InDoubt))
	}
}

// planner splits or merges behind the owner's back.
func (w *world) planner() {
	point := mtid.Point(rapid.Uint64().Draw(w.t, "point"))
	w.steps++
	next, err := w.stored.Apply(mtroster.WriteID{Writer: b, Sequence: w.steps}, mtshard.Split{Point: point})
	if err == nil {
		w.stored = next
	}
}

func (w *world) step() {
	shard := rapid.SampledFrom(w.stored.Shards).Draw(w.t, "shard")
	place := mtmove.Place{Service: ref, Low: shard.Low}
	switch rapid.IntRange(0, 7).Draw(w.t, "event") {
	case 0:
		effects, err := w.moves.Want(w.now, w.stored, shard.Low, b)
		if err == nil {
			w.do(effects)
		}
	case 1:
		w.do(w.moves.Quiet(w.now, place))
	case 2:
		w.do(w.moves.HandedOver(w.now, place))
	case 3:
		w.do(w.moves.HandoverFailed(w.now, place))
	case 4:
		if len(w.pending) > 0 {
			w.answer()
		}
	case 5:
		w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, mtmove.Patience}).Draw(w.t, "pass"))
		w.do(w.moves.Tick(w.now))
	case 6:
		w.planner()
		w.do(w.moves.See(w.now, w.stored))
	case 7:
		if len(w.late) > 0 {
			w.land(w.late[0])
			w.late = w.late[1:]
		}
	}
}

// A caller must never find a shard served at its old owner while the store
// names the new one, whatever answers are lost, late or refused.
func TestServedShardIsOwned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, stored: table(t), moves: mtmove.New(a, 8)}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
			for _, shard := range w.stored.Shards {
				if shard.Owner == b {
					assert.Assert(t, w.isClosed(shard.Low), "shard %x is served by a and owned by b", shard.Low)
				}
			}
		}
	})
}

// isClosed reports whether a serves nothing at low.
func (w *world) isClosed(low mtid.Point) bool {
	return slices.ContainsFunc(w.closed, func(c closed) bool { return c.low <= low && low <= c.high })
}
