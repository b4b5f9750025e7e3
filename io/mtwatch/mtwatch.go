// Package mtwatch follows the platform's store through everything that befalls a
// watch: outages, cut and silent connections,
// and a history that was forgotten.
//
// # Usage
//
//	watcher, stop := mtwatch.Start(mtwatch.Config{Store: store, Apply: apply, Log: log})
//	defer stop()
//	watcher.Resync() // if it is known otherwise that the watch has missed something
//
// Apply is called from one goroutine, in order of revision.
package mtwatch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtduty"
)

const (
	// Wait is how long one watch waits for changes. Each watch is a call that is
	// paid for; the longer it waits, the fewer there are.
	Wait = 20 * time.Second
	// firstPause and maxPause are between two attempts while the store fails.
	// The longer one bounds how late a watcher hears that the store is back. Each
	// attempt is paid for: with 0.4 s, 75 daemons made 2,000 in an outage of eight
	// seconds.
	firstPause = 50 * time.Millisecond
	maxPause   = 900 * time.Millisecond
)

// Update is what a watcher hears.
type Update struct {
	Changes mtstore.Changes
	// Whole says that Changes holds everything that exists, so that whatever is
	// not in it was deleted.
	Whole bool
}

// Source is where changes are heard of: the store, or another daemon that
// watches it.
type Source interface {
	// Watch is that of mtstore.Store.
	Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error)
}

// Config is what a watcher works with.
type Config struct {
	Store Source
	Apply func(Update)
	// Health is told when the store answers a watch again, and when it fails.
	// It may be nil.
	Health func(up bool)
	Log    *slog.Logger
}

// Start starts to follow and returns the Watcher and the function that ends it.
func Start(config Config) (*Watcher, func()) {
	if config.Health == nil {
		config.Health = func(bool) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{Config: config}
	var duty sync.WaitGroup
	duty.Go(func() {
		for ctx.Err() == nil {
			w.attempt(ctx)
		}
	})
	return w, func() {
		cancel()
		duty.Wait()
	}
}

// everything is the prefix of all names. Each watch is paid for, so that there is
// one, not one for each kind of entry.
const everything = ""

// Watcher follows the store.
type Watcher struct {
	Config
	after  mtid.Revision // everything up to it was applied
	failed int           // attempts in a row

	mu      sync.Mutex
	cancel  context.CancelFunc // of the present attempt
	pausing bool               // after a failure
	resync  bool
	resyncs time.Time // the last one
}

// resyncPause is the least time between two Resyncs that take effect: each costs
// the store a reading of everything.
const resyncPause = 300 * time.Millisecond

// Resync makes the watcher read everything again. A watch may hear nothing
// although changes are made.
func (w *Watcher) Resync(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.resyncs) < resyncPause {
		return
	}
	w.resyncs = now
	w.resync = true
	if w.cancel != nil {
		w.cancel()
	}
}

// Hurry ends the pause after a failure: the store is known to answer again. A daemon
// whose record was back waited up to 0.9 s for its watch, and granted nothing meanwhile.
func (w *Watcher) Hurry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pausing {
		w.cancel()
	}
}

// attempt makes one step that a Resync can end.
func (w *Watcher) attempt(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	if w.resync {
		w.after, w.resync = 0, false
	}
	w.mu.Unlock()
	w.step(ctx)
}

// step makes one watch and applies what it brings.
func (w *Watcher) step(ctx context.Context) {
	whole := w.after == 0
	changes, err := w.Store.Watch(ctx, everything, w.after, Wait)
	if err != nil {
		w.fail(ctx, err)
		return
	}
	w.recover()
	if changes.Revision < w.after {
		// An answer from a replica that is behind: it would take back what was
		// applied.
		return
	}
	w.after = changes.Revision
	if whole || len(changes.Entries) > 0 {
		w.Apply(Update{Changes: changes, Whole: whole})
	}
}

// recover notes that the store answers.
func (w *Watcher) recover() {
	if w.failed > 0 {
		w.Log.Info("watch works again", "failures", w.failed)
	}
	w.failed = 0
	w.Health(true)
}

// fail notes a failure and waits before the next attempt.
func (w *Watcher) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var compacted *mtstore.CompactedError
	if errors.As(err, &compacted) {
		w.Log.Warn("watch has to read everything again", "after", uint64(w.after), "error", err)
		w.after = 0
		return
	}
	w.Log.Warn("watch failed", "after", uint64(w.after), "failures", w.failed+1, "error", err)
	w.Health(false)
	pause := min(firstPause<<min(w.failed, 8), maxPause)
	w.failed++
	w.setPausing(true)
	defer w.setPausing(false)
	mtduty.Sleep(ctx, pause/2+rand.N(pause/2))
}

func (w *Watcher) setPausing(pausing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausing = pausing
}
