package mtdirectory_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

const lease = 600 * time.Millisecond

func start(t *testing.T, store *mtstandin.Revisions, self mtid.Daemon) *mtdirectory.Directory {
	t.Helper()
	d, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: self, Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(cleanUp)
	return d
}

func record(daemon mtid.Daemon) mtbackend.Record {
	return mtbackend.Record{Daemon: daemon, Service: "maps", Server: "s", Slots: 3, State: mtbackend.Ready}
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

// seen reports whether d knows the record of a daemon, lapsed or not.
func seen(d *mtdirectory.Directory, daemon mtid.Daemon, lapsed bool) bool {
	m, ok := d.Now().Members[daemon]
	return ok && m.Lapsed == lapsed
}

// Leases run out while the store is away, although the daemon lives. Its record
// is back as soon as the store is, and others know it all the while as lapsed.
func TestARecordThatLapsedIsWrittenAgain(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	a, b := start(t, store, "a"), start(t, store, "b")
	a.Publish(record("a"))
	until(t, "b knows a", func() bool { return seen(b, "a", false) })
	var down atomic.Bool
	down.Store(true)
	store.Fail(func(op, _ string) error {
		if op == "watch" || !down.Load() {
			return nil
		}
		return &mtstore.UnavailableError{Op: op, Err: errors.New("busy")}
	})
	store.Lapse()
	until(t, "b sees that a has lapsed", func() bool { return seen(b, "a", true) })
	until(t, "a is not certain any more", func() bool { return a.Certain() == 0 || a.Certain().Before(mttime.New().Now()) })
	down.Store(false)
	until(t, "a is back", func() bool { return seen(b, "a", false) })
	until(t, "a is certain", func() bool { return a.Certain() != 0 })
}

// A daemon is restarted, and the record of its former life still stands under a
// lease that nobody renews. The new life takes the name over; when the old lease
// ends, the record stays.
func TestANewLifeTakesItsRecordOver(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	old, err := store.Grant(context.Background(), 300*time.Millisecond)
	assert.NilError(t, err)
	value, err := record("a").Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BackendName("a"), 0, value, old)
	assert.NilError(t, err)
	a := start(t, store, "a")
	next := record("a")
	next.Server = "next"
	a.Publish(next)
	until(t, "the new life stands", func() bool { return a.Now().Members["a"].Server == "next" })
	time.Sleep(400 * time.Millisecond)
	store.Expire()
	entry, err := store.Get(context.Background(), mtstore.BackendName("a"))
	assert.NilError(t, err)
	got, err := mtbackend.Decode(entry.Value)
	assert.NilError(t, err)
	assert.Equal(t, got.Server, mtid.Server("next"))
}

// A watch goes deaf, then the history is forgotten. What was deleted meanwhile
// shows only by its absence.
func TestDeletionsInAForgottenHistoryShow(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	b := start(t, store, "b")
	lease, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	value, err := record("a").Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BackendName("a"), 0, value, lease)
	assert.NilError(t, err)
	until(t, "b knows a", func() bool { return seen(b, "a", false) })
	store.Deafen(true)
	assert.NilError(t, store.End(context.Background(), lease))
	store.Put("other", nil)
	store.Compact()
	store.Deafen(false)
	until(t, "b sees that a has lapsed", func() bool { return seen(b, "a", true) })
}

// Only some daemons watch the store; the others ask one of those. What they are
// told is what a watch would have told, deletions included, and nothing old.
func TestWhatOthersLearnIsWhatAWatchTells(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	b := start(t, store, "b")
	lease, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BackendName("a"), 0, []byte(`{"daemon":"a"}`), lease)
	assert.NilError(t, err)
	table, err := mtrange.Spread("maps", []mtrange.Owner{{Daemon: "a", Server: "s"}})
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	store.Put(mtstore.RangeName("maps"), value)
	until(t, "b has read all", func() bool { return seen(b, "a", false) && len(b.Now().Assignments) == 1 })
	all := b.Watch(t.Context(), 0, time.Second)
	assert.Equal(t, len(all.Entries), 2)
	none := b.Watch(t.Context(), all.Revision, time.Millisecond)
	assert.Equal(t, len(none.Entries), 0)
	assert.Equal(t, none.Revision, all.Revision)
	ahead := b.Watch(t.Context(), all.Revision+100, time.Millisecond)
	assert.Equal(t, ahead.Revision, all.Revision+100, "who knows more is not led back")
	assert.NilError(t, store.End(context.Background(), lease))
	gone := b.Watch(t.Context(), all.Revision, 10*time.Second)
	assert.Equal(t, len(gone.Entries), 1)
	assert.Equal(t, gone.Entries[0].Name, mtstore.BackendName("a"))
	assert.Equal(t, gone.Entries[0].Version, mtid.Version(0))
}

// A daemon goes by its own write at once, and an older answer of the watch does
// not take it back.
func TestLearnNeverGoesBack(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	b := start(t, store, "b")
	first, err := mtrange.Spread("maps", []mtrange.Owner{{Daemon: "a", Server: "s"}})
	assert.NilError(t, err)
	second, err := first.Move(0, 9, mtrange.Owner{Daemon: "b", Server: "t"}, "")
	assert.NilError(t, err)
	b.Learn(mtdirectory.Assignment{Table: second, Version: 9})
	b.Learn(mtdirectory.Assignment{Table: first, Version: 8})
	assert.Equal(t, b.Now().Assignments["maps"].Version, mtid.Version(9))
	assert.Equal(t, b.Seen(), mtid.Version(9))
}
