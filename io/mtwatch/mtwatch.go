// Package mtwatch watches the platform's store for changes. It handles outages, connections
// that are cut or unresponsive, and revisions that the store has compacted.
//
// # Usage
//
//	watcher, stop := mtwatch.Start(mtwatch.Config{Source: store, Apply: apply, Log: log})
//	defer stop()
//	watcher.Resync(time.Now()) // if the watch is known to have missed something
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
	// PollTimeout is how long one watch waits for changes. The store charges for each call, and a
	// longer wait needs fewer of them.
	PollTimeout = 20 * time.Second
	// confirmTimeout is the same after a failure: only an answer shows that the store is available
	// again, and there may be no changes for long.
	confirmTimeout = 200 * time.Millisecond
	// minBackoff and maxBackoff limit the pause between two attempts while the store fails.
	// The longer one bounds how late a watcher notices that the store is available again.
	// The store charges for each attempt: with 0.4 s, 75 daemons made 2,000 in an outage of
	// eight seconds.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
)

// Update is a set of changes that a watch has returned.
type Update struct {
	Changes mtstore.Changes
	// Snapshot reports that Changes contains all existing entries, so that an entry that is
	// not in it has been deleted.
	Snapshot bool
}

// Source is where a Watcher gets changes from: the store, or another daemon that watches
// it.
type Source interface {
	// Watch has the same contract as mtstore.Store.Watch.
	Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error)
}

// Config holds the settings and dependencies of a Watcher.
type Config struct {
	Source Source
	Apply  func(Update)
	// Health is called with true after each watch that succeeds, and with false after each
	// one that fails for another reason than a compaction. It may be nil.
	Health func(up bool)
	Log    *slog.Logger
}

// Start starts to watch and returns the Watcher and a function that stops it.
func Start(config Config) (*Watcher, func()) {
	if config.Health == nil {
		config.Health = func(bool) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{Config: config}
	var loop sync.WaitGroup
	loop.Go(func() {
		for ctx.Err() == nil {
			w.runAttempt(ctx)
		}
	})
	return w, func() {
		cancel()
		loop.Wait()
	}
}

// allNames is the prefix of all names. The store charges for each watch, so a single one
// covers all kinds of entries.
const allNames = ""

// Watcher watches the store and applies the changes in order of revision.
type Watcher struct {
	Config
	applied  mtid.Revision // all changes up to it were applied
	failures int           // consecutive failed attempts

	mu         sync.Mutex
	cancel     context.CancelFunc // cancels the current attempt
	pausing    bool               // after a failure
	reading    bool               // a full read is under way
	resync     bool
	lastResync time.Time // when the last Resync took effect
}

// minResyncInterval is the minimum time between two calls of Resync that take effect, since
// each makes the store return all entries.
const minResyncInterval = 300 * time.Millisecond

// Resync makes the watcher read all entries again. It is for callers that know of a change
// that the watch has missed, and that call it again while they miss it: a full read that is
// under way goes on. Over a slow link no read would end if each call began another.
func (w *Watcher) Resync(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.lastResync) < minResyncInterval || w.reading {
		return
	}
	w.lastResync = now
	w.resync = true
	if w.cancel != nil {
		w.cancel()
	}
}

// RetryNow ends the pause after a failure, since the store is known to be available again.
// Without it, a daemon that had restored its record waited up to 0.9 s for its watch, and
// granted nothing in the meantime.
func (w *Watcher) RetryNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pausing {
		w.cancel()
	}
}

// runAttempt runs one watch, which Resync can cancel.
func (w *Watcher) runAttempt(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	if w.resync {
		w.applied, w.resync = 0, false
	}
	w.reading = w.applied == 0
	w.mu.Unlock()
	w.watchOnce(ctx)
}

// watchOnce makes one watch call and applies the result.
func (w *Watcher) watchOnce(ctx context.Context) {
	snapshot := w.applied == 0
	wait := PollTimeout
	if w.failures > 0 {
		wait = confirmTimeout
	}
	changes, err := w.Source.Watch(ctx, allNames, w.applied, wait)
	w.endRead()
	if err != nil {
		w.handleFailure(ctx, err)
		return
	}
	w.noteSuccess()
	if changes.Revision < w.applied {
		// The answer came from a replica that lags behind, and would revert what has been
		// applied.
		w.Log.Warn("older answer passed over", "revision", uint64(changes.Revision), "applied", uint64(w.applied))
		mtduty.Sleep(ctx, minBackoff)
		return
	}
	w.applied = changes.Revision
	if snapshot || len(changes.Entries) > 0 {
		w.Apply(Update{Changes: changes, Snapshot: snapshot})
	}
}

// endRead lets Resync take effect again, also while the update is applied: that may find that it
// can't be used.
func (w *Watcher) endRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = false
}

// noteSuccess resets the failures and reports that the store is available.
func (w *Watcher) noteSuccess() {
	if w.failures > 0 {
		w.Log.Info("watch works again", "failures", w.failures)
	}
	w.failures = 0
	w.Health(true)
}

// handleFailure reports a failure and pauses before the next attempt. After a compaction it
// makes the next attempt read all entries, without a pause.
func (w *Watcher) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var compacted *mtstore.CompactedError
	if errors.As(err, &compacted) {
		w.Log.Warn("revisions were compacted: reading everything again", "after", uint64(w.applied), "error", err)
		w.applied = 0
		return
	}
	w.Log.Warn("watch failed", "after", uint64(w.applied), "failures", w.failures+1, "error", err)
	w.Health(false)
	pause := min(minBackoff<<min(w.failures, 8), maxBackoff)
	w.failures++
	w.setPausing(true)
	defer w.setPausing(false)
	mtduty.Sleep(ctx, pause/2+rand.N(pause/2))
}

func (w *Watcher) setPausing(pausing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausing = pausing
}
