package mtstore_test

import (
	"context"
	"errors"
	"expvar"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtid"
	core "magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtstore"
)

// patience bounds a call that is never answered in a test.
const patience = 50 * time.Millisecond

// plenty is how long a call may take that is going to be answered.
const plenty = 30 * time.Second

// bench is a store under test with the memory behind it.
type bench struct {
	core.Store
	memory *mtstore.Memory
	vars   *expvar.Map
	clock  *clock
}

// clock is set by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// each runs a test of the contract against every implementation.
func each(t *testing.T, test func(t *testing.T, b *bench)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		c := &clock{now: time.Unix(1, 0)}
		m := mtstore.NewMemory(c.Now)
		test(t, &bench{Store: m, memory: m, vars: m.Vars(), clock: c})
	})
	t.Run("client", func(t *testing.T) {
		c := &clock{now: time.Unix(1, 0)}
		m := mtstore.NewMemory(c.Now)
		server := httptest.NewServer(mtstore.NewHandler(m))
		t.Cleanup(server.Close)
		client, cleanUp, err := mtstore.NewClient(server.URL, plenty)
		assert.NilError(t, err)
		t.Cleanup(cleanUp)
		test(t, &bench{Store: client, memory: m, vars: client.Vars(), clock: c})
	})
}

func put(t *testing.T, s core.Store, name string, expected mtid.Version, value string) mtid.Version {
	t.Helper()
	version, err := s.Swap(t.Context(), name, expected, []byte(value), "")
	assert.NilError(t, err)
	return version
}

func assertValue(t *testing.T, s core.Store, name, want string) {
	t.Helper()
	entry, err := s.Get(t.Context(), name)
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), want)
}

func assertType(t *testing.T, got, want error) {
	t.Helper()
	assert.Equal(t, reflect.TypeOf(got), reflect.TypeOf(want), "got %v", got)
}

func TestSwapOrdersWriters(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		_, err := b.Get(t.Context(), "a")
		assertType(t, err, &core.NotFoundError{})
		assert.Equal(t, put(t, b, "a", 0, "one"), mtid.Version(1))
		assert.Equal(t, put(t, b, "a", 1, "two"), mtid.Version(2))
		tests := []struct {
			name     string
			entry    string
			expected mtid.Version
			current  core.Entry
		}{
			{"create what exists", "a", 0, core.Entry{Name: "a", Value: []byte("two"), Version: 2, Revision: 3}},
			{"behind", "a", 1, core.Entry{Name: "a", Value: []byte("two"), Version: 2, Revision: 3}},
			{"ahead", "a", 3, core.Entry{Name: "a", Value: []byte("two"), Version: 2, Revision: 3}},
			{"change what does not exist", "b", 1, core.Entry{}},
		}
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				_, err := b.Swap(t.Context(), tt.entry, tt.expected, []byte("late"), "")
				var got *core.ConflictError
				assert.Assert(t, errors.As(err, &got), "got %v", err)
				assert.DeepEqual(t, got, &core.ConflictError{Name: tt.entry, Expected: tt.expected, Current: tt.current})
			})
		}
		assertValue(t, b, "a", "two")
	})
}

// Two operators save at once. Each of several rounds has one winner, and the
// losers are told so; else a change would be lost without a trace.
func TestRacingSwapsHaveOneWinner(t *testing.T) {
	const rounds, writers = 20, 4
	each(t, func(t *testing.T, b *bench) {
		for round := range rounds {
			won := make(chan bool, writers)
			for range writers {
				go func() {
					_, err := b.Swap(t.Context(), "a", mtid.Version(round), nil, "")
					var lost *core.ConflictError
					if err != nil && !errors.As(err, &lost) {
						t.Errorf("got %v, want a ConflictError", err)
					}
					won <- err == nil
				}()
			}
			winners := 0
			for range writers {
				if <-won {
					winners++
				}
			}
			assert.Equal(t, winners, 1)
		}
	})
}

func TestRejectsMalformedCalls(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		long := string(make([]byte, mtstore.MaxName+1))
		tests := []struct {
			name string
			call func() error
		}{
			{"get without name", func() error { _, err := b.Get(t.Context(), ""); return err }},
			{"swap without name", func() error { _, err := b.Swap(t.Context(), "", 0, nil, ""); return err }},
			{"long name", func() error { _, err := b.Swap(t.Context(), long, 0, nil, ""); return err }},
			{"large value", func() error {
				_, err := b.Swap(t.Context(), "a", 0, make([]byte, core.MaxValue+1), "")
				return err
			}},
			{"negative wait", func() error { _, err := b.Watch(t.Context(), "", 1, -1); return err }},
			{"long wait", func() error { _, err := b.Watch(t.Context(), "", 1, mtstore.MaxWait+1); return err }},
			{"lease without time", func() error { _, err := b.Grant(t.Context(), 0); return err }},
		}
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) { assertType(t, tt.call(), &core.RejectedError{}) })
		}
		_, err := b.Swap(t.Context(), "a", 0, make([]byte, core.MaxValue), "")
		assert.NilError(t, err)
	})
}

// What a writer is told has to agree with what becomes of its write: told
// "unavailable" it writes again at once, and a write that had landed after all
// would count twice; told "unknown" it has to look.
func TestFaultsOfWrites(t *testing.T) {
	tests := []struct {
		name    string
		faults  mtstore.Faults
		want    error
		now     string // the value right after the call
		settled string // the value after late writes landed
	}{
		{"in order", mtstore.Faults{}, nil, "new", "new"},
		{"down", mtstore.Faults{Down: true}, &core.UnavailableError{}, "old", "old"},
		{"never answered", mtstore.Faults{Hang: true}, &core.UnknownError{}, "old", "old"},
		{"answer lost", mtstore.Faults{LoseAnswers: true}, &core.UnknownError{}, "new", "new"},
		{"dropped", mtstore.Faults{DropWrites: true}, &core.UnknownError{}, "old", "old"},
		{"lands late", mtstore.Faults{LateWrites: time.Minute}, &core.UnknownError{}, "old", "new"},
		{"over the rate", mtstore.Faults{WriteRate: 1e-9}, &core.UnavailableError{}, "old", "old"},
		{"fault of other names", mtstore.Faults{LoseAnswers: true, Prefix: "b"}, nil, "new", "new"},
	}
	each(t, func(t *testing.T, b *bench) {
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				version := put(t, b, tt.name, 0, "old")
				b.memory.SetFaults(tt.faults)
				if tt.faults.WriteRate > 0 {
					_, _ = b.Swap(t.Context(), "spends the rate", 99, nil, "")
				}
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				if !tt.faults.Hang {
					ctx = t.Context()
				}
				_, err := b.Swap(ctx, tt.name, version, []byte("new"), "")
				cancel()
				b.memory.SetFaults(mtstore.Faults{})
				assertType(t, err, tt.want)
				assertValue(t, b, tt.name, tt.now)
				b.clock.advance(time.Minute)
				assertValue(t, b, tt.name, tt.settled)
			})
		}
	})
}

// A writer gives up on a slow store and the write lands afterwards. It must
// have been told that the outcome is unknown.
func TestWriteLandsAfterItsCallerGaveUp(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		b.memory.SetFaults(mtstore.Faults{Slow: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		_, err := b.Swap(ctx, "a", 0, []byte("new"), "")
		assertType(t, err, &core.UnknownError{})
		b.memory.SetFaults(mtstore.Faults{})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if b.memory.Settle() == 1 {
				return poll.Success()
			}
			return poll.Continue("the store has not noticed yet")
		}, poll.WithTimeout(plenty), poll.WithDelay(time.Millisecond))
		assertValue(t, b, "a", "new")
	})
}

// A write is under way when its writer, in doubt, moves the version on. The
// late write must fail then: this is how a writer in doubt settles the case.
func TestLateWriteFailsOnceTheVersionMovedOn(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		put(t, b, "a", 0, "one")
		b.memory.SetFaults(mtstore.Faults{LateWrites: time.Minute, Times: 1})
		_, err := b.Swap(t.Context(), "a", 1, []byte("late"), "")
		assertType(t, err, &core.UnknownError{})
		put(t, b, "a", 1, "mine")
		b.clock.advance(time.Hour)
		assertValue(t, b, "a", "mine")
	})
}

func TestFaultsOfReads(t *testing.T) {
	tests := []struct {
		name   string
		faults mtstore.Faults
		get    error
		watch  error
	}{
		{"in order", mtstore.Faults{}, nil, nil},
		{"down", mtstore.Faults{Down: true}, &core.UnavailableError{}, &core.UnavailableError{}},
		{"never answered", mtstore.Faults{Hang: true}, &core.UnavailableError{}, &core.UnavailableError{}},
		{"slow", mtstore.Faults{Slow: time.Minute}, &core.UnavailableError{}, &core.UnavailableError{}},
		{"watch cut", mtstore.Faults{CutWatches: true}, nil, &core.UnavailableError{}},
		{"watch late", mtstore.Faults{LateWatches: time.Minute}, nil, &core.UnavailableError{}},
		{"faults of writes", mtstore.Faults{LoseAnswers: true, DropWrites: true, LateWrites: 1}, nil, nil},
	}
	each(t, func(t *testing.T, b *bench) {
		put(t, b, "a", 0, "old")
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				b.memory.SetFaults(tt.faults)
				defer b.memory.SetFaults(mtstore.Faults{})
				limit := func(want error) context.Context {
					if want == nil {
						return t.Context()
					}
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					t.Cleanup(cancel)
					return ctx
				}
				_, err := b.Get(limit(tt.get), "a")
				assertType(t, err, tt.get)
				_, err = b.Watch(limit(tt.watch), "", 0, 0)
				assertType(t, err, tt.watch)
			})
		}
	})
}

func TestWatchReportsWhatChanged(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		empty, err := b.Watch(t.Context(), "", 0, plenty)
		assert.NilError(t, err)
		assert.Assert(t, empty.Revision > 0, "a watcher of an empty store would never wait")
		put(t, b, "live/a", 0, "one")
		put(t, b, "live/b", 0, "one")
		put(t, b, "past/c", 0, "one")
		put(t, b, "live/a", 1, "two")
		got, err := b.Watch(t.Context(), "live/", empty.Revision, plenty)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, core.Changes{
			Entries: []core.Entry{
				{Name: "live/b", Value: []byte("one"), Version: 1, Revision: 3},
				{Name: "live/a", Value: []byte("two"), Version: 2, Revision: 5},
			},
			Revision: 5,
		})
		none, err := b.Watch(t.Context(), "live/", got.Revision, time.Millisecond)
		assert.NilError(t, err)
		assert.DeepEqual(t, none, core.Changes{Revision: 5})
	})
}

func TestWatchWaitsAndIsCounted(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		start := put(t, b, "a", 0, "one")
		seen := make(chan core.Changes)
		go func() {
			changes, err := b.Watch(t.Context(), "", 2, plenty)
			if err != nil {
				t.Errorf("got %v, want the change", err)
			}
			seen <- changes
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if b.vars.Get("watching").String() == "1" {
				return poll.Success()
			}
			return poll.Continue("not waiting yet")
		}, poll.WithTimeout(plenty), poll.WithDelay(time.Millisecond))
		put(t, b, "a", start, "two")
		got := <-seen
		assert.Equal(t, len(got.Entries), 1)
		assert.Equal(t, string(got.Entries[0].Value), "two")
		assert.Equal(t, b.vars.Get("watching").String(), "0")
		assert.Equal(t, b.vars.Get("watch").String(), "1")
		assert.Equal(t, b.vars.Get("swap").String(), "2")
	})
}

func TestWatchContinuesWhereItWasCut(t *testing.T) {
	const names = 5
	each(t, func(t *testing.T, b *bench) {
		large := string(make([]byte, core.MaxValue/2-64))
		for i := range names {
			put(t, b, string(rune('a'+i)), 0, large)
		}
		var got []string
		var after mtid.Revision
		for more := true; more; {
			changes, err := b.Watch(t.Context(), "", after, plenty)
			assert.NilError(t, err)
			for _, entry := range changes.Entries {
				got = append(got, entry.Name)
			}
			after, more = changes.Revision, changes.More
		}
		assert.DeepEqual(t, got, []string{"a", "b", "c", "d", "e"})
	})
}

// A holder is paused for longer than its lease. Its entry vanishes, which
// watches report, and its late renewal is refused. A new life of the name goes
// on with the versions of the old one, or a late write of the old holder would
// overwrite the new.
func TestLeaseLapsesWhileItsHolderIsPaused(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		lease, err := b.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		_, err = b.Swap(t.Context(), "a", 0, []byte("held"), lease)
		assert.NilError(t, err)
		b.clock.advance(900 * time.Millisecond)
		assert.NilError(t, b.Renew(t.Context(), lease))
		b.clock.advance(900 * time.Millisecond)
		assertValue(t, b, "a", "held")
		b.clock.advance(100 * time.Millisecond)
		gone, err := b.Watch(t.Context(), "", 2, plenty)
		assert.NilError(t, err)
		assert.DeepEqual(t, gone.Entries, []core.Entry{{Name: "a", Revision: 3}})
		assertType(t, b.Renew(t.Context(), lease), &core.LeaseExpiredError{})
		_, err = b.Swap(t.Context(), "a", 0, nil, lease)
		assertType(t, err, &core.LeaseExpiredError{})
		assert.Equal(t, put(t, b, "a", 0, "next"), mtid.Version(2))
		_, err = b.Swap(t.Context(), "a", 1, []byte("late"), "")
		assertType(t, err, &core.ConflictError{})
	})
}

func TestFaultsOfLeases(t *testing.T) {
	tests := []struct {
		name   string
		faults mtstore.Faults
		want   error
	}{
		{"in order", mtstore.Faults{}, nil},
		{"down", mtstore.Faults{Down: true}, &core.UnavailableError{}},
		{"never answered", mtstore.Faults{Hang: true}, &core.UnknownError{}},
		{"slow", mtstore.Faults{Slow: time.Minute}, &core.UnknownError{}},
		{"answer lost", mtstore.Faults{LoseAnswers: true}, &core.UnknownError{}},
		{"dropped", mtstore.Faults{DropWrites: true}, &core.UnknownError{}},
	}
	each(t, func(t *testing.T, b *bench) {
		lease, err := b.Grant(t.Context(), time.Hour)
		assert.NilError(t, err)
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				b.memory.SetFaults(tt.faults)
				defer b.memory.SetFaults(mtstore.Faults{})
				ctx := t.Context()
				if tt.faults.Hang || tt.faults.Slow > 0 {
					limited, cancel := context.WithTimeout(ctx, patience)
					defer cancel()
					ctx = limited
				}
				assertType(t, b.Renew(ctx, lease), tt.want)
			})
		}
	})
}

// A daemon is stopped while it asks: its context has ended before the call
// leaves. Told "unknown" it would wait for a write that never was.
func TestEndedContextNeverSends(t *testing.T) {
	each(t, func(t *testing.T, b *bench) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := b.Swap(ctx, "a", 0, []byte("new"), "")
		assertType(t, err, &core.UnavailableError{})
		_, err = b.Get(t.Context(), "a")
		assertType(t, err, &core.NotFoundError{})
	})
}
