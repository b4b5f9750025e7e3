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

// fakeStore retains only the newest value of each name.
type fakeStore struct {
	revision mtid.Revision
	entries  map[string]mtview.Item
	table    *mtshard.Table
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]mtview.Item{}, table: mtshard.New(ref, 0, 1)}
}

func (s *fakeStore) put(name string, value []byte) {
	s.revision++
	s.entries[name] = mtview.Item{
		Name: name, Version: s.entries[name].Version + 1, Revision: s.revision, Value: value,
	}
}

func (s *fakeStore) record(d mtid.Daemon) {
	r := mtroster.Record{Holder: mtid.Holder{Daemon: d, Incarnation: mtid.Incarnation(s.revision + 1)}}
	value, _ := r.Encode()
	s.put(mtstore.RosterName(d), value)
}

func (s *fakeStore) change(ops ...mtshard.Op) {
	next, err := s.table.Apply(mtroster.WriteID{Sequence: uint64(s.revision)}, ops...)
	if err != nil {
		return
	}
	s.table = next
	value, _ := next.Encode()
	s.put(mtstore.ShardName(ref, 0), value)
}

func (s *fakeStore) since(after mtid.Revision) mtview.Delta {
	d := mtview.Delta{After: after, Revision: s.revision}
	for _, item := range s.entries {
		if item.Revision > after {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

// pull does what a daemon does: it requests a full delta if the steps do not
// apply.
func pull(t *rapid.T, from, to *mtview.View, limit int) {
	_, err := to.Merge(from.Delta(to.Snapshot().Frontier(), limit, false))
	var gap *mtshard.GapError
	if errors.As(err, &gap) {
		_, err = to.Merge(from.Delta(to.Snapshot().Frontier(), limit, true))
	}
	assert.NilError(t, err)
}

// A daemon that only pulls from peers must converge to the state of the store,
// no matter when it pulled, and must never return to an older version.
func TestPullsConvergeToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		views := []*mtview.View{mtview.New(), mtview.New(), mtview.New()}
		versions := make([]mtid.Version, len(views))
		holders := []mtid.Holder{{Daemon: "a", Incarnation: 1}, {Daemon: "b", Incarnation: 1}}
		store.change(mtshard.Create{Shards: 3, Holders: holders})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				store.record(mtid.Daemon(fmt.Sprintf("d%d", rapid.IntRange(0, 3).Draw(t, "daemon"))))
			case 1:
				store.change(mtshard.Split{Point: mtid.Point(rapid.Uint64().Draw(t, "point"))})
			case 2:
				store.change(mtshard.Move{Low: 0, To: rapid.SampledFrom(holders).Draw(t, "to")})
			case 3:
				_, err := views[0].Merge(store.since(views[0].Snapshot().Frontier()))
				assert.NilError(t, err)
			case 4:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				to := rapid.IntRange(1, 2).Draw(t, "to")
				limit := rapid.SampledFrom([]int{1, 200, 1 << 20}).Draw(t, "limit")
				pull(t, views[from], views[to], limit)
			}
			for i, v := range views {
				if table, ok := v.Snapshot().Table(ref, 0); ok {
					assert.Assert(t, table.Version >= versions[i])
					versions[i] = table.Version
				}
			}
		}
		_, err := views[0].Merge(store.since(views[0].Snapshot().Frontier()))
		assert.NilError(t, err)
		pull(t, views[0], views[2], 1<<20)
		assert.Equal(t, views[2].Snapshot().Frontier(), store.revision)
		table, _ := views[2].Snapshot().Table(ref, 0)
		assert.DeepEqual(t, table.Shards, store.table.Shards)
		assert.Equal(t, len(views[2].Snapshot().Roster()), len(store.entries)-1)
	})
}

// A truncated delta ends at a revision between two writes of one table, after the
// first of them was already replaced. The frontier passes the first version, which
// the daemon never held, so the step to the second does not apply. If the daemon
// did not request a full delta, it would have no table to route by.
func TestTruncatedDeltaRequiresFullDelta(t *testing.T) {
	store := newFakeStore()
	upstream, follower := mtview.New(), mtview.New()
	store.change(mtshard.Create{Shards: 1, Holders: []mtid.Holder{{Daemon: "a", Incarnation: 1}}})
	store.record("a")
	_, err := upstream.Merge(store.since(0))
	assert.NilError(t, err)
	store.change(mtshard.Split{Point: 1})
	_, err = upstream.Merge(store.since(2))
	assert.NilError(t, err)
	_, err = follower.Merge(upstream.Delta(0, 1, false))
	assert.NilError(t, err)
	_, err = follower.Merge(upstream.Delta(follower.Snapshot().Frontier(), 1<<20, false))
	var gap *mtshard.GapError
	assert.Assert(t, errors.As(err, &gap), "got %v, want a GapError", err)
	_, err = follower.Merge(upstream.Delta(follower.Snapshot().Frontier(), 1<<20, true))
	assert.NilError(t, err)
	assert.Equal(t, follower.Snapshot().Frontier(), upstream.Snapshot().Frontier())
}

// A delta that begins after the frontier of a daemon leaves a gap. If the frontier
// advanced past the gap, the daemon would never request the missing changes, and
// could keep using an old bundle.
func TestGapDoesNotAdvanceFrontier(t *testing.T) {
	store := newFakeStore()
	store.record("a")
	store.record("b")
	v := mtview.New()
	_, err := v.Merge(store.since(1))
	assert.NilError(t, err)
	assert.Equal(t, v.Snapshot().Frontier(), mtid.Revision(0))
	_, _, ok := v.Snapshot().Record("b")
	assert.Assert(t, ok)
}

// An outdated value that arrives late, from a peer that is behind, must not
// replace the newer one.
func TestStaleDeltaIsIgnored(t *testing.T) {
	store := newFakeStore()
	store.record("a")
	stale := store.since(0)
	store.record("a")
	v := mtview.New()
	_, err := v.Merge(store.since(0))
	assert.NilError(t, err)
	changed, err := v.Merge(stale)
	assert.NilError(t, err)
	assert.Equal(t, len(changed), 0)
	record, version, _ := v.Snapshot().Record("a")
	assert.Equal(t, version, mtid.Version(2))
	assert.Equal(t, record.Holder.Incarnation, mtid.Incarnation(2))
}

// A value in the store is corrupt. All other values must be applied, and the
// frontier must not advance past the corrupt one.
func TestCorruptValueDoesNotAdvanceFrontier(t *testing.T) {
	store := newFakeStore()
	store.record("a")
	store.put(mtstore.RosterName("b"), []byte{0xff})
	v := mtview.New()
	_, err := v.Merge(store.since(0))
	var got *mtview.ItemError
	assert.Assert(t, errors.As(err, &got), "got %v, want an ItemError", err)
	assert.Equal(t, got.Name, mtstore.RosterName("b"))
	assert.Equal(t, v.Snapshot().Frontier(), mtid.Revision(0))
	_, _, ok := v.Snapshot().Record("a")
	assert.Assert(t, ok)
}

// Guards against a copy under another name that takes the place of what it was copied from.
func TestCopiesUnderOtherNamesAreNotUsed(t *testing.T) {
	store := newFakeStore()
	store.record("a")
	store.change(mtshard.Create{Shards: 1, Holders: []mtid.Holder{{Daemon: "a", Incarnation: 1}}})
	more := *store.table
	more.Chunks, more.Version = 5, 1
	copied, err := more.Encode()
	assert.NilError(t, err)
	for _, name := range []string{mtstore.ShardName(ref, 1), mtstore.ShardName(ref, 0) + "0", mtstore.ShardPrefix + "copy"} {
		store.put(name, copied)
	}
	other, err := (&mtroster.Record{Holder: mtid.Holder{Daemon: "a", Incarnation: 9}}).Encode()
	assert.NilError(t, err)
	store.put(mtstore.RosterName("b"), other)
	v := mtview.New()
	_, err = v.Merge(store.since(0))
	assert.NilError(t, err)
	assert.Equal(t, v.Snapshot().Frontier(), store.revision)
	assert.Equal(t, len(v.Snapshot().Tables(ref)), 1)
	assert.Equal(t, len(v.Snapshot().Roster()), 1)
}

// A daemon that wrote a table knows the new version before its revision. It must
// use the new table immediately, and later accept the same version again together
// with its revision.
func TestOwnWriteIsVisibleImmediately(t *testing.T) {
	store := newFakeStore()
	a := mtid.Holder{Daemon: "a", Incarnation: 1}
	b := mtid.Holder{Daemon: "b", Incarnation: 1}
	store.change(mtshard.Create{Shards: 1, Holders: []mtid.Holder{a}})
	v := mtview.New()
	_, err := v.Merge(store.since(0))
	assert.NilError(t, err)
	store.change(mtshard.Move{Low: 0, To: b})
	item := store.entries[mtstore.ShardName(ref, 0)]
	updated, err := v.ApplyWrite(mtview.Item{Name: item.Name, Version: item.Version, Value: item.Value})
	assert.NilError(t, err)
	assert.Assert(t, updated)
	shard, _ := v.Snapshot().Lookup(ref, 1)
	assert.Equal(t, shard.Owner, b)
	assert.Equal(t, v.Snapshot().Frontier(), mtid.Revision(1))
	_, err = v.Merge(store.since(1))
	assert.NilError(t, err)
	assert.Equal(t, v.Snapshot().Frontier(), mtid.Revision(2))
}
