// Package mtsync keeps a daemon's copy of the live state up to date.
//
// The copy receives changes in three ways. Two daemons per availability zone, chosen by
// rendezvous rank, keep a watch open at the platform's store. Every daemon receives the
// frontiers of its peers on the renewal datagrams, and pulls the delta from any peer that
// is ahead. And every daemon reads the store once a minute, which recovers whatever the
// first two missed. If the store is down, a daemon that starts pulls the state from its
// seeds.
//
// # Usage
//
//	sync, cleanUp := mtsync.New(config)
//	sync.Hint(address, frontier) // from a datagram or a relayed request
//	sync.Refresh()               // after this daemon has written to the store
//	sync.OnChange(func(names []string) { ... })
package mtsync

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtring"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtduty"
)

// WatchersPerZone is how many daemons of each availability zone watch the store.
const WatchersPerZone = 2

const (
	watchWait           = 30 * time.Second // a watch counts as one call to the store, however long it waits
	antiEntropyInterval = time.Minute
	pullTimeout         = 2 * time.Second
	retryDelay          = time.Second // after a failed call to the store
	hintQueueSize       = 256
	refreshTimeout      = 3 * time.Second
)

// puller pulls deltas from peers. The client of the relay implements it.
type puller interface {
	Pull(ctx context.Context, address string, after mtid.Revision, full bool) (mtview.Delta, error)
}

// Config defines the identity, the peers and the dependencies of a Sync.
type Config struct {
	Self  mtid.Daemon
	Zone  mtid.Zone
	Seeds []string // relay addresses of the peers to pull from while the store is down
	Store mtstore.Store
	Peers puller
	View  *mtview.View
	// Count increments a counter of the metrics by one.
	Count func(name string)
	Log   *slog.Logger
}

// hint reports that a peer's copy is complete up to a revision.
type hint struct {
	address  string
	revision mtid.Revision
}

// Sync updates the copy in the background. See the package comment.
type Sync struct {
	config    Config
	hints     *mtring.Ring[hint]
	refresh   chan struct{}
	mu        sync.Mutex
	listeners []func(names []string)
	loaded    atomic.Bool // the state was read at least once
}

// New starts the background tasks and returns the Sync with its clean-up function, which
// stops the tasks and waits until they have returned.
func New(config Config) (*Sync, func()) {
	s := &Sync{config: config, hints: mtring.New[hint](hintQueueSize), refresh: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { s.pullHints(ctx) })
	tasks.Go(func() { s.readStore(ctx) })
	tasks.Go(func() { s.watchStore(ctx) })
	return s, func() {
		cancel()
		tasks.Wait()
	}
}

// Hint reports that the copy of the peer at a relay address is complete up to a revision.
// It is called for every datagram, and does nothing if the copy of this daemon is at least
// as recent.
func (s *Sync) Hint(address string, revision mtid.Revision) {
	if address == "" || revision <= s.config.View.Snapshot().Frontier() {
		return
	}
	s.hints.Put(hint{address: address, revision: revision})
}

// Refresh schedules a read of the store. It is called after a write.
func (s *Sync) Refresh() {
	select {
	case s.refresh <- struct{}{}:
	default:
	}
}

// Loaded reports whether the live state was read at least once, from the store or from a
// peer.
func (s *Sync) Loaded() bool { return s.loaded.Load() }

// OnChange registers a function that is called with the names that have changed. It is
// called by the task that received the change and must not block.
func (s *Sync) OnChange(f func(names []string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// merge applies a delta and notifies the listeners.
func (s *Sync) merge(d mtview.Delta) error {
	changed, err := s.config.View.Merge(d)
	s.loaded.Store(true)
	if len(changed) == 0 {
		return err
	}
	s.config.Count("merged")
	s.mu.Lock()
	listeners := slices.Clone(s.listeners)
	s.mu.Unlock()
	for _, f := range listeners {
		f(changed)
	}
	return err
}

// pullHints pulls from peers that are ahead, one at a time.
func (s *Sync) pullHints(ctx context.Context) {
	for {
		h, ok := s.hints.Take(ctx.Done())
		if !ok {
			return
		}
		if h.revision <= s.config.View.Snapshot().Frontier() {
			continue
		}
		s.pull(ctx, h.address)
	}
}

// pull updates the copy to a peer's frontier and reports whether that succeeded.
func (s *Sync) pull(ctx context.Context, address string) bool {
	full := false
	for {
		after := s.config.View.Snapshot().Frontier()
		d, err := s.pullOnce(ctx, address, after, full)
		if err != nil {
			s.config.Count("pull_failed")
			s.config.Log.Debug("pulling a delta from a peer failed", "address", address, "error", err)
			return false
		}
		s.config.Count("pulled")
		err = s.merge(d)
		var gap *mtshard.GapError
		switch {
		case errors.As(err, &gap) && !full:
			full = true
			continue
		case err != nil:
			s.refetch(ctx, err)
			return false
		case !d.More || d.Revision <= after:
			return true
		}
	}
}

func (s *Sync) pullOnce(ctx context.Context, address string, after mtid.Revision, full bool) (mtview.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return s.config.Peers.Pull(ctx, address, after, full)
}

// refetch reads a value from the store that could not be applied in the form in which a
// peer sent it. Otherwise the frontier could never advance past it.
func (s *Sync) refetch(ctx context.Context, failed error) {
	var item *mtview.ItemError
	if !errors.As(failed, &item) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	entry, err := s.config.Store.Get(ctx, item.Name)
	if err != nil {
		return
	}
	d := mtview.Delta{After: s.config.View.Snapshot().Frontier(), Items: []mtview.Item{{
		Name: entry.Name, Version: entry.Version, Revision: entry.Revision, Value: entry.Value,
	}}}
	if err := s.merge(d); err != nil {
		s.config.Log.Warn("applying a value read from the store failed", "name", item.Name, "error", err)
	}
}

// readStore reads the store at the start, on each Refresh, and once a minute.
func (s *Sync) readStore(ctx context.Context) {
	for !s.readOnce(ctx) {
		if s.startFromSeeds(ctx) {
			break
		}
		if !mtduty.Sleep(ctx, retryDelay) {
			return
		}
	}
	mtduty.Repeat(ctx, antiEntropyInterval, s.refresh, func(ctx context.Context) { s.readOnce(ctx) })
}

// readOnce applies all changes that the store has now.
func (s *Sync) readOnce(ctx context.Context) bool {
	return s.watch(ctx, 0, refreshTimeout) == nil
}

// watch applies the changes after the frontier. If there are none, it waits for some.
func (s *Sync) watch(ctx context.Context, wait, margin time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	for {
		after := s.config.View.Snapshot().Frontier()
		changes, err := s.config.Store.Watch(ctx, mtstore.LivePrefix, after, wait)
		if err != nil {
			s.config.Count("store_failed")
			return err
		}
		s.config.Count("store_read")
		if err := s.merge(mtview.FromStore(after, changes)); err != nil {
			s.config.Log.Warn("applying changes read from the store failed", "error", err)
			return err
		}
		if !changes.More {
			return nil
		}
	}
}

// startFromSeeds pulls the state from the seeds while the store is down. It pulls from all
// of them, since some may have just started with an empty copy: the highest revision wins.
func (s *Sync) startFromSeeds(ctx context.Context) bool {
	found := false
	for _, address := range s.config.Seeds {
		if s.pull(ctx, address) && s.config.View.Snapshot().Frontier() > 0 {
			found = true
		}
	}
	return found
}

// watchStore keeps a watch open while this daemon is one of its zone's watchers.
func (s *Sync) watchStore(ctx context.Context) {
	for {
		if !s.Loaded() || !s.IsWatcher() {
			if !mtduty.Sleep(ctx, retryDelay) {
				return
			}
			continue
		}
		if err := s.watch(ctx, watchWait, refreshTimeout); err != nil && !mtduty.Sleep(ctx, retryDelay) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// IsWatcher reports whether this daemon watches the store for its zone, that is, whether it
// has one of the first ranks there. Daemons with different views of the roster may
// disagree. There is then one watcher more or fewer, which the read once a minute
// compensates for.
func (s *Sync) IsWatcher() bool {
	var candidates []mtid.Daemon
	for _, r := range s.config.View.Snapshot().Roster() {
		if r.Zone == s.config.Zone && r.MayHoldLease() && r.Holder.Daemon != s.config.Self {
			candidates = append(candidates, r.Holder.Daemon)
		}
	}
	candidates = append(candidates, s.config.Self)
	slices.SortFunc(candidates, func(a, b mtid.Daemon) int {
		return cmp.Compare(mtid.Rank(b, 0), mtid.Rank(a, 0))
	})
	return slices.Index(candidates, s.config.Self) < WatchersPerZone
}
