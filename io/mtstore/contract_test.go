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

// shortTimeout limits a call that is never answered in a test.
const shortTimeout = 50 * time.Millisecond

// longTimeout limits calls and waits that are expected to succeed.
const longTimeout = 30 * time.Second

// fixture is a store under test with the Memory behind it.
type fixture struct {
	core.Store
	memory *mtstore.Memory
	vars   *expvar.Map
	clock  *clock
}

// clock is a clock that the test advances.
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

// forEachStore runs a contract test against every implementation.
func forEachStore(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		c := &clock{now: time.Unix(1, 0)}
		m := mtstore.NewMemory(c.Now)
		test(t, &fixture{Store: m, memory: m, vars: m.Vars(), clock: c})
	})
	t.Run("client", func(t *testing.T) {
		c := &clock{now: time.Unix(1, 0)}
		m := mtstore.NewMemory(c.Now)
		server := httptest.NewServer(mtstore.NewHandler(m))
		t.Cleanup(server.Close)
		client, cleanUp, err := mtstore.NewClient(server.URL, longTimeout)
		assert.NilError(t, err)
		t.Cleanup(cleanUp)
		test(t, &fixture{Store: client, memory: m, vars: client.Vars(), clock: c})
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

func TestSwapChecksVersion(t *testing.T) {
	forEachStore(t, func(t *testing.T, f *fixture) {
		_, err := f.Get(t.Context(), "a")
		assertType(t, err, &core.NotFoundError{})
		assert.Equal(t, put(t, f, "a", 0, "one"), mtid.Version(1))
		assert.Equal(t, put(t, f, "a", 1, "two"), mtid.Version(2))
		tests := []struct {
			name     string
			entry    string
			expected mtid.Version
			current  core.Entry
		}{
			{"create existing entry", "a", 0, core.Entry{Name: "a", Value: []byte("two"), Version: 2, Revision: 3}},
			{"behind", "a", 1, core.Entry{Name: "a", Value: []byte("two"), Version: 2, Revision: 3}},
			{"ahead", "a", 3, core.Entry{Name: "a", Value: []byte("two"), Version: 2, Revision: 3}},
			{"change missing entry", "b", 1, core.Entry{}},
		}
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				_, err := f.Swap(t.Context(), tt.entry, tt.expected, []byte("late"), "")
				var got *core.ConflictError
				assert.Assert(t, errors.As(err, &got), "got %v", err)
				assert.DeepEqual(t, got, &core.ConflictError{Name: tt.entry, Expected: tt.expected, Current: tt.current})
			})
		}
		assertValue(t, f, "a", "two")
	})
}

// Two operators save at the same time. Each round must have one winner, and the losers
// must receive a conflict; otherwise a change would be lost unnoticed.
func TestRacingSwapsHaveOneWinner(t *testing.T) {
	const rounds, writers = 20, 4
	forEachStore(t, func(t *testing.T, f *fixture) {
		for round := range rounds {
			won := make(chan bool, writers)
			for range writers {
				go func() {
					_, err := f.Swap(t.Context(), "a", mtid.Version(round), nil, "")
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
	forEachStore(t, func(t *testing.T, f *fixture) {
		long := string(make([]byte, mtstore.MaxName+1))
		tests := []struct {
			name string
			call func() error
		}{
			{"get without name", func() error { _, err := f.Get(t.Context(), ""); return err }},
			{"swap without name", func() error { _, err := f.Swap(t.Context(), "", 0, nil, ""); return err }},
			{"long name", func() error { _, err := f.Swap(t.Context(), long, 0, nil, ""); return err }},
			{"large value", func() error {
				_, err := f.Swap(t.Context(), "a", 0, make([]byte, core.MaxValue+1), "")
				return err
			}},
			{"negative wait", func() error { _, err := f.Watch(t.Context(), "", 1, -1); return err }},
			{"long wait", func() error { _, err := f.Watch(t.Context(), "", 1, mtstore.MaxWait+1); return err }},
			{"lease without time", func() error { _, err := f.Grant(t.Context(), 0); return err }},
		}
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) { assertType(t, tt.call(), &core.RejectedError{}) })
		}
		_, err := f.Swap(t.Context(), "a", 0, make([]byte, core.MaxValue), "")
		assert.NilError(t, err)
	})
}

// The error of a write must be consistent with its effect. After "unavailable", a
// writer repeats the write immediately, and a write that was applied nevertheless
// would count twice; after "unknown", the writer has to read the entry.
func TestFaultsOfWrites(t *testing.T) {
	tests := []struct {
		name    string
		faults  mtstore.Faults
		want    error
		now     string // the value immediately after the call
		settled string // the value after late writes have been applied
	}{
		{"no faults", mtstore.Faults{}, nil, "new", "new"},
		{"down", mtstore.Faults{Down: true}, &core.UnavailableError{}, "old", "old"},
		{"never answered", mtstore.Faults{Hang: true}, &core.UnknownError{}, "old", "old"},
		{"response lost", mtstore.Faults{LoseAnswers: true}, &core.UnknownError{}, "new", "new"},
		{"dropped", mtstore.Faults{DropWrites: true}, &core.UnknownError{}, "old", "old"},
		{"applied late", mtstore.Faults{LateWrites: time.Minute}, &core.UnknownError{}, "old", "new"},
		{"above the rate limit", mtstore.Faults{WriteRate: 1e-9}, &core.UnavailableError{}, "old", "old"},
		{"fault for other names", mtstore.Faults{LoseAnswers: true, Prefix: "b"}, nil, "new", "new"},
	}
	forEachStore(t, func(t *testing.T, f *fixture) {
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				version := put(t, f, tt.name, 0, "old")
				f.memory.SetFaults(tt.faults)
				if tt.faults.WriteRate > 0 {
					_, _ = f.Swap(t.Context(), "spends the rate", 99, nil, "")
				}
				ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
				if !tt.faults.Hang {
					ctx = t.Context()
				}
				_, err := f.Swap(ctx, tt.name, version, []byte("new"), "")
				cancel()
				f.memory.SetFaults(mtstore.Faults{})
				assertType(t, err, tt.want)
				assertValue(t, f, tt.name, tt.now)
				f.clock.advance(time.Minute)
				assertValue(t, f, tt.name, tt.settled)
			})
		}
	})
}

// A writer gives up on a slow store and its write is applied afterwards. The writer
// must receive an unknown outcome.
func TestWriteMayApplyAfterCallerGivesUp(t *testing.T) {
	forEachStore(t, func(t *testing.T, f *fixture) {
		f.memory.SetFaults(mtstore.Faults{Slow: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
		defer cancel()
		_, err := f.Swap(ctx, "a", 0, []byte("new"), "")
		assertType(t, err, &core.UnknownError{})
		f.memory.SetFaults(mtstore.Faults{})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.memory.ApplyLateWrites() == 1 {
				return poll.Success()
			}
			return poll.Continue("the write is not pending yet")
		}, poll.WithTimeout(longTimeout), poll.WithDelay(time.Millisecond))
		assertValue(t, f, "a", "new")
	})
}

// A write is still pending when its writer, which does not know the outcome, writes
// the next version. The late write must fail then: this is how a writer resolves an
// unknown outcome.
func TestLateWriteConflictsWithNewVersion(t *testing.T) {
	forEachStore(t, func(t *testing.T, f *fixture) {
		put(t, f, "a", 0, "one")
		f.memory.SetFaults(mtstore.Faults{LateWrites: time.Minute, Times: 1})
		_, err := f.Swap(t.Context(), "a", 1, []byte("late"), "")
		assertType(t, err, &core.UnknownError{})
		put(t, f, "a", 1, "mine")
		f.clock.advance(time.Hour)
		assertValue(t, f, "a", "mine")
	})
}

func TestFaultsOfReads(t *testing.T) {
	tests := []struct {
		name   string
		faults mtstore.Faults
		get    error
		watch  error
	}{
		{"no faults", mtstore.Faults{}, nil, nil},
		{"down", mtstore.Faults{Down: true}, &core.UnavailableError{}, &core.UnavailableError{}},
		{"never answered", mtstore.Faults{Hang: true}, &core.UnavailableError{}, &core.UnavailableError{}},
		{"slow", mtstore.Faults{Slow: time.Minute}, &core.UnavailableError{}, &core.UnavailableError{}},
		{"watch cut", mtstore.Faults{CutWatches: true}, nil, &core.UnavailableError{}},
		{"watch late", mtstore.Faults{LateWatches: time.Minute}, nil, &core.UnavailableError{}},
		{"faults of writes", mtstore.Faults{LoseAnswers: true, DropWrites: true, LateWrites: 1}, nil, nil},
	}
	forEachStore(t, func(t *testing.T, f *fixture) {
		put(t, f, "a", 0, "old")
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				f.memory.SetFaults(tt.faults)
				defer f.memory.SetFaults(mtstore.Faults{})
				limit := func(want error) context.Context {
					if want == nil {
						return t.Context()
					}
					ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
					t.Cleanup(cancel)
					return ctx
				}
				_, err := f.Get(limit(tt.get), "a")
				assertType(t, err, tt.get)
				_, err = f.Watch(limit(tt.watch), "", 0, 0)
				assertType(t, err, tt.watch)
			})
		}
	})
}

func TestWatchReportsChanges(t *testing.T) {
	forEachStore(t, func(t *testing.T, f *fixture) {
		empty, err := f.Watch(t.Context(), "", 0, longTimeout)
		assert.NilError(t, err)
		assert.Assert(t, empty.Revision > 0, "a watcher of an empty store would never wait")
		put(t, f, "live/a", 0, "one")
		put(t, f, "live/b", 0, "one")
		put(t, f, "past/c", 0, "one")
		put(t, f, "live/a", 1, "two")
		got, err := f.Watch(t.Context(), "live/", empty.Revision, longTimeout)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, core.Changes{
			Entries: []core.Entry{
				{Name: "live/b", Value: []byte("one"), Version: 1, Revision: 3},
				{Name: "live/a", Value: []byte("two"), Version: 2, Revision: 5},
			},
			Revision: 5,
		})
		none, err := f.Watch(t.Context(), "live/", got.Revision, time.Millisecond)
		assert.NilError(t, err)
		assert.DeepEqual(t, none, core.Changes{Revision: 5})
	})
}

func TestWatchWaitsAndIsCounted(t *testing.T) {
	forEachStore(t, func(t *testing.T, f *fixture) {
		start := put(t, f, "a", 0, "one")
		received := make(chan core.Changes)
		go func() {
			changes, err := f.Watch(t.Context(), "", 2, longTimeout)
			if err != nil {
				t.Errorf("got error %v, want the change", err)
			}
			received <- changes
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.vars.Get("watching").String() == "1" {
				return poll.Success()
			}
			return poll.Continue("the watch is not waiting yet")
		}, poll.WithTimeout(longTimeout), poll.WithDelay(time.Millisecond))
		put(t, f, "a", start, "two")
		got := <-received
		assert.Equal(t, len(got.Entries), 1)
		assert.Equal(t, string(got.Entries[0].Value), "two")
		assert.Equal(t, f.vars.Get("watching").String(), "0")
		assert.Equal(t, f.vars.Get("watch").String(), "1")
		assert.Equal(t, f.vars.Get("swap").String(), "2")
	})
}

func TestTruncatedWatchContinues(t *testing.T) {
	const names = 5
	forEachStore(t, func(t *testing.T, f *fixture) {
		large := string(make([]byte, core.MaxValue/2-64))
		for i := range names {
			put(t, f, string(rune('a'+i)), 0, large)
		}
		var got []string
		var after mtid.Revision
		for more := true; more; {
			changes, err := f.Watch(t.Context(), "", after, longTimeout)
			assert.NilError(t, err)
			for _, entry := range changes.Entries {
				got = append(got, entry.Name)
			}
			after, more = changes.Revision, changes.More
		}
		assert.DeepEqual(t, got, []string{"a", "b", "c", "d", "e"})
	})
}

// A holder is paused for longer than its lease. Its entry must be deleted and reported
// by watches, and its late renewal must be rejected. A re-created entry must continue
// the versions of the old one, or a late write of the old holder would overwrite it.
func TestLeaseExpiresWhileHolderIsPaused(t *testing.T) {
	forEachStore(t, func(t *testing.T, f *fixture) {
		lease, err := f.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		_, err = f.Swap(t.Context(), "a", 0, []byte("held"), lease)
		assert.NilError(t, err)
		f.clock.advance(900 * time.Millisecond)
		assert.NilError(t, f.Renew(t.Context(), lease))
		f.clock.advance(900 * time.Millisecond)
		assertValue(t, f, "a", "held")
		f.clock.advance(100 * time.Millisecond)
		deleted, err := f.Watch(t.Context(), "", 2, longTimeout)
		assert.NilError(t, err)
		assert.DeepEqual(t, deleted.Entries, []core.Entry{{Name: "a", Revision: 3}})
		assertType(t, f.Renew(t.Context(), lease), &core.LeaseExpiredError{})
		_, err = f.Swap(t.Context(), "a", 0, nil, lease)
		assertType(t, err, &core.LeaseExpiredError{})
		assert.Equal(t, put(t, f, "a", 0, "next"), mtid.Version(2))
		_, err = f.Swap(t.Context(), "a", 1, []byte("late"), "")
		assertType(t, err, &core.ConflictError{})
	})
}

func TestFaultsOfLeases(t *testing.T) {
	tests := []struct {
		name   string
		faults mtstore.Faults
		want   error
	}{
		{"no faults", mtstore.Faults{}, nil},
		{"down", mtstore.Faults{Down: true}, &core.UnavailableError{}},
		{"never answered", mtstore.Faults{Hang: true}, &core.UnknownError{}},
		{"slow", mtstore.Faults{Slow: time.Minute}, &core.UnknownError{}},
		{"response lost", mtstore.Faults{LoseAnswers: true}, &core.UnknownError{}},
		{"dropped", mtstore.Faults{DropWrites: true}, &core.UnknownError{}},
	}
	forEachStore(t, func(t *testing.T, f *fixture) {
		lease, err := f.Grant(t.Context(), time.Hour)
		assert.NilError(t, err)
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				f.memory.SetFaults(tt.faults)
				defer f.memory.SetFaults(mtstore.Faults{})
				ctx := t.Context()
				if tt.faults.Hang || tt.faults.Slow > 0 {
					limited, cancel := context.WithTimeout(ctx, shortTimeout)
					defer cancel()
					ctx = limited
				}
				assertType(t, f.Renew(ctx, lease), tt.want)
			})
		}
	})
}

// A daemon is stopped before its call is sent, so the context has already ended. With
// an unknown outcome, it would wait for a write that was never sent.
func TestCanceledContextSendsNothing(t *testing.T) {
	forEachStore(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := f.Swap(ctx, "a", 0, []byte("new"), "")
		assertType(t, err, &core.UnavailableError{})
		_, err = f.Get(t.Context(), "a")
		assertType(t, err, &core.NotFoundError{})
	})
}
