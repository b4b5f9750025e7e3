package mtdirectory_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
	"magnoliaturn/io/mtwatch"
)

const lease = 600 * time.Millisecond

func start(t *testing.T, store *mtstandin.RevisionStore, self mtid.Daemon) *mtdirectory.Directory {
	t.Helper()
	return startWith(t, store, self, nil)
}

func startWith(t *testing.T, store *mtstandin.RevisionStore, self mtid.Daemon, onUpdate func(mtwatch.Update)) *mtdirectory.Directory {
	t.Helper()
	d, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: self, Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler), OnUpdate: onUpdate,
	})
	t.Cleanup(cleanUp)
	return d
}

func record(daemon mtid.Daemon) mtbackend.Record {
	return mtbackend.Record{Daemon: daemon, Address: "a:1", Service: "maps", Incarnation: mtid.ServerIncarnation{Server: "s"}, Slots: 3, State: mtbackend.Ready}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

// knowsRecord reports whether d knows the record of a daemon in the given state,
// expired or not.
func knowsRecord(d *mtdirectory.Directory, daemon mtid.Daemon, expired bool) bool {
	m, ok := d.View().Members[daemon]
	return ok && m.Expired == expired
}

// waitForChanges waits for the changes that a directory receives after a revision, as
// another daemon does whose upstream it is.
func waitForChanges(ctx context.Context, d *mtdirectory.Directory, after mtid.Revision, epochs mtdirectory.Epochs, wait time.Duration) mtstore.Changes {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changes, next := d.ChangesSince(after, epochs)
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

// writeLeasedRecord writes the record of daemon a and returns its lease.
func writeLeasedRecord(t *testing.T, store *mtstandin.RevisionStore) mtstore.LeaseID {
	t.Helper()
	lease, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	value, err := record("a").Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BackendName(0, "a"), 0, value, lease)
	assert.NilError(t, err)
	return lease
}

// writeAndDelete writes the record of daemon a and deletes it again by ending its
// lease.
func writeAndDelete(t *testing.T, store *mtstandin.RevisionStore) {
	t.Helper()
	assert.NilError(t, store.End(context.Background(), writeLeasedRecord(t, store)))
}

// Leases expire while the store is unavailable, although the daemon is running. Its
// record must be written again once the store has recovered; until then other daemons
// see it as expired.
func TestExpiredRecordIsRewritten(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a, b := start(t, store, "a"), start(t, store, "b")
	a.Publish(record("a"))
	waitFor(t, "b knows the record of a", func() bool { return knowsRecord(b, "a", false) })
	var down atomic.Bool
	down.Store(true)
	store.Fail(func(op, _ string) error {
		if op == "watch" || !down.Load() {
			return nil
		}
		return &mtstore.UnavailableError{Op: op, Err: errors.New("busy")}
	})
	store.EndLeases()
	waitFor(t, "b sees the record of a as expired", func() bool { return knowsRecord(b, "a", true) })
	waitFor(t, "a's record is no longer certainly valid", func() bool { return a.RecordValidUntil() == 0 || a.RecordValidUntil().Before(mttime.New().Now()) })
	down.Store(false)
	waitFor(t, "a's record is present again", func() bool { return knowsRecord(b, "a", false) })
	waitFor(t, "a's record is certainly valid", func() bool { return a.RecordValidUntil() != 0 })
}

// A daemon is restarted while the record of its previous incarnation exists under a lease
// that is no longer renewed. The new incarnation must replace the record, which must still
// exist after the old lease has expired.
func TestNewIncarnationReplacesRecord(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	old, err := store.Grant(context.Background(), 300*time.Millisecond)
	assert.NilError(t, err)
	value, err := record("a").Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BackendName(0, "a"), 0, value, old)
	assert.NilError(t, err)
	a := start(t, store, "a")
	next := record("a")
	next.Incarnation.Server = "next"
	a.Publish(next)
	waitFor(t, "the record of the new incarnation is present", func() bool { return a.View().Members["a"].Incarnation.Server == "next" })
	time.Sleep(400 * time.Millisecond)
	store.ExpireLeases()
	entry, err := store.Get(context.Background(), mtstore.BackendName(0, "a"))
	assert.NilError(t, err)
	got, err := mtbackend.Decode(entry.Value)
	assert.NilError(t, err)
	assert.Equal(t, got.Incarnation.Server, mtid.Server("next"))
}

// A daemon terminates while its server is draining, and restarts before the lease
// expires. The record must pass on what the previous incarnation knew; it used to be
// deleted with the lease.
func TestNextIncarnationReceivesDrainingRecord(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	draining := record("a")
	draining.State = mtbackend.Draining
	previous, end := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler),
	})
	previous.Publish(draining)
	waitFor(t, "the record is present", func() bool { return previous.RecordVersion() != 0 })
	end()
	received := make(chan mtbackend.Record, 1)
	next, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler),
		OnPreviousRecord: func(r mtbackend.Record) { received <- r },
	})
	t.Cleanup(cleanUp)
	next.Publish(mtbackend.Record{Daemon: "a", Address: "a:1", Service: "maps", State: mtbackend.Unknown})
	waitFor(t, "the record of the previous incarnation is reported", func() bool { return len(received) > 0 })
	assert.DeepEqual(t, <-received, draining)
}

// A watch receives nothing until the history has been compacted. Deletions in that
// time show only as missing entries.
func TestDeletionsInCompactedHistoryAreDetected(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	b := start(t, store, "b")
	lease := writeLeasedRecord(t, store)
	waitFor(t, "b knows the record of a", func() bool { return knowsRecord(b, "a", false) })
	store.SuppressWatchEvents(true)
	assert.NilError(t, store.End(context.Background(), lease))
	store.Put("other", nil)
	store.Compact()
	store.SuppressWatchEvents(false)
	waitFor(t, "b sees the record of a as expired", func() bool { return knowsRecord(b, "a", true) })
}

// A daemon starts and reads everything just before another daemon's record returns. It
// receives no changes for three seconds, and then the deletion of that record. When it
// counted the expiry of the other daemon's grants from its own start, it took the keys
// over 1.9 s after the deletion, and two servers held them.
func TestUnseenRecordExpiresAtItsDeletion(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	b := start(t, store, "b")
	waitFor(t, "b has read everything", func() bool { return b.View().Revision != 0 })
	store.SuppressWatchEvents(true)
	writeAndDelete(t, store)
	store.SuppressWatchEvents(false)
	waitFor(t, "b sees the deletion of a's record", func() bool { return knowsRecord(b, "a", true) })
}

// A record is deleted, returns and is deleted again, and another daemon is notified
// only of the last deletion: it was disconnected, or its upstream reports only the
// latest state. The daemon of the record sent grants until then. When the time was
// counted from the first deletion, the keys were taken over while the last grant was
// in force.
func TestExpiryCountsFromLastDeletion(t *testing.T) {
	for name, resume := range map[string]func(store *mtstandin.RevisionStore){
		"through a watch": func(store *mtstandin.RevisionStore) { store.SuppressWatchEvents(false) },
		"through a full read": func(store *mtstandin.RevisionStore) {
			store.Compact()
			store.SuppressWatchEvents(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisionStore(time.Now)
			b := start(t, store, "b")
			waitFor(t, "b has read everything", func() bool { return b.View().Revision != 0 })
			writeAndDelete(t, store)
			waitFor(t, "b sees the deletion of a's record", func() bool { return knowsRecord(b, "a", true) })
			first := b.View()
			store.SuppressWatchEvents(true)
			writeAndDelete(t, store)
			store.Put("other", nil)
			resume(store)
			waitFor(t, "b has received the later changes", func() bool { return b.View().Revision > first.Revision })
			assert.Assert(t, knowsRecord(b, "a", true))
			assert.Assert(t, b.View().Members["a"].ExpiredSince > first.Members["a"].ExpiredSince, "counted from the first deletion")
		})
	}
}

// Another writer deletes a daemon's record without ending its lease. Renewals of the
// lease succeed, so the daemon considered its record valid and sent grants, while
// all other daemons counted down to taking over its keys.
func TestDeletedRecordIsRewritten(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a := start(t, store, "a")
	a.Publish(record("a"))
	waitFor(t, "a's record is valid", func() bool { return knowsRecord(a, "a", false) && a.RecordValidUntil() != 0 })
	before := a.RecordVersion()
	store.Delete(mtstore.BackendName(0, "a"))
	waitFor(t, "a's record is valid again", func() bool { return a.RecordVersion() > before && knowsRecord(a, "a", false) })
	_, err := store.Get(context.Background(), mtstore.BackendName(0, "a"))
	assert.NilError(t, err)
}

// Only some daemons watch the store; the others use one of those as upstream. They
// must receive the same changes as from a watch, including deletions and without old
// entries.
func TestDownstreamReceivesSameChangesAsWatch(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	b := start(t, store, "b")
	lease := writeLeasedRecord(t, store)
	table, err := mtrange.Spread("maps", 0, []mtrange.Owner{{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "s"}}})
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	store.Put(mtstore.RangeName(0, "maps"), value)
	waitFor(t, "b has read everything", func() bool { return knowsRecord(b, "a", false) && len(b.View().Assignments) == 1 })
	all := waitForChanges(t.Context(), b, 0, nil, time.Second)
	assert.Equal(t, len(all.Entries), 2)
	none := waitForChanges(t.Context(), b, all.Revision, nil, time.Millisecond)
	assert.Equal(t, len(none.Entries), 0)
	assert.Equal(t, none.Revision, all.Revision)
	ahead := waitForChanges(t.Context(), b, all.Revision+100, nil, time.Millisecond)
	assert.Equal(t, ahead.Revision, all.Revision+100, "the revision must not be lower than the requested one")
	assert.NilError(t, store.End(context.Background(), lease))
	deleted := waitForChanges(t.Context(), b, all.Revision, nil, 10*time.Second)
	assert.Equal(t, len(deleted.Entries), 1)
	assert.Equal(t, deleted.Entries[0].Name, mtstore.BackendName(0, "a"))
	assert.Equal(t, deleted.Entries[0].Version, mtid.Version(0))
}

// upstreamSource is a source of changes that reads from another directory, which sends
// patches.
type upstreamSource struct {
	store      *mtstandin.RevisionStore
	upstream   *mtdirectory.Directory
	downstream *mtdirectory.Directory
	patches    atomic.Int64
}

// Watch implements mtwatch.Source.
func (s *upstreamSource) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if after == 0 {
		return s.store.Watch(ctx, prefix, after, wait)
	}
	changes := waitForChanges(ctx, s.upstream, after, s.downstream.View().Epochs(), wait)
	for _, e := range changes.Entries {
		if patch, err := mtrange.DecodePatch(e.Value); err == nil && patch != nil {
			s.patches.Add(1)
		}
	}
	return changes, nil
}

// Keys move all the time, and most daemons receive the changes from another daemon.
// They must receive only patches, and end up with the same assignment as a daemon that
// watches the store.
func TestAssignmentsPropagateAsPatches(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	upstream := start(t, store, "a")
	table, err := mtrange.Spread("maps", 0, []mtrange.Owner{{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "s"}}, {Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}})
	assert.NilError(t, err)
	put := func() {
		value, err := table.Encode()
		assert.NilError(t, err)
		store.Put(mtstore.RangeName(0, "maps"), value)
	}
	put()
	source := &upstreamSource{store: store, upstream: upstream}
	ready := make(chan struct{})
	downstream, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "b", Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
		Source: delayedSource{source, ready},
	})
	t.Cleanup(cleanUp)
	source.downstream = downstream
	close(ready)
	for key := range mtid.KeyNumber(20) {
		table, err = table.Move(key*10, key*10+3, mtrange.Owner{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}, "")
		assert.NilError(t, err)
		put()
	}
	waitFor(t, "the downstream daemon has the last table", func() bool {
		a, ok := downstream.View().Assignments["maps"]
		return ok && a.Next == table.Next
	})
	assert.DeepEqual(t, downstream.View().Assignments["maps"].Table, table)
	changes := waitForChanges(t.Context(), downstream, 0, nil, time.Second)
	last, err := mtrange.Decode(changes.Entries[len(changes.Entries)-1].Value)
	assert.NilError(t, err, "the assignment that it passes on must be complete")
	assert.DeepEqual(t, last, table)
	table, err = table.Move(900, 909, mtrange.Owner{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}, "")
	assert.NilError(t, err)
	put()
	waitFor(t, "the downstream daemon has the next table", func() bool { return downstream.View().Assignments["maps"].Next == table.Next })
	assert.Assert(t, source.patches.Load() > 0)
}

// delayedSource is an upstreamSource that blocks until it is ready.
type delayedSource struct {
	*upstreamSource
	ready <-chan struct{}
}

// Watch implements mtwatch.Source.
func (g delayedSource) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	<-g.ready
	return g.upstreamSource.Watch(ctx, prefix, after, wait)
}

// A daemon uses its own write immediately. An older assignment that the watch delivers
// later must not replace it.
func TestOlderAssignmentIsIgnored(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	b := start(t, store, "b")
	first, err := mtrange.Spread("maps", 0, []mtrange.Owner{{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "s"}}})
	assert.NilError(t, err)
	second, err := first.Move(0, 9, mtrange.Owner{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}, "")
	assert.NilError(t, err)
	b.ApplyAssignment(mtdirectory.Assignment{Table: second, Version: 9})
	b.ApplyAssignment(mtdirectory.Assignment{Table: first, Version: 8})
	assert.Equal(t, b.View().Assignments["maps"].Version, mtid.Version(9))
	assert.Equal(t, b.NewestVersion(), mtid.Version(9))
}

// Guards against a request that crashes servers and is known only to the daemons of that moment:
// each loss must reach the others before the record that says so, and those that start later.
func TestLossReachesOtherDaemonsBeforeRecordAndLater(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	loss := mtpoison.Loss{ID: mtpoison.LossID{Daemon: "a", Server: mtid.ServerIncarnation{Server: "s", Started: 7}}, Suspects: []mtpoison.Fingerprint{0x2a, 0x2b}}
	observe := func(self mtid.Daemon) (*mtdirectory.Directory, chan mtpoison.Loss) {
		received := make(chan mtpoison.Loss, 8)
		d, cleanUp := mtdirectory.New(mtdirectory.Config{
			Self: self, Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
			OnLoss: func(l mtpoison.Loss) { received <- l },
		})
		t.Cleanup(cleanUp)
		return d, received
	}
	running, known := observe("b")
	source := start(t, store, "a")
	source.PublishLoss(loss)
	lost := record("a")
	lost.State = mtbackend.Ended
	source.Publish(lost)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running.View().Members["a"].State == mtbackend.Ended {
			return poll.Success()
		}
		return poll.Continue("the record has not arrived")
	})
	assert.Equal(t, len(known), 1, "the record arrived first")
	assert.DeepEqual(t, <-known, loss)
	_, later := observe("c")
	assert.DeepEqual(t, <-later, loss)
}

// slowStore executes each call that maintains a record at once, and answers it after a while.
type slowStore struct {
	*mtstandin.RevisionStore
	delay time.Duration
}

// answer returns err after the delay, or that there was no answer.
func (s *slowStore) answer(ctx context.Context, op string, err error) error {
	select {
	case <-time.After(s.delay):
		return err
	case <-ctx.Done():
		return &mtstore.UnknownError{Op: op, Err: ctx.Err()}
	}
}

// Grant implements mtstore.Store.
func (s *slowStore) Grant(ctx context.Context, ttl time.Duration) (mtstore.LeaseID, error) {
	id, err := s.RevisionStore.Grant(ctx, ttl)
	return id, s.answer(ctx, "grant", err)
}

// Renew implements mtstore.Store.
func (s *slowStore) Renew(ctx context.Context, id mtstore.LeaseID) error {
	return s.answer(ctx, "renew", s.RevisionStore.Renew(ctx, id))
}

// Swap implements mtstore.Store.
func (s *slowStore) Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	version, err := s.RevisionStore.Swap(ctx, name, expected, value, lease)
	return version, s.answer(ctx, "swap", err)
}

// Commit implements mtstore.ConditionalStore.
func (s *slowStore) Commit(ctx context.Context, conditions []mtstore.Condition, puts ...mtstore.Put) (mtid.Version, error) {
	version, err := s.RevisionStore.Commit(ctx, conditions, puts...)
	return version, s.answer(ctx, "swap", err)
}

// Guards against a record that is never written, or never known to be, because the calls of an attempt together take longer than it may.
func TestRecordIsWrittenWhileStoreIsSlow(t *testing.T) {
	for name, previous := range map[string]bool{"first process": false, "record of the previous process": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &slowStore{RevisionStore: mtstandin.NewRevisionStore(time.Now), delay: 450 * time.Millisecond}
			if previous {
				value, err := record("a").Encode()
				assert.NilError(t, err)
				store.Put(mtstore.BackendName(0, "a"), value)
			}
			d, cleanUp := mtdirectory.New(mtdirectory.Config{Self: "a", Store: store, Clock: mttime.New(), Lease: 2 * time.Second, Log: slog.New(slog.DiscardHandler)})
			t.Cleanup(cleanUp)
			changed := record("a")
			d.Publish(changed)
			waitFor(t, "the record is written", func() bool { return d.RecordVersion() != 0 })
			version := d.RecordVersion()
			changed.Slots++
			d.Publish(changed)
			waitFor(t, "its change is written", func() bool { return d.RecordVersion() > version })
		})
	}
}

// Guards against a lease that expires while a slow store is given many losses, and against a later record that overtakes them.
func TestLossesDoNotDelayRenewals(t *testing.T) {
	store := &slowStore{RevisionStore: mtstandin.NewRevisionStore(time.Now), delay: 300 * time.Millisecond}
	d, cleanUp := mtdirectory.New(mtdirectory.Config{Self: "a", Store: store, Clock: mttime.New(), Lease: 2 * time.Second, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(cleanUp)
	d.Publish(record("a"))
	waitFor(t, "the record is written", func() bool { return d.RecordVersion() != 0 })
	const losses = 8
	for n := range losses {
		d.PublishLoss(mtpoison.Loss{ID: mtpoison.LossID{Daemon: "a", Server: mtid.ServerIncarnation{Server: mtid.Server(fmt.Sprint("s", n))}}})
	}
	version := d.RecordVersion()
	changed := record("a")
	changed.Slots++
	d.Publish(changed)
	waitFor(t, "the changed record is written", func() bool {
		_, err := store.Get(context.Background(), mtstore.BackendName(0, "a"))
		assert.NilError(t, err, "the record has expired")
		return d.RecordVersion() > version
	})
	changes, err := store.Watch(context.Background(), mtstore.LossPrefix, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Entries), losses)
}
