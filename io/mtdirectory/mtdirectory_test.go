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
	return mtbackend.Record{Daemon: daemon, Address: "a:1", Service: "maps", Incarnation: mtid.ServerIncarnation{Server: "s"}, Slots: 3, State: mtbackend.Ready}
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

// watch waits for what a directory hears after a revision, as another daemon does that
// learns from it.
func watch(ctx context.Context, d *mtdirectory.Directory, after mtid.Revision, epochs mtdirectory.Epochs, wait time.Duration) mtstore.Changes {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changes, next := d.Since(after, epochs)
		if len(changes.Entries) > 0 {
			return changes
		}
		select {
		case <-next:
		case <-ctx.Done():
			return changes
		}
	}
}

// leased writes the record of daemon a and returns the lease under which it stands.
func leased(t *testing.T, store *mtstandin.Revisions) mtstore.LeaseID {
	t.Helper()
	lease, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	value, err := record("a").Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BackendName("a"), 0, value, lease)
	assert.NilError(t, err)
	return lease
}

// comeAndGo lets the record of daemon a stand for a moment.
func comeAndGo(t *testing.T, store *mtstandin.Revisions) {
	t.Helper()
	assert.NilError(t, store.End(context.Background(), leased(t, store)))
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
	next.Incarnation.Server = "next"
	a.Publish(next)
	until(t, "the new life stands", func() bool { return a.Now().Members["a"].Incarnation.Server == "next" })
	time.Sleep(400 * time.Millisecond)
	store.Expire()
	entry, err := store.Get(context.Background(), mtstore.BackendName("a"))
	assert.NilError(t, err)
	got, err := mtbackend.Decode(entry.Value)
	assert.NilError(t, err)
	assert.Equal(t, got.Incarnation.Server, mtid.Server("next"))
}

// A daemon ends while its server is leaving, and the next life of it is back within the
// lease. The record still says what the former life knew; it was deleted with the lease.
func TestALeavingIsKnownToTheNextLife(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	leaving := record("a")
	leaving.State = mtbackend.Draining
	former, end := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler),
	})
	former.Publish(leaving)
	until(t, "the record stands", func() bool { return former.Own() != 0 })
	end()
	told := make(chan mtbackend.Record, 1)
	next, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler),
		Former: func(r mtbackend.Record) { told <- r },
	})
	t.Cleanup(cleanUp)
	next.Publish(mtbackend.Record{Daemon: "a", Address: "a:1", Service: "maps", State: mtbackend.Unknown})
	until(t, "the former life's record is told", func() bool { return len(told) > 0 })
	assert.DeepEqual(t, <-told, leaving)
}

// A watch goes deaf, then the history is forgotten. What was deleted meanwhile
// shows only by its absence.
func TestDeletionsInAForgottenHistoryShow(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	b := start(t, store, "b")
	lease := leased(t, store)
	until(t, "b knows a", func() bool { return seen(b, "a", false) })
	store.Deafen(true)
	assert.NilError(t, store.End(context.Background(), lease))
	store.Put("other", nil)
	store.Compact()
	store.Deafen(false)
	until(t, "b sees that a has lapsed", func() bool { return seen(b, "a", true) })
}

// A daemon starts and reads everything just before another one's record is back. It hears
// nothing for three seconds, and then that the record has gone again. It counted from its
// own start how long that daemon could have granted keys, and took them 1.9 s after
// the record had gone: two servers held them.
func TestARecordThatCameAndWentUnseenCountsFromItsEnd(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	b := start(t, store, "b")
	until(t, "b has read all", func() bool { return b.Now().Revision != 0 })
	store.Deafen(true)
	comeAndGo(t, store)
	store.Deafen(false)
	until(t, "b knows that a's record has gone", func() bool { return seen(b, "a", true) })
}

// The record of a daemon has gone, is back and goes again, and another daemon hears only
// of the last of these: it was cut off, or learned from one that tells the last state.
// Its daemon ordered grants until then. Counted from the first end, the keys were taken
// while the last grant was in force.
func TestARecordThatWentAgainCountsFromItsLastEnd(t *testing.T) {
	for name, hear := range map[string]func(store *mtstandin.Revisions){
		"by a watch": func(store *mtstandin.Revisions) { store.Deafen(false) },
		"by a reading of everything": func(store *mtstandin.Revisions) {
			store.Compact()
			store.Deafen(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisions(time.Now)
			b := start(t, store, "b")
			until(t, "b has read all", func() bool { return b.Now().Revision != 0 })
			comeAndGo(t, store)
			until(t, "b knows that a's record has gone", func() bool { return seen(b, "a", true) })
			first := b.Now()
			store.Deafen(true)
			comeAndGo(t, store)
			store.Put("other", nil)
			hear(store)
			until(t, "b has heard of what came later", func() bool { return b.Now().Revision > first.Revision })
			assert.Assert(t, seen(b, "a", true))
			assert.Assert(t, b.Now().Members["a"].Since > first.Members["a"].Since, "counted from the first end")
		})
	}
}

// Somebody deletes the record of a daemon whose lease goes on. The renewal of the lease
// succeeds, so that the daemon took its record for certain and ordered grants, while all
// others counted until they would take its keys.
func TestARecordThatIsDeletedIsWrittenAgain(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	a := start(t, store, "a")
	a.Publish(record("a"))
	until(t, "a's record stands", func() bool { return seen(a, "a", false) && a.Certain() != 0 })
	before := a.Own()
	store.Delete(mtstore.BackendName("a"))
	until(t, "a's record stands again", func() bool { return a.Own() > before && seen(a, "a", false) })
	_, err := store.Get(context.Background(), mtstore.BackendName("a"))
	assert.NilError(t, err)
}

// Only some daemons watch the store; the others ask one of those. What they are
// told is what a watch would have told, deletions included, and nothing old.
func TestWhatOthersLearnIsWhatAWatchTells(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	b := start(t, store, "b")
	lease := leased(t, store)
	table, err := mtrange.Spread("maps", []mtrange.Owner{{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "s"}}})
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	store.Put(mtstore.RangeName("maps"), value)
	until(t, "b has read all", func() bool { return seen(b, "a", false) && len(b.Now().Assignments) == 1 })
	all := watch(t.Context(), b, 0, nil, time.Second)
	assert.Equal(t, len(all.Entries), 2)
	none := watch(t.Context(), b, all.Revision, nil, time.Millisecond)
	assert.Equal(t, len(none.Entries), 0)
	assert.Equal(t, none.Revision, all.Revision)
	ahead := watch(t.Context(), b, all.Revision+100, nil, time.Millisecond)
	assert.Equal(t, ahead.Revision, all.Revision+100, "who knows more is not led back")
	assert.NilError(t, store.End(context.Background(), lease))
	gone := watch(t.Context(), b, all.Revision, nil, 10*time.Second)
	assert.Equal(t, len(gone.Entries), 1)
	assert.Equal(t, gone.Entries[0].Name, mtstore.BackendName("a"))
	assert.Equal(t, gone.Entries[0].Version, mtid.Version(0))
}

// teacher is where a pupil learns: another directory, which tells it patches.
type teacher struct {
	store   *mtstandin.Revisions
	of      *mtdirectory.Directory
	pupil   *mtdirectory.Directory
	patches atomic.Int64
}

// Watch implements mtwatch.Source.
func (s *teacher) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if after == 0 {
		return s.store.Watch(ctx, prefix, after, wait)
	}
	changes := watch(ctx, s.of, after, s.pupil.Now().Epochs(), wait)
	for _, e := range changes.Entries {
		if patch, err := mtrange.DecodePatch(e.Value); err == nil && patch != nil {
			s.patches.Add(1)
		}
	}
	return changes, nil
}

// Keys move all day, and most daemons learn of it from another one. They are told
// only what has changed, and have the same assignment as whoever watches the store.
func TestAssignmentsAreLearnedByPatches(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	watching := start(t, store, "a")
	table, err := mtrange.Spread("maps", []mtrange.Owner{{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "s"}}, {Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}})
	assert.NilError(t, err)
	put := func() {
		value, err := table.Encode()
		assert.NilError(t, err)
		store.Put(mtstore.RangeName("maps"), value)
	}
	put()
	source := &teacher{store: store, of: watching}
	ready := make(chan struct{})
	pupil, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "b", Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
		Source: gated{source, ready},
	})
	t.Cleanup(cleanUp)
	source.pupil = pupil
	close(ready)
	for key := range mtid.KeyNumber(20) {
		table, err = table.Move(key*10, key*10+3, mtrange.Owner{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}, "")
		assert.NilError(t, err)
		put()
	}
	until(t, "the pupil has the last table", func() bool {
		a, ok := pupil.Now().Assignments["maps"]
		return ok && a.Next == table.Next
	})
	assert.DeepEqual(t, pupil.Now().Assignments["maps"].Table, table)
	taught := watch(t.Context(), pupil, 0, nil, time.Second)
	last, err := mtrange.Decode(taught.Entries[len(taught.Entries)-1].Value)
	assert.NilError(t, err, "what it passes on must be whole")
	assert.DeepEqual(t, last, table)
	table, err = table.Move(900, 909, mtrange.Owner{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}, "")
	assert.NilError(t, err)
	put()
	until(t, "the pupil has the next table", func() bool { return pupil.Now().Assignments["maps"].Next == table.Next })
	assert.Assert(t, source.patches.Load() > 0)
}

// gated lets nobody learn before it is ready.
type gated struct {
	*teacher
	ready <-chan struct{}
}

// Watch implements mtwatch.Source.
func (g gated) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	<-g.ready
	return g.teacher.Watch(ctx, prefix, after, wait)
}

// A daemon goes by its own write at once, and an older answer of the watch does
// not take it back.
func TestLearnNeverGoesBack(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	b := start(t, store, "b")
	first, err := mtrange.Spread("maps", []mtrange.Owner{{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "s"}}})
	assert.NilError(t, err)
	second, err := first.Move(0, 9, mtrange.Owner{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}, "")
	assert.NilError(t, err)
	b.Learn(mtdirectory.Assignment{Table: second, Version: 9})
	b.Learn(mtdirectory.Assignment{Table: first, Version: 8})
	assert.Equal(t, b.Now().Assignments["maps"].Version, mtid.Version(9))
	assert.Equal(t, b.Seen(), mtid.Version(9))
}

// A daemon's server was lost, and its record says what was in flight. The others must hear
// of that with the record, or the same requests take the next server.
func TestWhatADaemonSuspectsReachesTheOthers(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	told := make(chan mtbackend.Record, 8)
	_, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "b", Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
		Heard: func(r mtbackend.Record) { told <- r },
	})
	t.Cleanup(cleanUp)
	lost := record("a")
	lost.State, lost.Suspects = mtbackend.Ended, "1:2a:2b"
	start(t, store, "a").Publish(lost)
	assert.DeepEqual(t, <-told, lost)
}
