package mtdirectory_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
	"magnoliaturn/io/mtwatch"
)

// properEntries returns one entry of each kind that daemons write, by name.
func properEntries(t assert.TestingT) map[string][]byte {
	table, err := mtrange.Spread("maps", 0, []mtrange.Owner{record("a").Owner(), record("b").Owner()})
	assert.NilError(t, err)
	assignment, err := table.Encode()
	assert.NilError(t, err)
	entry, err := record("b").Encode()
	assert.NilError(t, err)
	loss := mtpoison.Loss{ID: mtpoison.LossID{Daemon: "b", Server: mtid.ServerIncarnation{Server: "s", Started: 7}}, Suspects: []mtpoison.Fingerprint{0x2a}}
	lost, err := loss.Encode()
	assert.NilError(t, err)
	return map[string][]byte{
		mtstore.RangeName(0, "maps"):       assignment,
		mtstore.BackendName(0, "b"):        entry,
		mtstore.RegistrationName(0, "b"):   []byte("b"),
		mtstore.LossName(loss.ID):          lost,
		mtstore.BackendName(0, "c") + "/c": entry,
	}
}

// otherNames returns names beside that of an entry, under which no daemon writes what the entry holds.
func otherNames(name string) []string {
	parent, base := name[:strings.LastIndex(name, "/")], name[strings.LastIndex(name, "/")+1:]
	names := []string{name + "-copy", name + "/1", parent + "/", parent + "//" + base, parent + "/0" + base}
	for _, era := range []string{"/00/", "/7/", "/4294967296/"} {
		if inEra := strings.Replace(name, "/0/", era, 1); inEra != name {
			names = append(names, inEra)
		}
	}
	return names
}

// entryLog collects what a directory logs.
type entryLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *entryLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *entryLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// Guards against a copy beside an entry that replaces it: its keys were refused for good, since every write was
// on condition of the version of the copy.
func TestCopiesUnderOtherNamesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := mtstandin.NewRevisionStore(time.Now)
		for name, value := range properEntries(t) {
			store.Put(name, value)
		}
		var mu sync.Mutex
		var losses []mtpoison.Loss
		d, cleanUp := mtdirectory.New(mtdirectory.Config{
			Self: "a", Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
			OnLoss: func(l mtpoison.Loss) {
				mu.Lock()
				defer mu.Unlock()
				losses = append(losses, l)
			},
		})
		defer cleanUp()
		reached := func(version mtid.Version) func() bool {
			return func() bool { return uint64(d.View().Revision) >= uint64(version) }
		}
		await(t, reached(store.Put("mark", nil)))
		before := d.View()
		for name, value := range properEntries(t) {
			for _, other := range otherNames(name) {
				odd := bytes.Clone(value)
				for range rapid.IntRange(0, 6).Draw(t, "changes") {
					odd[rapid.IntRange(0, len(odd)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
				}
				store.Put(other, odd)
				if rapid.Bool().Draw(t, "deleted") {
					await(t, reached(store.Put("mark", nil)))
					store.Delete(other)
				}
			}
		}
		await(t, reached(store.Put("mark", nil)))
		after := d.View()
		assert.DeepEqual(t, after.Assignments["maps"], before.Assignments["maps"])
		assert.DeepEqual(t, after.Members["b"].Record, before.Members["b"].Record)
		assert.Equal(t, after.Members["b"].Expired, false)
		assert.Equal(t, after.Registrations["b"], before.Registrations["b"])
		mu.Lock()
		defer mu.Unlock()
		for _, l := range losses {
			assert.DeepEqual(t, l, losses[0])
		}
	})
}

// await waits for a condition.
func await(t assert.TestingT, done func() bool) {
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not reached")
	}
}

// storeSource is the store at the end of a slow link, and names it as the origin of its entries.
type storeSource struct{ *mtstandin.RevisionStore }

// fullReadTime is longer than the pause between two full reads that a daemon begins.
const fullReadTime = 350 * time.Millisecond

// Watch implements mtwatch.Source.
func (s storeSource) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if after == 0 {
		time.Sleep(fullReadTime)
	}
	changes, err := s.RevisionStore.Watch(ctx, prefix, after, wait)
	return changes.From(mtstore.Origin{Way: mtstore.WayWatch}), err
}

// Guards against full reads without end because of one entry that can't be decoded, and against odd entries that
// are kept, passed on to other daemons or logged with each read.
func TestOddEntriesAreReadOnceAndNotKept(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	var log entryLog
	var mu sync.Mutex
	snapshots := 0
	d, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Source: storeSource{store}, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.NewTextHandler(&log, nil)),
		OnUpdate: func(u mtwatch.Update) {
			mu.Lock()
			defer mu.Unlock()
			if u.Snapshot {
				snapshots++
			}
		},
	})
	t.Cleanup(cleanUp)
	patch, err := (&mtrange.Patch{Service: "maps", Since: 3, Next: 4}).Encode()
	assert.NilError(t, err)
	odd := map[string][]byte{
		mtstore.RangeName(0, "empty"): nil, mtstore.RangeName(0, "text"): []byte("{"), mtstore.RangeName(0, "maps"): patch, mtstore.RangeName(0, "large"): bytes.Repeat([]byte{0xff}, 1<<20),
		mtstore.LossPrefix + "b/s": []byte(`{"daemon":1e999}`), "live/unknown": bytes.Repeat([]byte{'['}, 1<<20),
	}
	for name, value := range odd {
		store.Put(name, value)
	}
	waitFor(t, "all are read", func() bool { return d.OddEntries() == len(odd) })
	read := func() int {
		mu.Lock()
		defer mu.Unlock()
		return snapshots
	}
	waitFor(t, "everything is read again", func() bool {
		d.Resync()
		return read() > 1
	})
	before := read()
	mark := store.Put("mark", nil)
	waitFor(t, "the watch follows", func() bool { return uint64(d.View().Revision) >= uint64(mark) })
	time.Sleep(4 * fullReadTime)
	assert.Assert(t, read() <= before+1, "%d full reads", read()-before)
	for name := range odd {
		assert.Equal(t, log.count("name="+name+" "), 1, name)
	}
	changes, _ := d.ChangesSince(0, nil)
	assert.Equal(t, len(changes.Entries), 1, "only the mark is passed on")
	for name := range odd {
		store.Delete(name)
	}
	waitFor(t, "they are forgotten", func() bool { return d.OddEntries() == 0 })
}
