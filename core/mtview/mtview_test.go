package mtview_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
)

var ref = mtid.Ref{Business: "bundesamt", Service: "registry"}

// history is a store that remembers only the newest value of each name.
type history struct {
	revision mtid.Revision
	entries  map[string]mtview.Item
	table    *mtshard.Table
}

func newHistory() *history {
	return &history{entries: map[string]mtview.Item{}, table: mtshard.New(ref, 0, 1)}
}

func (h *history) put(name string, value []byte) {
	h.revision++
	h.entries[name] = mtview.Item{
		Name: name, Version: h.entries[name].Version + 1, Revision: h.revision, Value: value,
	}
}

func (h *history) record(d mtid.Daemon) {
	r := mtroster.Record{Holder: mtid.Holder{Daemon: d, Incarnation: mtid.Incarnation(h.revision + 1)}}
	value, _ := r.Encode()
	h.put(mtstore.RosterName(d), value)
}

func (h *history) change(ops ...mtshard.Op) {
	next, err := h.table.Apply(mtroster.Stamp{Sequence: uint64(h.revision)}, ops...)
	if err != nil {
		return
	}
	h.table = next
	value, _ := next.Encode()
	h.put(mtstore.ShardName(ref, 0), value)
}

func (h *history) since(after mtid.Revision) mtview.Delta {
	d := mtview.Delta{After: after, Revision: h.revision}
	for _, item := range h.entries {
		if item.Revision > after {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

// pull does what a daemon does: it asks for the whole where steps don't fit.
func pull(t *rapid.T, from, to *mtview.View, limit int) {
	_, err := to.Merge(from.Delta(to.Now().Frontier(), limit, false))
	var gap *mtshard.GapError
	if errors.As(err, &gap) {
		_, err = to.Merge(from.Delta(to.Now().Frontier(), limit, true))
	}
	assert.NilError(t, err)
}

// A daemon that pulls only from peers must end with what the store holds, at
// whichever points it pulled, and never see a version go back.
func TestPeersSpreadWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		views := []*mtview.View{mtview.New(), mtview.New(), mtview.New()}
		versions := make([]mtid.Version, len(views))
		holders := []mtid.Holder{{Daemon: "a", Incarnation: 1}, {Daemon: "b", Incarnation: 1}}
		h.change(mtshard.Create{Shards: 3, Holders: holders})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				h.record(mtid.Daemon(fmt.Sprintf("d%d", rapid.IntRange(0, 3).Draw(t, "daemon"))))
			case 1:
				h.change(mtshard.Split{Point: mtid.Point(rapid.Uint64().Draw(t, "point"))})
			case 2:
				h.change(mtshard.Move{Low: 0, To: rapid.SampledFrom(holders).Draw(t, "to")})
			case 3:
				_, err := views[0].Merge(h.since(views[0].Now().Frontier()))
				assert.NilError(t, err)
			case 4:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				to := rapid.IntRange(1, 2).Draw(t, "to")
				limit := rapid.SampledFrom([]int{1, 200, 1 << 20}).Draw(t, "limit")
				pull(t, views[from], views[to], limit)
			}
			for i, v := range views {
				if table, ok := v.Now().Table(ref, 0); ok {
					assert.Assert(t, table.Version >= versions[i])
					versions[i] = table.Version
				}
			}
		}
		_, err := views[0].Merge(h.since(views[0].Now().Frontier()))
		assert.NilError(t, err)
		pull(t, views[0], views[2], 1<<20)
		assert.Equal(t, views[2].Now().Frontier(), h.revision)
		table, _ := views[2].Now().Table(ref, 0)
		assert.DeepEqual(t, table.Shards, h.table.Shards)
		assert.Equal(t, len(views[2].Now().Roster()), len(h.entries)-1)
	})
}

// A daemon pulls in pieces: the first piece ends after a table was written and
// before the same table was written again, so it has passed the first version
// without holding it. The step to the second doesn't fit, and without asking
// for the whole the daemon would route by no table at all.
func TestStepsAfterCutDelta(t *testing.T) {
	h := newHistory()
	source, follower := mtview.New(), mtview.New()
	h.change(mtshard.Create{Shards: 1, Holders: []mtid.Holder{{Daemon: "a", Incarnation: 1}}})
	h.record("a")
	_, err := source.Merge(h.since(0))
	assert.NilError(t, err)
	h.change(mtshard.Split{Point: 1})
	_, err = source.Merge(h.since(2))
	assert.NilError(t, err)
	_, err = follower.Merge(source.Delta(0, 1, false))
	assert.NilError(t, err)
	_, err = follower.Merge(source.Delta(follower.Now().Frontier(), 1<<20, false))
	var gap *mtshard.GapError
	assert.Assert(t, errors.As(err, &gap), "got %v, want a GapError", err)
	_, err = follower.Merge(source.Delta(follower.Now().Frontier(), 1<<20, true))
	assert.NilError(t, err)
	assert.Equal(t, follower.Now().Frontier(), source.Now().Frontier())
}

// A delta that begins after what a daemon knows leaves a hole. If the frontier
// passed it, the daemon would never ask for what lies in the hole, and an old
// bundle would stay in force there.
func TestHoleKeepsFrontier(t *testing.T) {
	h := newHistory()
	h.record("a")
	h.record("b")
	v := mtview.New()
	_, err := v.Merge(h.since(1))
	assert.NilError(t, err)
	assert.Equal(t, v.Now().Frontier(), mtid.Revision(0))
	_, _, ok := v.Now().Record("b")
	assert.Assert(t, ok)
}

// An older value arrives late, from a peer that is behind. The newer one stays.
func TestOldValueChangesNothing(t *testing.T) {
	h := newHistory()
	h.record("a")
	old := h.since(0)
	h.record("a")
	v := mtview.New()
	_, err := v.Merge(h.since(0))
	assert.NilError(t, err)
	changed, err := v.Merge(old)
	assert.NilError(t, err)
	assert.Equal(t, len(changed), 0)
	record, version, _ := v.Now().Record("a")
	assert.Equal(t, version, mtid.Version(2))
	assert.Equal(t, record.Holder.Incarnation, mtid.Incarnation(2))
}

// A value of the store is damaged. Everything else must come into force, and
// the frontier must not claim the damaged one.
func TestDamagedValueKeepsFrontier(t *testing.T) {
	h := newHistory()
	h.record("a")
	h.put(mtstore.RosterName("b"), []byte{0xff})
	v := mtview.New()
	_, err := v.Merge(h.since(0))
	var got *mtview.ItemError
	assert.Assert(t, errors.As(err, &got), "got %v, want an ItemError", err)
	assert.Equal(t, got.Name, mtstore.RosterName("b"))
	assert.Equal(t, v.Now().Frontier(), mtid.Revision(0))
	_, _, ok := v.Now().Record("a")
	assert.Assert(t, ok)
}

// A daemon wrote a table and knows its version before the store's revision of
// it. It must use the new one at once, and take the same version again with its
// revision later.
func TestWroteCountsAtOnce(t *testing.T) {
	h := newHistory()
	a := mtid.Holder{Daemon: "a", Incarnation: 1}
	b := mtid.Holder{Daemon: "b", Incarnation: 1}
	h.change(mtshard.Create{Shards: 1, Holders: []mtid.Holder{a}})
	v := mtview.New()
	_, err := v.Merge(h.since(0))
	assert.NilError(t, err)
	h.change(mtshard.Move{Low: 0, To: b})
	item := h.entries[mtstore.ShardName(ref, 0)]
	fresh, err := v.Wrote(mtview.Item{Name: item.Name, Version: item.Version, Value: item.Value})
	assert.NilError(t, err)
	assert.Assert(t, fresh)
	shard, _ := v.Now().Lookup(ref, 1)
	assert.Equal(t, shard.Owner, b)
	assert.Equal(t, v.Now().Frontier(), mtid.Revision(1))
	_, err = v.Merge(h.since(1))
	assert.NilError(t, err)
	assert.Equal(t, v.Now().Frontier(), mtid.Revision(2))
}
