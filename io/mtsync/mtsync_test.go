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

// peers simulates other daemons, by address.
type peers struct {
	mu     sync.Mutex
	views  map[string]*mtview.View
	pulled []bool // for each pull, whether a full delta was requested
}

var errDown = errors.New("down")

func (p *peers) Pull(_ context.Context, address string, after mtid.Revision, full bool) (mtview.Delta, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulled = append(p.pulled, full)
	view, ok := p.views[address]
	if !ok {
		return mtview.Delta{}, errDown
	}
	return view.Delta(after, 1<<20, full), nil
}

func (p *peers) fullPulls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, full := range p.pulled {
		if full {
			n++
		}
	}
	return n
}

// record writes a daemon's record with the given incarnation.
func record(t *testing.T, store *iostore.Memory, d mtid.Daemon, zone mtid.Zone, incarnation mtid.Incarnation) {
	t.Helper()
	r := mtroster.Record{Holder: mtid.Holder{Daemon: d, Incarnation: incarnation}, Zone: zone}
	value, err := r.Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.RosterName(d), mtid.Version(incarnation-1), value, "")
	assert.NilError(t, err)
}

// copyOf updates a peer's copy to the current state of the store, and returns it.
func copyOf(t *testing.T, store *iostore.Memory, view *mtview.View) *mtview.View {
	t.Helper()
	after := view.Snapshot().Frontier()
	changes, err := store.Watch(context.Background(), mtstore.LivePrefix, after, 0)
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

func hasRecord(view *mtview.View, d mtid.Daemon, incarnation mtid.Incarnation) poll.Check {
	return func(poll.LogT) poll.Result {
		r, _, ok := view.Snapshot().Record(d)
		if ok && r.Holder.Incarnation >= incarnation {
			return poll.Success()
		}
		return poll.Continue("record %s@%d has not been received yet", d, incarnation)
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
	wait(t, hasRecord(view, "a", 1))
	changed := make(chan string, 8)
	s.OnChange(func(names []string) { changed <- names[0] })
	record(t, store, "a", "bern-b", 2)
	wait(t, hasRecord(view, "a", 2))
	assert.Equal(t, <-changed, mtstore.RosterName("a"))
}

// The store is down when a daemon starts. Of its seeds, one has just started with an empty
// copy, one is behind and one is unreachable. The daemon must adopt the newest state of any
// of them, and never fall back to an older one.
func TestStartDuringOutageAdoptsNewestSeed(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	record(t, store, "a", "bern-b", 1)
	behind := copyOf(t, store, mtview.New())
	record(t, store, "a", "bern-b", 2)
	newest := copyOf(t, store, mtview.New())
	store.SetFaults(iostore.Faults{Down: true})
	p := &peers{views: map[string]*mtview.View{"new": mtview.New(), "newest": newest, "behind": behind}}
	s, view := start(t, store, p, "new", "gone", "newest", "behind")
	wait(t, hasRecord(view, "a", 2))
	assert.Assert(t, s.Loaded())
	s.Hint("behind", 99)
	r, _, _ := view.Snapshot().Record("a")
	assert.Equal(t, r.Holder.Incarnation, mtid.Incarnation(2))
}

// One daemon is disconnected from the store. It receives a hint from a peer that is ahead,
// and must pull the change from that peer.
func TestHintTriggersPull(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	record(t, store, "a", "bern-b", 1)
	ahead := mtview.New()
	p := &peers{views: map[string]*mtview.View{"ahead": ahead}}
	cut := iostore.NewMemory(time.Now)
	cut.SetFaults(iostore.Faults{Down: true})
	copyOf(t, store, ahead)
	s, view := start(t, cut, p)
	s.Hint("ahead", ahead.Snapshot().Frontier())
	wait(t, hasRecord(view, "a", 1))
}

// A peer sends an assignment as steps of which the daemon lacks the first ones, and the
// store is down. The daemon must request a full delta from the peer, since the steps alone
// never apply.
func TestGapIsFilledByFullDelta(t *testing.T) {
	ref := mtid.Ref{Business: "bundesamt", Service: "loan-desk"}
	store := iostore.NewMemory(time.Now)
	table, err := mtshard.New(ref, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 2, Holders: []mtid.Holder{{Daemon: "a", Incarnation: 1}}})
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
	table, err = table.Apply(mtroster.WriteID{}, mtshard.Split{Point: 5})
	assert.NilError(t, err)
	put(1)
	copyOf(t, store, ahead)
	store.SetFaults(iostore.Faults{Down: true})
	p := &peers{views: map[string]*mtview.View{"ahead": ahead}}
	s, view := start(t, store, p)
	// The daemon has passed the first version of the table in a truncated delta.
	_, err = view.Merge(ahead.Delta(0, 1, true))
	assert.NilError(t, err)
	assert.Assert(t, view.Snapshot().Frontier() < ahead.Snapshot().Frontier())
	s.Hint("ahead", ahead.Snapshot().Frontier())
	wait(t, func(poll.LogT) poll.Result {
		if got, ok := view.Snapshot().Table(ref, 0); ok && got.Version == 2 {
			return poll.Success()
		}
		return poll.Continue("version 2 of the table has not been received yet")
	})
	assert.Equal(t, p.fullPulls(), 1)
}

func TestTwoDaemonsPerZoneWatch(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	s, view := start(t, store, &peers{})
	assert.Assert(t, s.IsWatcher(), "the only daemon of its zone must watch")
	for _, d := range []mtid.Daemon{"a", "b", "c", "d", "e", "f"} {
		record(t, store, d, "bern-a", 1)
		record(t, store, d+"-elsewhere", "bern-b", 1)
	}
	wait(t, func(l poll.LogT) poll.Result {
		s.Refresh() // if this daemon is no longer a watcher, the next read would be a minute away
		return hasRecord(view, "f-elsewhere", 1)(l)
	})
	ahead := 0
	for _, r := range view.Snapshot().Roster() {
		if r.Zone == "bern-a" && mtid.Rank(r.Holder.Daemon, 0) > mtid.Rank("self", 0) {
			ahead++
		}
	}
	assert.Equal(t, s.IsWatcher(), ahead < mtsync.WatchersPerZone)
}
