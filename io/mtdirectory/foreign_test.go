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

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
	"magnoliaturn/io/mtwatch"
)

// leaseSource is a store that shows of each record whether it has a lease, as the platform's does.
type leaseSource struct{ *mtstandin.RevisionStore }

// Watch implements mtwatch.Source.
func (s leaseSource) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	changes, err := s.RevisionStore.Watch(ctx, prefix, after, wait)
	for i, e := range changes.Entries {
		changes.Entries[i].Lease, changes.Entries[i].LeaseID = s.LeaseOf(e), s.LeaseIDOf(e)
	}
	return changes, err
}

// downstreamSource is another daemon that passes its changes on, without what isn't passed on.
type downstreamSource struct{ upstream *mtdirectory.Directory }

// Watch implements mtwatch.Source.
func (s downstreamSource) Watch(ctx context.Context, _ string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	changes := waitForChanges(ctx, s.upstream, after, nil, wait)
	for i, e := range changes.Entries {
		changes.Entries[i] = mtstore.Entry{Name: e.Name, Value: e.Value, Version: e.Version, Revision: e.Revision}
	}
	return changes, nil
}

// recordAt returns the record of a daemon at an IP address, as daemons write it beside the platform's store.
func recordAt(daemon mtid.Daemon) mtbackend.Record {
	r := record(daemon)
	r.Address = "127.0.0.1:1"
	return r
}

// startFrom starts a directory that follows a source.
func startFrom(t *testing.T, store *mtstandin.RevisionStore, self mtid.Daemon, source mtwatch.Source, log *entryLog) *mtdirectory.Directory {
	t.Helper()
	d, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: self, Store: store, Source: source, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.NewTextHandler(log, nil)),
	})
	t.Cleanup(cleanUp)
	return d
}

// Guards against a record that stands without a lease and counts as that of a daemon that runs, also at daemons that
// don't read the store themselves.
func TestRecordWithoutLeaseIsNoMember(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	value, err := recordAt("b").Encode()
	assert.NilError(t, err)
	name := mtstore.BackendName(0, "b")
	version := store.Put(name, value)
	var log entryLog
	a := startFrom(t, store, "a", leaseSource{store}, &log)
	c := startFrom(t, store, "c", downstreamSource{a}, &log)
	for _, d := range []*mtdirectory.Directory{a, c} {
		waitFor(t, "the entry is known", func() bool { return d.View().Strangers["b"].Version == version })
		_, known := d.View().Members["b"]
		assert.Assert(t, !known && d.View().InvalidRecords["b"] && d.OddEntries() == 1)
	}
	assert.Equal(t, log.count("name="+name+" "), 2, "logged once by each")
	b := startFrom(t, store, "b", leaseSource{store}, &log)
	b.Publish(recordAt("b"))
	for _, d := range []*mtdirectory.Directory{a, c} {
		waitFor(t, "the daemon's own record counts", func() bool { return knowsRecord(d, "b", false) })
		assert.Assert(t, len(d.View().Strangers) == 0 && !d.View().InvalidRecords["b"] && d.OddEntries() == 0)
	}
}

// Guards against a copy without a lease, under a daemon's own name, that replaces its record or makes its keys free.
func TestRecordWithoutLeaseOverOwnIsReplaced(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a, b := startFrom(t, store, "a", leaseSource{store}, &log), startFrom(t, store, "b", leaseSource{store}, &log)
	b.Publish(recordAt("b"))
	waitFor(t, "a knows the record of b", func() bool { return knowsRecord(a, "b", false) })
	before := a.View().Members["b"]
	r := recordAt("b")
	r.Incarnation.Server, r.Address = "other", "127.0.0.1:9"
	value, err := r.Encode()
	assert.NilError(t, err)
	version := store.Put(mtstore.BackendName(0, "b"), value)
	waitFor(t, "the record of b is back", func() bool { return a.View().Members["b"].Version > version })
	assert.DeepEqual(t, a.View().Members["b"].Record, before.Record)
	assert.Equal(t, len(a.View().Strangers), 0)
}

// Commit implements mtstore.ConditionalStore.
func (s leaseSource) Commit(ctx context.Context, conditions []mtstore.Condition, puts ...mtstore.Put) (mtid.Version, error) {
	version, err := s.RevisionStore.Commit(ctx, conditions, puts...)
	var conflict *mtstore.ConflictError
	if errors.As(err, &conflict) {
		conflict.Current.Lease = s.LeaseOf(conflict.Current)
	}
	return version, err
}

// Guards against what another writer left, under a daemon's own name, that is taken for its previous process's.
func TestRecordWithoutLeaseIsNoPreviousOne(t *testing.T) {
	for name, leased := range map[string]bool{"without a lease": false, "of the previous process": true} {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisionStore(time.Now)
			if leased {
				putLeased(t, store, recordAt("a"))
			} else {
				value, err := recordAt("a").Encode()
				assert.NilError(t, err)
				store.Put(mtstore.BackendName(0, "a"), value)
			}
			var previous atomic.Bool
			a, cleanUp := mtdirectory.New(mtdirectory.Config{
				Self: "a", Store: leaseSource{store}, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
				OnPreviousRecord: func(mtbackend.Record) { previous.Store(true) },
			})
			t.Cleanup(cleanUp)
			a.Publish(recordAt("a"))
			waitFor(t, "the record is written", func() bool { return knowsRecord(a, "a", false) && a.RecordVersion() != 0 })
			assert.Equal(t, previous.Load(), leased)
		})
	}
}

// Guards against a record of another writer that names a host nobody can find, under a daemon's own name and under a lease: calls
// for the daemon's keys went there.
func TestRecordThatNamesHostIsReplaced(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a, b := startFrom(t, store, "a", leaseSource{store}, &log), startFrom(t, store, "b", leaseSource{store}, &log)
	own := recordAt("b")
	b.Publish(own)
	waitFor(t, "a knows the record of b", func() bool { return knowsRecord(a, "b", false) })
	value, err := record("b").Encode() // at a host
	assert.NilError(t, err)
	lease, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	version, err := store.Swap(context.Background(), mtstore.BackendName(0, "b"), a.View().Members["b"].Version, value, lease)
	assert.NilError(t, err)
	waitFor(t, "the record of b is back", func() bool { return a.View().Members["b"].Version > version })
	assert.DeepEqual(t, a.View().Members["b"].Record, own)
}

// Guards against a daemon that has ended and counts as one that accepts work for as long as a copy of its record, which
// another writer left without a lease in its place, stands.
func TestCopyOverRecordOfEndedDaemonServesNothing(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a := startFrom(t, store, "a", leaseSource{store}, &log)
	r := recordAt("b")
	value, err := r.Encode()
	assert.NilError(t, err)
	grant, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	name := mtstore.BackendName(0, "b")
	_, err = store.Commit(context.Background(), []mtstore.Condition{{Name: name}}, mtstore.Put{Name: name, Value: value, Lease: grant}, mtstore.Put{Name: mtstore.RegistrationName(0, "b"), Value: []byte("b")})
	assert.NilError(t, err)
	waitFor(t, "a knows b", func() bool { return knowsRecord(a, "b", false) })
	r.Incarnation.Server, r.Address = "other", "127.0.0.1:9"
	foreign, err := r.Encode()
	assert.NilError(t, err)
	version := store.Put(name, foreign)
	assert.NilError(t, store.End(context.Background(), grant)) // b has ended, and won't write its record again
	waitFor(t, "it is read", func() bool { return uint64(a.View().Revision) >= uint64(version) })
	waitFor(t, "b no longer counts", func() bool { return len(a.View().Serving("maps")) == 0 })
}

// Guards against members that grow without bound.
func TestEntriesThatComeAndGoLeaveNothingBehind(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a := startFrom(t, store, "a", leaseSource{store}, &log)
	a.Publish(recordAt("a"))
	waitFor(t, "a stands", func() bool { return knowsRecord(a, "a", false) })
	for i := range 500 {
		name := mtstore.BackendName(0, record("x").Daemon) + fmt.Sprint(i)
		store.Put(name, []byte("{}"))
		store.Delete(name)
	}
	mark := store.Put("mark", nil)
	waitFor(t, "it is read", func() bool { return uint64(a.View().Revision) >= uint64(mark) })
	assert.Equal(t, len(a.View().Members), 1)
}

// Guards against a daemon that gets no new work although it lives: another writer overwrites its record again and again.
func TestDaemonWhoseRecordIsOverwrittenAgainAndAgainServes(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a, b := startFrom(t, store, "a", leaseSource{store}, &log), startFrom(t, store, "b", leaseSource{store}, &log)
	b.Publish(recordAt("b"))
	waitFor(t, "a knows b", func() bool { return knowsRecord(a, "b", false) })
	for end := time.Now().Add(2 * lease); time.Now().Before(end); {
		version := store.Put(mtstore.BackendName(0, "b"), []byte("{}"))
		waitFor(t, "the record of b is back", func() bool { return a.View().Members["b"].Version > version })
		assert.Equal(t, len(a.View().Serving("maps")), 1)
	}
}

// Guards against two owners: another writer puts a record, by which the server has ended, over a daemon's own, under another lease.
func TestRecordUnderOtherLeaseIsReplaced(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a, b := startFrom(t, store, "a", leaseSource{store}, &log), startFrom(t, store, "b", leaseSource{store}, &log)
	c := startFrom(t, store, "c", downstreamSource{a}, &log)
	b.Publish(recordAt("b"))
	all := []*mtdirectory.Directory{a, b, c}
	for _, d := range all {
		waitFor(t, "the record of b is known", func() bool { return knowsRecord(d, "b", false) })
	}
	before := a.View().Members["b"]
	foreign := recordAt("b")
	foreign.State = mtbackend.Ended
	value, err := foreign.Encode()
	assert.NilError(t, err)
	grant, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	version, err := store.Swap(context.Background(), mtstore.BackendName(0, "b"), before.Version, value, grant)
	assert.NilError(t, err)
	for _, d := range all {
		waitFor(t, "the record of b is back", func() bool {
			now := d.View().Members["b"]
			assert.DeepEqual(t, now.Record, before.Record)
			return now.Version > version
		})
	}
}

// Guards against a daemon that no longer counts once its lease has ended, as its record has a new one.
func TestRecordUnderNewLeaseOfItsDaemonCounts(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a, b := startFrom(t, store, "a", leaseSource{store}, &log), startFrom(t, store, "b", leaseSource{store}, &log)
	b.Publish(recordAt("b"))
	waitFor(t, "a knows b", func() bool { return knowsRecord(a, "b", false) })
	for slots := range 3 {
		store.SuppressWatchEvents(true)
		since := b.RecordVersion()
		store.EndLeases()
		waitFor(t, "b has written its record", func() bool { return b.RecordVersion() > since })
		changed := recordAt("b")
		changed.Slots += 7 + slots
		written := b.RecordVersion()
		b.Publish(changed)
		waitFor(t, "b has changed its record", func() bool { return b.RecordVersion() > written })
		store.SuppressWatchEvents(false)
		waitFor(t, "a knows it", func() bool { return a.View().Members["b"].Record == changed && !a.View().Members["b"].Expired })
		assert.Equal(t, a.OddEntries(), 0)
	}
}

// replayedSource returns changes in turn, and nothing after the last ones.
type replayedSource struct{ changes chan mtstore.Changes }

// Watch implements mtwatch.Source.
func (s replayedSource) Watch(ctx context.Context, _ string, _ mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
	select {
	case c := <-s.changes:
		return c, nil
	case <-ctx.Done():
		return mtstore.Changes{}, ctx.Err()
	}
}

// Guards against a daemon that no longer counts because a full read, which is no snapshot, shows its former record with its new registration.
func TestRecordOlderThanItsRegistrationIsReplaced(t *testing.T) {
	entry := func(name string, value []byte, version uint64, lease mtstore.LeaseID) mtstore.Entry {
		return mtstore.Entry{Name: name, Value: value, Version: mtid.Version(version), Revision: mtid.Revision(version), Lease: mtstore.Leased, LeaseID: lease}
	}
	value, err := recordAt("b").Encode()
	assert.NilError(t, err)
	record, registration := mtstore.BackendName(0, "b"), mtstore.RegistrationName(0, "b")
	source := replayedSource{changes: make(chan mtstore.Changes, 2)}
	source.changes <- mtstore.Changes{Revision: 8, Entries: []mtstore.Entry{entry(record, value, 5, "1"), entry(registration, nil, 10, "")}}
	source.changes <- mtstore.Changes{Revision: 10, Entries: []mtstore.Entry{entry(registration, nil, 10, ""), entry(record, value, 10, "2")}}
	var log entryLog
	a := startFrom(t, mtstandin.NewRevisionStore(time.Now), "a", source, &log)
	waitFor(t, "the new record counts", func() bool { return a.View().Members["b"].Version == 10 })
	assert.Equal(t, a.OddEntries(), 0)
}

// Guards against two owners: the time of absence goes on though a daemon of a release that writes no registration was there.
func TestUnregisteredRecordUnderLeaseRestartsTime(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a := startFrom(t, store, "a", leaseSource{store}, &log)
	name := mtstore.BackendName(0, "b")
	putStranger := func() mtdirectory.Stranger {
		version := store.Put(name, []byte("{}"))
		waitFor(t, "the entry is known", func() bool { return a.View().Strangers["b"].Version == version })
		return a.View().Strangers["b"]
	}
	first := putStranger()
	store.Delete(name)
	waitFor(t, "it is absent", func() bool { return a.View().Members["b"].Expired })
	assert.Equal(t, putStranger().Since, first.Since, "nobody has been there")
	store.Delete(name)
	waitFor(t, "it is absent", func() bool { return len(a.View().Strangers) == 0 })
	putLeased(t, store, recordAt("b"))
	waitFor(t, "the record is known", func() bool { return a.View().InvalidRecords["b"] })
	again := putStranger()
	assert.Assert(t, again.Since > first.Since)
}
