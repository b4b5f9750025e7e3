package mtdirectory_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
)

// putLeased writes the record of a daemon under a lease, without its registration.
func putLeased(t *testing.T, store *mtstandin.RevisionStore, r mtbackend.Record) mtid.Version {
	t.Helper()
	value, err := r.Encode()
	assert.NilError(t, err)
	lease, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	version, err := store.Swap(context.Background(), mtstore.BackendName(0, r.Daemon), 0, value, lease)
	assert.NilError(t, err)
	return version
}

// Guards against a record that another writer puts under a lease and that counts as that of a daemon that runs, and
// against a daemon that doesn't count once it has written over it.
func TestRecordWithoutRegistrationIsNoMember(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	r := recordAt("b")
	version := putLeased(t, store, r)
	var log entryLog
	a := startFrom(t, store, "a", leaseSource{store}, &log)
	c := startFrom(t, store, "c", downstreamSource{a}, &log)
	for _, d := range []*mtdirectory.Directory{a, c} {
		waitFor(t, "the entry is known", func() bool { return d.View().InvalidRecords["b"] && d.OddEntries() == 1 })
		_, known := d.View().Members["b"]
		assert.Assert(t, !known && len(d.View().Strangers) == 0, "a lease may be that of a daemon")
	}
	b := startFrom(t, store, "b", leaseSource{store}, &log)
	b.Publish(r)
	for _, d := range []*mtdirectory.Directory{a, b, c} {
		waitFor(t, "the daemon's own record counts", func() bool { return d.View().Members["b"].Version > version && d.OddEntries() == 0 })
	}
}

// Guards against a daemon that no longer counts, for good, because another writer has deleted its registration.
func TestDeletedRegistrationIsWrittenAgain(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	a, b := startFrom(t, store, "a", leaseSource{store}, &log), startFrom(t, store, "b", leaseSource{store}, &log)
	b.Publish(recordAt("b"))
	waitFor(t, "a knows the record of b", func() bool { return knowsRecord(a, "b", false) })
	store.SuppressWatchEvents(true) // b writes before it is notified
	store.Delete(mtstore.RegistrationName(0, "b"))
	changed := recordAt("b")
	changed.Slots++
	b.Publish(changed)
	since := b.RecordVersion()
	waitFor(t, "the changed record is written", func() bool { return b.RecordVersion() > since })
	store.SuppressWatchEvents(false)
	waitFor(t, "the registration and the record are back", func() bool {
		return a.View().Registrations["b"] != 0 && a.View().Members["b"].Record == changed && a.OddEntries() == 0
	})
	assert.Equal(t, a.View().Members["b"].Version, b.RecordVersion())
	assert.Assert(t, b.Current(), "the record has stood all the while")
	version, view := b.RecordVersion(), a.View().Revision
	mark := store.Put("mark", nil)
	waitFor(t, "a has received the later changes", func() bool { return uint64(a.View().Revision) >= uint64(mark) && view < a.View().Revision })
	assert.Equal(t, b.RecordVersion(), version, "written again once")
}

// gatedSource lets nothing be read before its gate is open.
type gatedSource struct {
	leaseSource
	gate chan struct{}
}

// Watch implements mtwatch.Source.
func (s gatedSource) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	select {
	case <-s.gate:
	case <-ctx.Done():
		return mtstore.Changes{}, ctx.Err()
	}
	return s.leaseSource.Watch(ctx, prefix, after, wait)
}

// Guards against a daemon that counts nowhere, for good, because its registration was deleted before it had read it.
func TestRegistrationDeletedBeforeItWasReadIsWrittenAgain(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	gate := make(chan struct{})
	b := startFrom(t, store, "b", gatedSource{leaseSource{store}, gate}, &log)
	b.Publish(reviewed("b"))
	waitFor(t, "b has written", func() bool { return b.RecordVersion() != 0 })
	store.Delete(mtstore.RegistrationName(0, "b"))
	close(gate)
	a := startFrom(t, store, "a", leaseSource{store}, &log)
	waitFor(t, "b counts", func() bool { return knowsRecord(a, "b", false) && knowsRecord(b, "b", false) })
}

// reviewed returns a record with an IP address.
func reviewed(d mtid.Daemon) mtbackend.Record {
	r := record(d)
	r.Address = "127.0.0.1:1"
	return r
}
