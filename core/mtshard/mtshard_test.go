package mtshard_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

var (
	ref       = mtid.Ref{Business: "ratins", Service: "mapsvc"}
	a         = mtid.Holder{Daemon: "a", Incarnation: 1}
	b         = mtid.Holder{Daemon: "b", Incarnation: 1}
	c         = mtid.Holder{Daemon: "c", Incarnation: 2}
	noWriteID = mtroster.WriteID{}
)

func created(t *testing.T) *mtshard.Table {
	t.Helper()
	table, err := mtshard.New(ref, 0, 1).Apply(noWriteID, mtshard.Create{Shards: 4, Holders: []mtid.Holder{a, b, c}})
	assert.NilError(t, err)
	return table
}

func TestApplyRejectsInvalidOps(t *testing.T) {
	table := created(t)
	tests := []struct {
		name string
		op   mtshard.Op
	}{
		{"second create", mtshard.Create{Shards: 1, Holders: []mtid.Holder{a}}},
		{"split at a boundary", mtshard.Split{Point: table.Shards[1].Low}},
		{"merge of the first shard", mtshard.Merge{Low: 0}},
		{"merge where no shard begins", mtshard.Merge{Low: 77}},
		{"move where no shard begins", mtshard.Move{Low: 77, To: a}},
		{"move without a new owner", mtshard.Move{Low: 0}},
		{"failover without survivors", mtshard.Failover{Lost: []mtid.Holder{a}}},
		{"failover to the lost", mtshard.Failover{Lost: []mtid.Holder{a}, Survivors: []mtid.Holder{a}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := table.Apply(noWriteID, tt.op)
			var got *mtshard.OpError
			assert.Assert(t, errors.As(err, &got), "got %v, want an OpError", err)
			assert.Equal(t, table.Version, mtid.Version(1))
		})
	}
}

func TestSplitIsolatesSingleKey(t *testing.T) {
	table := created(t)
	hot := ref.Point("hotel-7")
	next, err := table.Apply(noWriteID, mtshard.Split{Point: hot}, mtshard.Split{Point: hot + 1}, mtshard.Move{Low: hot, To: c})
	assert.NilError(t, err)
	got, _ := next.Lookup(hot)
	assert.Equal(t, got.Owner, c)
	high, _ := next.High(hot)
	assert.Equal(t, high, hot)
}

func randomOp(t *rapid.T, table *mtshard.Table) mtshard.Op {
	holders := []mtid.Holder{a, b, c}
	pick := rapid.SampledFrom(table.Shards).Draw(t, "shard")
	to := rapid.SampledFrom(holders).Draw(t, "to")
	point := mtid.Point(rapid.Uint64().Draw(t, "point"))
	return rapid.SampledFrom([]mtshard.Op{
		mtshard.Split{Point: point},
		mtshard.Merge{Low: pick.Low},
		mtshard.Move{Low: pick.Low, To: to},
		mtshard.Failover{Lost: []mtid.Holder{to}, Survivors: []mtid.Holder{{Daemon: to.Daemon, Incarnation: to.Incarnation + 1}}},
		table.CompactFailover(mtshard.Failover{Lost: []mtid.Holder{to}, Survivors: without(table.Owners(), to)}),
	}).Draw(t, "op")
}

func without(holders []mtid.Holder, h mtid.Holder) []mtid.Holder {
	return slices.DeleteFunc(slices.Clone(holders), func(other mtid.Holder) bool { return other == h })
}

// The short form of a failover must assign every shard to the same owner as the
// long form; otherwise daemons of two releases would route to different owners.
func TestCompactFailoverIsEquivalent(t *testing.T) {
	table, err := mtshard.New(ref, 0, 1).Apply(noWriteID, mtshard.Create{Shards: 64, Holders: []mtid.Holder{a, b, c}})
	assert.NilError(t, err)
	tests := []struct {
		name  string
		op    mtshard.Failover
		short bool
	}{
		{"all others survive", mtshard.Failover{Lost: []mtid.Holder{b}, Survivors: []mtid.Holder{c, a}}, true},
		{"an empty server is among the survivors", mtshard.Failover{Lost: []mtid.Holder{b}, Survivors: []mtid.Holder{a, c, {Daemon: "d", Incarnation: 1}}}, false},
		{"an owner that is not lost is no survivor", mtshard.Failover{Lost: []mtid.Holder{b}, Survivors: []mtid.Holder{a}}, false},
		{"the lost holders own nothing", mtshard.Failover{Lost: []mtid.Holder{{Daemon: "d", Incarnation: 1}}, Survivors: []mtid.Holder{a, b, c}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			op := table.CompactFailover(tt.op)
			_, got := op.(mtshard.Evict)
			assert.Equal(t, got, tt.short)
			want, err := table.Apply(noWriteID, tt.op)
			assert.NilError(t, err)
			after, err := table.Apply(noWriteID, op)
			assert.NilError(t, err)
			assert.DeepEqual(t, after.Shards, want.Shards)
		})
	}
}

// A daemon that receives a table as steps and one that reads it from the store
// must agree on every owner; otherwise a request would be relayed to a daemon that
// never owned its key. The epoch must increase with each change of a point's owner.
func TestReplayAndCodecYieldSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := mtshard.New(ref, 0, 1).Apply(noWriteID, mtshard.Create{Shards: 4, Holders: []mtid.Holder{a, b, c}})
		assert.NilError(t, err)
		follower := table
		probe := mtid.Point(rapid.Uint64().Draw(t, "probe"))
		before, _ := table.Lookup(probe)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			next, err := table.Apply(noWriteID, randomOp(t, table))
			if err != nil {
				continue
			}
			table = next
			after, _ := table.Lookup(probe)
			if after.Owner != before.Owner {
				assert.Assert(t, after.Epoch > before.Epoch, "got epoch %d after %d", after.Epoch, before.Epoch)
			}
			assert.Assert(t, after.Epoch >= before.Epoch)
			before = after
		}
		steps, complete := table.StepsSince(follower.Version)
		assert.Assert(t, complete)
		follower, err = follower.Replay(steps)
		assert.NilError(t, err)
		assert.DeepEqual(t, follower.Shards, table.Shards)
		value, err := table.Encode()
		assert.NilError(t, err)
		read, err := mtshard.Decode(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, read, table)
	})
}

// The new owner of a shard must know whether it may trust the request identifiers
// that were handed over. If it trusted those of a canceled move, a payment that
// the previous owner processed afterwards could run a second time.
func TestOriginOfShard(t *testing.T) {
	by := func(h mtid.Holder) mtroster.WriteID { return mtroster.WriteID{Writer: h} }
	create := mtshard.Create{Shards: 2, Holders: []mtid.Holder{a}}
	type step struct {
		by  mtid.Holder
		ops []mtshard.Op
	}
	tests := []struct {
		name          string
		steps         []step
		first, handed bool
	}{
		{"created", []step{{c, []mtshard.Op{create}}}, true, false},
		{"created and moved in one step", []step{{c, []mtshard.Op{create, mtshard.Move{Low: 0, To: b}}}}, true, false},
		{"moved by its owner", []step{{c, []mtshard.Op{create}}, {a, []mtshard.Op{mtshard.Move{Low: 0, To: b}}}}, false, true},
		{"moved by another holder", []step{{c, []mtshard.Op{create}}, {c, []mtshard.Op{mtshard.Move{Low: 0, To: b}}}}, false, false},
		{"lost", []step{{c, []mtshard.Op{create}}, {a, []mtshard.Op{mtshard.Failover{Lost: []mtid.Holder{a}, Survivors: []mtid.Holder{b}}}}}, false, false},
		{"moved, then the previous owner lost", []step{
			{c, []mtshard.Op{create}},
			{a, []mtshard.Op{mtshard.Move{Low: 0, To: b}}},
			{c, []mtshard.Op{mtshard.Failover{Lost: []mtid.Holder{a}, Survivors: []mtid.Holder{b}}}},
		}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := mtshard.New(ref, 0, 1)
			for _, s := range tt.steps {
				next, err := table.Apply(by(s.by), s.ops...)
				assert.NilError(t, err)
				table = next
			}
			assert.Equal(t, table.HasFirstOwner(table.Shards[0]), tt.first)
			assert.Equal(t, table.MovedByHandover(0, a, b), tt.handed)
		})
	}
}

func TestChunksCoverTheRing(t *testing.T) {
	for _, chunks := range []int{1, 2, 3, 7, 64} {
		for chunk := range chunks {
			low := mtshard.ChunkLow(chunk, chunks)
			assert.Equal(t, mtshard.ChunkOf(low, chunks), chunk)
			if chunk > 0 {
				assert.Equal(t, mtshard.ChunkOf(low-1, chunks), chunk-1)
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	table, _ := mtshard.New(ref, 0, 1).Apply(noWriteID, mtshard.Create{Shards: 2, Holders: []mtid.Holder{a}})
	value, _ := table.Encode()
	f.Add(value)
	f.Fuzz(func(_ *testing.T, value []byte) {
		table, err := mtshard.Decode(value)
		if err != nil {
			return
		}
		table.Lookup(1 << 60)
	})
}

// An availability zone is lost. If the survivors selected in each chunk were
// mostly the same holders, the load of the lost zone would overload them.
func TestSurvivorsAreSpreadEvenly(t *testing.T) {
	const chunks, holders = 250, 384
	var among []mtid.Holder
	for i := range holders {
		among = append(among, mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("centrs-%d", i)), Incarnation: 1})
	}
	selected := map[mtid.Holder]int{}
	for chunk := range chunks {
		got := mtshard.New(ref, chunk, chunks).Survivors(among)
		assert.Equal(t, len(got), mtshard.MaxSurvivors)
		for _, h := range got {
			selected[h]++
		}
	}
	mean := float64(chunks*mtshard.MaxSurvivors) / holders
	most := 0
	for _, n := range selected {
		most = max(most, n)
	}
	assert.Assert(t, float64(most) <= 2.5*mean, "a holder is selected in %d chunks, the mean is %.1f", most, mean)
	assert.Assert(t, len(selected) > holders*99/100, "only %d of %d holders are selected", len(selected), holders)
}

// Guards against a number of chunks for which a daemon takes all memory.
func TestTooManyChunksAreNotDecoded(t *testing.T) {
	for chunks, want := range map[int]bool{1: true, mtshard.MaxChunks: true, mtshard.MaxChunks + 1: false, 1<<32 - 1: false} {
		table := mtshard.New(mtid.Ref{Business: "b", Service: "s"}, 0, chunks)
		value, err := table.Encode()
		assert.NilError(t, err)
		_, err = mtshard.Decode(value)
		assert.Equal(t, err == nil, want, chunks)
	}
}
