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

// An operator takes a zone out of service and back: every daemon hears of both, and its
// servers are none to be chosen meanwhile.
func TestAZoneGoesOutOfServiceAndBack(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	a, b := start(t, store, "a"), start(t, store, "b")
	r := record("b")
	r.Zone = "riga-b"
	b.Publish(r)
	serving := func() int { return len(a.Now().Serving(r.Service)) }
	until(t, "a knows b", func() bool { return serving() == 1 })
	store.Put(mtstore.ZoneName("riga-b"), []byte("{}"))
	until(t, "the zone is out", func() bool { return serving() == 0 && a.Now().Out.Has("riga-b") })
	store.Delete(mtstore.ZoneName("riga-b"))
	until(t, "the zone is back", func() bool { return serving() == 1 })
}

// Watches hear nothing while zones are taken out of service and back, again and again; a
// daemon rechecks by its own readings, which overlap with what its watch brings late. It
// never goes back to what was before, and a reading always leaves it as it is in the store.
func TestRecheckedZonesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := mtstandin.NewRevisions(time.Now)
		a := start(t, store, "a")
		until(t, "the store is read", func() bool { return a.Now().Revision != 0 })
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
				store.Deafen(rapid.Bool().Draw(rt, "deaf"))
			case 4:
				recheck(t, store, a, zones)
			}
			for _, z := range zones {
				changed := a.Now().Out.ChangedAt(z)
				assert.Assert(t, changed >= seen[z], "%s goes back from %d to %d", z, seen[z], changed)
				seen[z] = changed
			}
		}
		recheck(t, store, a, zones)
	})
}

// recheck reads all that operators have written and compares the copy with it.
func recheck(t *testing.T, store *mtstandin.Revisions, d *mtdirectory.Directory, zones []mtid.Zone) {
	t.Helper()
	read, err := store.Watch(context.Background(), mtstore.ZonePrefix, 0, 0)
	assert.NilError(t, err)
	d.Recheck(read)
	for _, z := range zones {
		entry, err := store.Get(context.Background(), mtstore.ZoneName(z))
		assert.Equal(t, d.Now().Out.Has(z), err == nil, "zone %s", z)
		if err == nil {
			assert.Equal(t, d.Now().Out.Version(z), entry.Version)
		}
	}
}

// scripted is a source of changes that a test makes up.
type scripted struct{ changes chan mtstore.Changes }

func (s *scripted) Watch(ctx context.Context, _ string, after mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
	select {
	case c := <-s.changes:
		return c, nil
	case <-ctx.Done():
		return mtstore.Changes{Revision: after}, ctx.Err()
	}
}

// A daemon has read that a zone is out of service, and its teacher, which is behind, tells of
// the end of the order before. The zone stays out.
func TestALateLessonDoesNotPutAZoneBack(t *testing.T) {
	source := &scripted{changes: make(chan mtstore.Changes)}
	directory, closeDirectory := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: mtstandin.NewRevisions(time.Now), Source: source, Clock: mttime.New(), Lease: time.Second, Log: slog.New(slog.DiscardHandler),
	})
	defer closeDirectory()
	source.changes <- mtstore.Changes{Revision: 10}
	name := mtstore.ZoneName("riga-a")
	until(t, "the source is read", func() bool { return directory.Now().Revision == 10 })
	assert.Assert(t, directory.Recheck(mtstore.Changes{Revision: 20, Entries: []mtstore.Entry{{Name: name, Version: 18, Revision: 18}}}))
	source.changes <- mtstore.Changes{Revision: 14, Entries: []mtstore.Entry{{Name: name, Revision: 14}}}
	until(t, "the lesson is taken in", func() bool { return directory.Now().Revision == 14 })
	assert.Assert(t, directory.Now().Out.Has("riga-a"))
}
