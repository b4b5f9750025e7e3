package mtsync_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	iostore "magnoliaturn/io/mtstore"
	"magnoliaturn/io/mtsync"
)

// peers are other daemons, by address.
type peers struct {
	mu     sync.Mutex
	views  map[string]*mtview.View
	pulled []bool // for each pull, whether whole tables were asked for
}

var errDown = errors.New("down")

func (p *peers) Pull(_ context.Context, address string, after mtid.Revision, whole bool) (mtview.Delta, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulled = append(p.pulled, whole)
	view, ok := p.views[address]
	if !ok {
		return mtview.Delta{}, errDown
	}
	return view.Delta(after, 1<<20, whole), nil
}

func (p *peers) wholes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, whole := range p.pulled {
		if whole {
			n++
		}
	}
	return n
}

// record writes a daemon's record with an incarnation.
func record(t *testing.T, store *iostore.Memory, d mtid.Daemon, zone mtid.Zone, incarnation mtid.Incarnation) {
	t.Helper()
	r := mtroster.Record{Holder: mtid.Holder{Daemon: d, Incarnation: incarnation}, Zone: zone}
	value, err := r.Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.RosterName(d), mtid.Version(incarnation-1), value, "")
	assert.NilError(t, err)
}

// copyOf returns a peer's copy of what the store holds now.
func copyOf(t *testing.T, store *iostore.Memory, view *mtview.View) *mtview.View {
	t.Helper()
	after := view.Now().Frontier()
	changes, err := store.Watch(context.Background(), mtstore.Live, after, 0)
	assert.NilError(t, err)
	_, err = view.Merge(mtview.FromStore(after, changes))
	assert.NilError(t, err)
	return view
}

func start(t *testing.T, store mtstore.Store, p *peers, seeds ...string) (*mtsync.Sync, *mtview.View) {
	t.Helper()
	view := mtview.New()
	s, cleanUp := mtsync.New(mtsync.Config{
		Self: "self", Zone: "bern-a", Seeds: seeds, Store: store, Peers: p, View: view,
		Count: func(string) {}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(cleanUp)
	return s, view
}

func reaches(view *mtview.View, d mtid.Daemon, incarnation mtid.Incarnation) poll.Check {
	return func(poll.LogT) poll.Result {
		r, _, ok := view.Now().Record(d)
		if ok && r.Holder.Incarnation >= incarnation {
			return poll.Success()
		}
		return poll.Continue("%s@%d is not known yet", d, incarnation)
	}
}

func wait(t *testing.T, check poll.Check) {
	t.Helper()
	poll.WaitOn(t, check, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestStoreIsReadAtStartAndWatched(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	record(t, store, "a", "bern-b", 1)
	s, view := start(t, store, &peers{})
	wait(t, reaches(view, "a", 1))
	changed := make(chan string, 8)
	s.OnChange(func(names []string) { changed <- names[0] })
	record(t, store, "a", "bern-b", 2)
	wait(t, reaches(view, "a", 2))
	assert.Equal(t, <-changed, mtstore.RosterName("a"))
}

// The store is down when a daemon starts. Of its seeds one has started just now
// and knows nothing, one is behind and one is gone: the daemon takes the newest
// that any of them knows, and never falls back from it.
func TestStartDuringOutageTakesTheNewest(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	record(t, store, "a", "bern-b", 1)
	behind := copyOf(t, store, mtview.New())
	record(t, store, "a", "bern-b", 2)
	newest := copyOf(t, store, mtview.New())
	store.SetFaults(iostore.Faults{Down: true})
	p := &peers{views: map[string]*mtview.View{"new": mtview.New(), "newest": newest, "behind": behind}}
	s, view := start(t, store, p, "new", "gone", "newest", "behind")
	wait(t, reaches(view, "a", 2))
	assert.Assert(t, s.Started())
	s.Hint("behind", 99)
	r, _, _ := view.Now().Record("a")
	assert.Equal(t, r.Holder.Incarnation, mtid.Incarnation(2))
}

// The store is cut off from a daemon alone. It hears of a change by a peer's
// datagram and pulls it from there.
func TestHintIsPulled(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	record(t, store, "a", "bern-b", 1)
	ahead := mtview.New()
	p := &peers{views: map[string]*mtview.View{"ahead": ahead}}
	cut := iostore.NewMemory(time.Now)
	cut.SetFaults(iostore.Faults{Down: true})
	copyOf(t, store, ahead)
	s, view := start(t, cut, p)
	s.Hint("ahead", ahead.Now().Frontier())
	wait(t, reaches(view, "a", 1))
}

// A peer sends the steps of a table of which this daemon lacks the beginning.
// With the store down nothing else could bring it in: the whole is asked for.
func TestGapIsFilledByTheWhole(t *testing.T) {
	ref := mtid.Ref{Business: "bundesamt", Service: "loan-desk"}
	store := iostore.NewMemory(time.Now)
	table, err := mtshard.New(ref, 0, 1).Apply(mtroster.Stamp{}, mtshard.Create{Shards: 2, Holders: []mtid.Holder{{Daemon: "a", Incarnation: 1}}})
	assert.NilError(t, err)
	put := func(expected mtid.Version) {
		value, err := table.Encode()
		assert.NilError(t, err)
		_, err = store.Swap(context.Background(), mtstore.ShardName(ref, 0), expected, value, "")
		assert.NilError(t, err)
	}
	put(0)
	record(t, store, "a", "bern-b", 1)
	ahead := copyOf(t, store, mtview.New())
	table, err = table.Apply(mtroster.Stamp{}, mtshard.Split{Point: 5})
	assert.NilError(t, err)
	put(1)
	copyOf(t, store, ahead)
	store.SetFaults(iostore.Faults{Down: true})
	p := &peers{views: map[string]*mtview.View{"ahead": ahead}}
	s, view := start(t, store, p)
	// The daemon passed the table's first version in a delta that was cut.
	_, err = view.Merge(ahead.Delta(0, 1, true))
	assert.NilError(t, err)
	assert.Assert(t, view.Now().Frontier() < ahead.Now().Frontier())
	s.Hint("ahead", ahead.Now().Frontier())
	wait(t, func(poll.LogT) poll.Result {
		if got, ok := view.Now().Table(ref, 0); ok && got.Version == 2 {
			return poll.Success()
		}
		return poll.Continue("the table is not known yet")
	})
	assert.Equal(t, p.wholes(), 1)
}

func TestTwoOfAZoneWatch(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	s, view := start(t, store, &peers{})
	assert.Assert(t, s.Watcher(), "the only one of its zone")
	for _, d := range []mtid.Daemon{"a", "b", "c", "d", "e", "f"} {
		record(t, store, d, "bern-a", 1)
		record(t, store, d+"-elsewhere", "bern-b", 1)
	}
	wait(t, func(l poll.LogT) poll.Result {
		s.Refresh() // who watches no more would wait for the next minute
		return reaches(view, "f-elsewhere", 1)(l)
	})
	ahead := 0
	for _, r := range view.Now().Roster() {
		if r.Zone == "bern-a" && mtid.Rank(r.Holder.Daemon, 0) > mtid.Rank("self", 0) {
			ahead++
		}
	}
	assert.Equal(t, s.Watcher(), ahead < mtsync.WatchersPerZone)
}
