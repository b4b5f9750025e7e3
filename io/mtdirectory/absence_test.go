package mtdirectory_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

// registerAndEnd lets a process of daemon a write its record and its registration, and ends it.
func registerAndEnd(t *testing.T, store *mtstandin.RevisionStore) {
	t.Helper()
	a, end := mtdirectory.New(mtdirectory.Config{Self: "a", Store: store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler)})
	a.Publish(record("a"))
	waitFor(t, "the record of a is written", func() bool { return a.RecordVersion() != 0 })
	end()
}

// absentSince returns since when a daemon's record is known to be absent.
func absentSince(d *mtdirectory.Directory, daemon mtid.Daemon) mtclock.Instant {
	m := d.View().Members[daemon]
	if !m.Expired {
		return 0
	}
	return m.ExpiredSince
}

// Guards against keys of a lost VM that nobody takes over while watches break, and against two owners where its record was back meanwhile.
func TestAbsenceCountsFromLastRegistration(t *testing.T) {
	for name, c := range map[string]struct{ seen, returns, compacted bool }{
		"seen, watch":                 {seen: true},
		"seen, full read":             {seen: true, compacted: true},
		"seen, back, watch":           {seen: true, returns: true},
		"seen, back, full read":       {seen: true, returns: true, compacted: true},
		"never seen, full read":       {compacted: true},
		"never seen, back, watch":     {returns: true},
		"never seen, back, full read": {returns: true, compacted: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisionStore(time.Now)
			var b *mtdirectory.Directory
			if c.seen {
				b = start(t, store, "b")
				waitFor(t, "b has read everything", func() bool { return b.View().Revision != 0 })
			}
			registerAndEnd(t, store)
			if !c.seen {
				b = start(t, store, "b")
			}
			waitFor(t, "b knows that the record is absent", func() bool { return absentSince(b, "a") != 0 })
			first, revision := absentSince(b, "a"), b.View().Revision
			store.SuppressWatchEvents(true)
			if c.returns {
				registerAndEnd(t, store)
			}
			store.Put("other", nil)
			if c.compacted {
				store.Compact()
			}
			store.SuppressWatchEvents(false)
			waitFor(t, "b has received the later changes", func() bool { return b.View().Revision > revision })
			assert.Equal(t, absentSince(b, "a") > first, c.returns)
		})
	}
}

// Guards against a record that is back unnoticed: written over an entry that another writer had left while it was absent.
func TestRecordOverForeignEntryIsRegistered(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	store.Put(mtstore.BackendName(0, "a"), []byte("foreign"))
	a := start(t, store, "a")
	a.Publish(record("a"))
	waitFor(t, "the record of a is written", func() bool { return a.RecordVersion() != 0 })
	entry, err := store.Get(context.Background(), mtstore.RegistrationName(0, "a"))
	assert.NilError(t, err)
	assert.Equal(t, entry.Version, a.RecordVersion())
}

// pagedSource is a source whose answers are given one by one.
type pagedSource chan func() (mtstore.Changes, error)

// Watch implements mtwatch.Source.
func (s pagedSource) Watch(ctx context.Context, _ string, _ mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
	select {
	case next := <-s:
		return next()
	case <-ctx.Done():
		return mtstore.Changes{}, ctx.Err()
	}
}

func (s pagedSource) changes(era mtid.Era, revision uint64, entries ...mtstore.Entry) {
	s <- func() (mtstore.Changes, error) {
		return mtstore.Changes{Revision: mtid.RevisionOf(era, revision), Entries: entries}, nil
	}
}

func (s pagedSource) compacted() {
	s <- func() (mtstore.Changes, error) { return mtstore.Changes{}, &mtstore.CompactedError{} }
}

func entryAt(name string, era mtid.Era, revision uint64, value []byte) mtstore.Entry {
	return mtstore.Entry{Name: name, Value: value, Version: mtid.VersionOf(era, revision), Revision: mtid.RevisionOf(era, revision)}
}

// Guards against two owners: a full read that shows a registration, but not the record that was written with it after
// the records had been read, proves no absence.
func TestAbsenceIsNotProvenBetweenPages(t *testing.T) {
	value, err := record("a").Encode()
	assert.NilError(t, err)
	present := []mtstore.Entry{entryAt(mtstore.BackendName(0, "a"), 0, 3, value), entryAt(mtstore.RegistrationName(0, "a"), 0, 3, nil)}
	gone := mtstore.Entry{Name: mtstore.BackendName(0, "a"), Revision: mtid.RevisionOf(0, 4)}
	for name, c := range map[string]struct {
		seen, lost bool
		era        mtid.Era
	}{
		"never seen":                {},
		"seen and lost":             {seen: true, lost: true},
		"present in the era before": {seen: true, era: 1},
		"lost in the era before":    {seen: true, lost: true, era: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := make(pagedSource)
			d, cleanUp := mtdirectory.New(mtdirectory.Config{Self: "b", Source: s, Store: mtstandin.NewRevisionStore(time.Now), Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler)})
			t.Cleanup(cleanUp)
			if c.seen {
				s.changes(0, 3, present...)
			}
			if c.lost {
				s.changes(0, 4, gone)
			}
			if c.seen {
				s.compacted()
			}
			// a writes its record and its registration (20) between the pages of a read that is complete up to 10.
			registration := entryAt(mtstore.RegistrationName(c.era, "a"), c.era, 20, nil)
			s.changes(c.era, 10, registration)
			s.compacted()
			waitFor(t, "the first read", func() bool { return d.View().Revision == mtid.RevisionOf(c.era, 10) })
			first := absentSince(d, "a")
			// a is lost (30) before the next read.
			s.changes(c.era, 40, registration, entryAt("other", c.era, 40, nil))
			waitFor(t, "the second read", func() bool { return d.View().Revision == mtid.RevisionOf(c.era, 40) })
			assert.Assert(t, absentSince(d, "a") > first, "absence counts from a time at which a may have been present")
			s.compacted()
			second := absentSince(d, "a")
			s.changes(c.era, 50, registration)
			waitFor(t, "the third read", func() bool { return d.View().Revision == mtid.RevisionOf(c.era, 50) })
			assert.Equal(t, absentSince(d, "a"), second)
		})
	}
}
