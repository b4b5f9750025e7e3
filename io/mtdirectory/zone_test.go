package mtdirectory_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

// An operator takes a zone out of service and back. All daemons must receive both
// changes, and must not choose servers of that zone in between.
func TestZoneGoesOutOfServiceAndBack(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a, b := start(t, store, "a"), start(t, store, "b")
	r := record("b")
	r.Zone = "riga-b"
	b.Publish(r)
	serving := func() int { return len(a.View().Serving(r.Service)) }
	waitFor(t, "a knows the record of b", func() bool { return serving() == 1 })
	store.Put(mtstore.ZoneName("riga-b"), []byte("{}"))
	waitFor(t, "the zone is out of service", func() bool { return serving() == 0 && a.View().OutOfService.Has("riga-b") })
	store.Delete(mtstore.ZoneName("riga-b"))
	waitFor(t, "the zone is in service again", func() bool { return serving() == 1 })
}

// Watches deliver nothing while zones are repeatedly taken out of service and back. A
// daemon reads the entries itself, and the reads overlap with late changes of its
// watch. It must never return to an older state, and after a read its state must equal
// that of the store.
func TestZoneStateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := mtstandin.NewRevisionStore(time.Now)
		a := start(t, store, "a")
		waitFor(t, "the store has been read", func() bool { return a.View().Revision != 0 })
		zones := []mtid.Zone{"riga-a", "riga-b"}
		seen := make(map[mtid.Zone]mtid.Revision)
		for range rapid.IntRange(1, 12).Draw(rt, "events") {
			zone := rapid.SampledFrom(zones).Draw(rt, "zone")
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0, 1:
				store.Put(mtstore.ZoneName(zone), []byte("{}"))
			case 2:
				store.Delete(mtstore.ZoneName(zone))
			case 3:
				store.SuppressWatchEvents(rapid.Bool().Draw(rt, "deaf"))
			case 4:
				reconcileAndCompare(t, store, a, zones)
			}
			for _, z := range zones {
				changed := a.View().OutOfService.ChangedAt(z)
				assert.Assert(t, changed >= seen[z], "zone %s goes back from revision %d to %d", z, seen[z], changed)
				seen[z] = changed
			}
		}
		reconcileAndCompare(t, store, a, zones)
	})
}

// reconcileAndCompare reads all entries of the operators, applies them and compares
// the copy with the store.
func reconcileAndCompare(t *testing.T, store *mtstandin.RevisionStore, d *mtdirectory.Directory, zones []mtid.Zone) {
	t.Helper()
	read, err := store.Watch(context.Background(), mtstore.ZonePrefix, 0, 0)
	assert.NilError(t, err)
	d.ApplyZones(read)
	for _, z := range zones {
		entry, err := store.Get(context.Background(), mtstore.ZoneName(z))
		assert.Equal(t, d.View().OutOfService.Has(z), err == nil, "zone %s", z)
		if err == nil {
			assert.Equal(t, d.View().OutOfService.Version(z), entry.Version)
		}
	}
}

// scriptedSource is a source of changes that the test provides.
type scriptedSource struct{ changes chan mtstore.Changes }

func (s *scriptedSource) Watch(ctx context.Context, _ string, after mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
	select {
	case c := <-s.changes:
		return c, nil
	case <-ctx.Done():
		return mtstore.Changes{Revision: after}, ctx.Err()
	}
}

// A daemon has read that a zone is out of service. Its upstream, which is behind, then
// reports that the previous order was withdrawn. The zone must stay out of service.
func TestLateUpdateDoesNotRestoreZone(t *testing.T) {
	source := &scriptedSource{changes: make(chan mtstore.Changes)}
	directory, closeDirectory := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: mtstandin.NewRevisionStore(time.Now), Source: source, Clock: mttime.New(), Lease: time.Second, Log: slog.New(slog.DiscardHandler),
	})
	defer closeDirectory()
	source.changes <- mtstore.Changes{Revision: 10}
	name := mtstore.ZoneName("riga-a")
	waitFor(t, "the source has been read", func() bool { return directory.View().Revision == 10 })
	assert.Assert(t, directory.ApplyZones(mtstore.Changes{Revision: 20, Entries: []mtstore.Entry{{Name: name, Version: 18, Revision: 18}}}))
	source.changes <- mtstore.Changes{Revision: 14, Entries: []mtstore.Entry{{Name: name, Revision: 14}}}
	waitFor(t, "the late update has been applied", func() bool { return directory.View().Revision == 14 })
	assert.Assert(t, directory.View().OutOfService.Has("riga-a"))
}
