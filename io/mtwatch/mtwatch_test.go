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

// heard notes what a watcher applies.
type heard struct {
	mu      sync.Mutex
	updates []mtwatch.Update
}

func (h *heard) apply(u mtwatch.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updates = append(h.updates, u)
}

func (h *heard) last(name string) (mtstore.Entry, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found mtstore.Entry
	ok := false
	for _, u := range h.updates {
		for _, e := range u.Changes.Entries {
			if e.Name == name {
				found, ok = e, true
			}
		}
	}
	return found, ok
}

func (h *heard) wholes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, u := range h.updates {
		if u.Whole {
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
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func start(t *testing.T, source mtwatch.Source) (*mtwatch.Watcher, *heard) {
	t.Helper()
	h := &heard{}
	w, stop := mtwatch.Start(mtwatch.Config{Store: source, Apply: h.apply, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(stop)
	return w, h
}

// Watches hear nothing for seconds while an operator writes. Whoever learns of
// it otherwise makes the watcher read anew, more often than not in vain.
func TestResyncBringsWhatADeafWatchMissed(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	store.Put("op", []byte("1"))
	w, h := start(t, store)
	until(t, "the first is heard", func() bool { _, ok := h.last("op"); return ok })
	store.Deafen(true)
	store.Put("op", []byte("2"))
	w.Resync(time.Now())
	until(t, "the second is heard", func() bool { e, _ := h.last("op"); return string(e.Value) == "2" })
	before := h.wholes()
	w.Resync(time.Now())
	w.Resync(time.Now())
	assert.Equal(t, h.wholes(), before, "two in a row cost the store two readings")
}

func TestAForgottenHistoryIsReadAnew(t *testing.T) {
	store := mtstandin.NewRevisions(time.Now)
	_, h := start(t, store)
	until(t, "the start is read", func() bool { return h.wholes() == 1 })
	store.Deafen(true)
	store.Put("a", nil)
	store.Compact()
	store.Deafen(false)
	until(t, "all is read again", func() bool { return h.wholes() == 2 })
	_, ok := h.last("a")
	assert.Assert(t, ok)
}

// behind answers the second watch from a replica that knows less.
type behind struct {
	mu    sync.Mutex
	calls int
}

func (s *behind) Watch(ctx context.Context, _ string, _ mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
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

func TestAnAnswerFromBehindChangesNothing(t *testing.T) {
	_, h := start(t, &behind{})
	until(t, "the third answer is heard", func() bool { _, ok := h.last("b"); return ok })
	e, _ := h.last("a")
	assert.Equal(t, string(e.Value), "new")
}

// away is a store that never answers, and counts how often it is asked.
type away struct{ asked atomic.Int64 }

// Watch implements mtwatch.Source.
func (s *away) Watch(context.Context, string, mtid.Revision, time.Duration) (mtstore.Changes, error) {
	s.asked.Add(1)
	return mtstore.Changes{}, &mtstore.UnavailableError{Op: "watch", Err: context.DeadlineExceeded}
}

// The store is back, and a daemon knows it by its record. Its watch paused for up to 0.9 s,
// and it granted nothing by a copy of before the outage.
func TestHurryEndsThePauseAfterAFailure(t *testing.T) {
	store := &away{}
	w, _ := start(t, store)
	const more = 200 // at a pause each they take over a minute
	until(t, "the store is asked without a pause", func() bool {
		w.Hurry()
		return store.asked.Load() >= more
	})
}
