package mtplanner_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtplanner"
)

var ref = mtid.Ref{Business: "ratins", Service: "mapsvc"}

// fakeStore is a store of chunks with planned faults, and the view of it.
type fakeStore struct {
	mtstore.Store
	mu      sync.Mutex
	roster  []*mtroster.Record
	bundles []*mtbundle.Bundle
	entries map[string]mtstore.Entry
	lose    int // answers to lose after the write took effect
	swaps   int
}

func (f *fakeStore) Swap(_ context.Context, name string, expected mtid.Version, value []byte, _ mtstore.LeaseID) (mtid.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.swaps++
	current := f.entries[name]
	if current.Version != expected {
		return 0, &mtstore.ConflictError{Name: name, Expected: expected, Current: current}
	}
	f.entries[name] = mtstore.Entry{Name: name, Value: value, Version: expected + 1}
	if f.lose > 0 {
		f.lose--
		return 0, &mtstore.UnknownError{Op: "swap", Name: name, Err: context.DeadlineExceeded}
	}
	return expected + 1, nil
}

func (f *fakeStore) Get(_ context.Context, name string) (mtstore.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.entries[name]
	if !ok {
		return mtstore.Entry{}, &mtstore.MissingError{Name: name}
	}
	return entry, nil
}

func (f *fakeStore) Roster() []*mtroster.Record  { return f.roster }
func (f *fakeStore) Bundles() []*mtbundle.Bundle { return f.bundles }

func (f *fakeStore) Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool) {
	entry, err := f.Get(context.Background(), mtstore.ShardName(ref, chunk))
	if err != nil {
		return nil, false
	}
	table, err := mtshard.Decode(entry.Value)
	return table, err == nil
}

func record(name mtid.Daemon) *mtroster.Record {
	return &mtroster.Record{
		Holder: mtid.Holder{Daemon: name, Incarnation: 1},
		Offers: []mtroster.Offer{{Service: ref, Slots: 12}},
	}
}

func newStore(names ...mtid.Daemon) *fakeStore {
	f := &fakeStore{entries: make(map[string]mtstore.Entry)}
	for _, name := range names {
		f.roster = append(f.roster, record(name))
	}
	f.bundles = []*mtbundle.Bundle{{Business: ref.Business, Services: []mtbundle.Service{
		{Name: ref.Service, Kind: mtbundle.Keyed, Shards: 60, Chunks: 3},
		{Name: "dispatch", Kind: mtbundle.Spread},
	}}}
	return f
}

// clock goes on by a second with each look at it.
type clock struct {
	mu  sync.Mutex
	now mtclock.Instant
}

func (c *clock) Now() mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Second)
	return c.now
}

func start(t *testing.T, f *fakeStore, name mtid.Daemon) {
	t.Helper()
	self := mtid.Holder{Daemon: name, Incarnation: 1}
	var sequence uint64
	_, cleanUp, err := mtplanner.New(mtplanner.Config{
		Self: func() mtid.Holder { return self },
		Stamp: func() mtroster.Stamp {
			sequence++
			return mtroster.Stamp{Writer: self, Sequence: sequence}
		},
		Now:  (&clock{}).Now,
		Log:  slog.New(slog.DiscardHandler),
		Tick: time.Millisecond,
	}, f, f, nil)
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
}

func waitForTables(t *testing.T, f *fakeStore, chunks int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for chunk := range chunks {
			if _, ok := f.Table(ref, chunk); !ok {
				return poll.Continue("chunk %d is missing", chunk)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// A new keyed service is useless until its shards have owners. All daemons of
// the service look at the same live state; whoever leads lays every chunk, and
// each is written once however many daemons try.
func TestFirstTableIsLaidOnce(t *testing.T) {
	f := newStore("a", "b", "c")
	for _, name := range []mtid.Daemon{"a", "b", "c"} {
		start(t, f, name)
	}
	waitForTables(t, f, 3)
	for chunk := range 3 {
		table, _ := f.Table(ref, chunk)
		assert.Equal(t, table.Version, mtid.Version(1))
		assert.Equal(t, table.Chunks, 3)
		assert.Equal(t, len(table.Shards), 20)
	}
	_, ok := f.Table(mtid.Ref{Business: "ratins", Service: "dispatch"}, 0)
	assert.Assert(t, !ok, "a spread service has no table")
}

// The store writes the chunk, and the answer is lost. The planner must find its
// own write, and must not lay the chunk a second time over owners that have
// begun to serve.
func TestLostAnswerLaysNoSecondTable(t *testing.T) {
	f := newStore("a")
	f.lose = 2
	start(t, f, "a")
	waitForTables(t, f, 3)
	for chunk := range 3 {
		table, _ := f.Table(ref, chunk)
		assert.Equal(t, table.Version, mtid.Version(1))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.swaps, 3)
}

func TestNewNamesWhatIsMissing(t *testing.T) {
	_, _, err := mtplanner.New(mtplanner.Config{}, nil, nil, nil)
	got, ok := err.(*mtplanner.ConfigError)
	assert.Assert(t, ok, "got %v, want a ConfigError", err)
	assert.Equal(t, got.Field, "Self")
}
