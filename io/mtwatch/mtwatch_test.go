package mtwatch_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mtwatch"
)

// laggingSource answers each watch at once with an older revision than the one asked for.
type laggingSource struct{ watches atomic.Int64 }

// Watch implements mtwatch.Source.
func (s *laggingSource) Watch(_ context.Context, _ string, after mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
	if after == 0 {
		return mtstore.Changes{Revision: 9}, nil
	}
	s.watches.Add(1)
	return mtstore.Changes{Revision: 8}, nil
}

// Guards against calls without a pause, each of which is charged, to a store that answers at once with what is older than known.
func TestOlderAnswersAreNotAskedForWithoutPause(t *testing.T) {
	source, began := &laggingSource{}, time.Now()
	_, stop := mtwatch.Start(mtwatch.Config{Source: source, Apply: func(mtwatch.Update) {}, Log: slog.New(slog.DiscardHandler)})
	defer stop()
	const watches = 20
	until(t, "it has watched often", func() bool { return source.watches.Load() >= watches })
	assert.Assert(t, time.Since(began) > watches*20*time.Millisecond, "%s", time.Since(began))
}

// recorder records the updates that a watcher applies.
type recorder struct {
	mu      sync.Mutex
	updates []mtwatch.Update
}

func (r *recorder) apply(u mtwatch.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates = append(r.updates, u)
}

func (r *recorder) last(name string) (mtstore.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found mtstore.Entry
	ok := false
	for _, u := range r.updates {
		for _, e := range u.Changes.Entries {
			if e.Name == name {
				found, ok = e, true
			}
		}
	}
	return found, ok
}

func (r *recorder) snapshots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, u := range r.updates {
		if u.Snapshot {
			n++
		}
	}
	return n
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func start(t *testing.T, source mtwatch.Source) (*mtwatch.Watcher, *recorder) {
	t.Helper()
	r := &recorder{}
	w, stop := mtwatch.Start(mtwatch.Config{Source: source, Apply: r.apply, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(stop)
	return w, r
}

// A watch can miss changes for seconds while an operator writes. A caller that is notified of
// a change in another way uses Resync to read everything, more often than necessary, so
// Resync must be rate-limited.
func TestResyncReadsMissedChange(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	store.Put("op", []byte("1"))
	w, r := start(t, store)
	until(t, "the first value is applied", func() bool { _, ok := r.last("op"); return ok })
	store.SuppressWatchEvents(true)
	store.Put("op", []byte("2"))
	w.Resync(time.Now())
	until(t, "the second value is applied", func() bool { e, _ := r.last("op"); return string(e.Value) == "2" })
	before := r.snapshots()
	w.Resync(time.Now())
	w.Resync(time.Now())
	assert.Equal(t, r.snapshots(), before, "a Resync right after another one read everything again")
}

func TestCompactionCausesFullRead(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	_, r := start(t, store)
	until(t, "all entries are read", func() bool { return r.snapshots() == 1 })
	store.SuppressWatchEvents(true)
	store.Put("a", nil)
	store.Compact()
	store.SuppressWatchEvents(false)
	until(t, "all entries are read again", func() bool { return r.snapshots() == 2 })
	_, ok := r.last("a")
	assert.Assert(t, ok)
}

// staleReplica answers the second watch from an earlier revision.
type staleReplica struct {
	mu    sync.Mutex
	calls int
}

func (s *staleReplica) Watch(ctx context.Context, _ string, _ mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch s.calls {
	case 1:
		return mtstore.Changes{Revision: 9, Entries: []mtstore.Entry{{Name: "a", Version: 9, Revision: 9, Value: []byte("new")}}}, nil
	case 2:
		return mtstore.Changes{Revision: 5, Entries: []mtstore.Entry{{Name: "a", Version: 5, Revision: 5, Value: []byte("old")}}}, nil
	case 3:
		return mtstore.Changes{Revision: 10, Entries: []mtstore.Entry{{Name: "b", Version: 10, Revision: 10}}}, nil
	}
	<-ctx.Done()
	return mtstore.Changes{}, ctx.Err()
}

func TestStaleReplicaAnswerIsIgnored(t *testing.T) {
	_, r := start(t, &staleReplica{})
	until(t, "the third answer is applied", func() bool { _, ok := r.last("b"); return ok })
	e, _ := r.last("a")
	assert.Equal(t, string(e.Value), "new")
}

// unavailableStore is a store that fails every watch, and counts the calls.
type unavailableStore struct{ calls atomic.Int64 }

// Watch implements mtwatch.Source.
func (s *unavailableStore) Watch(context.Context, string, mtid.Revision, time.Duration) (mtstore.Changes, error) {
	s.calls.Add(1)
	return mtstore.Changes{}, &mtstore.UnavailableError{Op: "watch", Err: context.DeadlineExceeded}
}

// The store is available again, and the daemon knows it because its record was written.
// Without RetryNow its watch paused for up to 0.9 s, and the daemon granted nothing, since
// its copy was from before the outage.
func TestPauseAfterFailureCanBeEnded(t *testing.T) {
	store := &unavailableStore{}
	w, _ := start(t, store)
	const calls = 200 // with a pause after each they would take over a minute
	until(t, "the store is called without pauses", func() bool {
		w.RetryNow()
		return store.calls.Load() >= calls
	})
}

// Guards against a store that counts as unavailable until the next change, long after it answers again.
func TestReturnIsNoticedWithoutChanges(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	store.Put("a", nil)
	var up atomic.Bool
	_, stop := mtwatch.Start(mtwatch.Config{Source: store, Apply: func(mtwatch.Update) {}, Health: up.Store, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(stop)
	until(t, "the store answers", up.Load)
	store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op} })
	until(t, "the failure is noticed", func() bool { return !up.Load() })
	store.Fail(nil)
	returned := time.Now()
	until(t, "the return is noticed", up.Load)
	assert.Assert(t, time.Since(returned) < mtwatch.PollTimeout/4, "noticed after %s", time.Since(returned))
}
