// Package mtsync keeps a daemon's copy of the live state up to date.
//
// Three ways feed it. Two daemons per availability zone, chosen by rendezvous
// rank, keep a watch open at the platform's store. Every daemon hears its
// peers' frontiers on the renewal datagrams and pulls the delta from whoever is
// ahead. And every daemon asks the store once a minute, which mends whatever
// the first two missed. With the store down, a daemon that starts takes the
// state from its seeds.
//
// # Usage
//
//	sync, cleanUp := mtsync.New(config)
//	sync.Hint(address, frontier) // from a datagram or a relayed request
//	sync.Refresh()               // after a write of one's own
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

// WatchersPerZone is how many daemons of an availability zone watch the store.
const WatchersPerZone = 2

const (
	watchWait      = 30 * time.Second // a waiting watch is one call of the store
	antiEntropy    = time.Minute
	pullTimeout    = 2 * time.Second
	retryAfter     = time.Second // after a failed call of the store
	hintsWaiting   = 256
	refreshTimeout = 3 * time.Second
)

// puller is the part of the relay's client that pulls deltas.
type puller interface {
	Pull(ctx context.Context, address string, after mtid.Revision, whole bool) (mtview.Delta, error)
}

// Config is what a Sync works with.
type Config struct {
	Self  mtid.Daemon
	Zone  mtid.Zone
	Seeds []string // relay addresses of peers to ask while the store is down
	Store mtstore.Store
	Peers puller
	View  *mtview.View
	// Count adds one to a counter of this duty.
	Count func(name string)
	Log   *slog.Logger
}

// hint says that a peer is complete up to a revision.
type hint struct {
	address  string
	revision mtid.Revision
}

// Sync runs the duties.
type Sync struct {
	config    Config
	hints     *mtring.Ring[hint]
	refresh   chan struct{}
	mu        sync.Mutex
	listeners []func(names []string)
	started   atomic.Bool // the state was read at least once
}

// New starts the duties and returns the Sync with its clean-up function, which
// returns when all duties have ended.
func New(config Config) (*Sync, func()) {
	s := &Sync{config: config, hints: mtring.New[hint](hintsWaiting), refresh: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { s.pullHints(ctx) })
	duties.Go(func() { s.readStore(ctx) })
	duties.Go(func() { s.watchStore(ctx) })
	return s, func() {
		cancel()
		duties.Wait()
	}
}

// Hint says that the peer at a relay address is complete up to a revision. It
// is called for every datagram and costs nothing if the copy is as far.
func (s *Sync) Hint(address string, revision mtid.Revision) {
	if address == "" || revision <= s.config.View.Snapshot().Frontier() {
		return
	}
	s.hints.Put(hint{address: address, revision: revision})
}

// Refresh asks the store for changes soon. It is called after a write.
func (s *Sync) Refresh() {
	select {
	case s.refresh <- struct{}{}:
	default:
	}
}

// Started reports whether the live state was read once, from the store or a
// peer.
func (s *Sync) Started() bool { return s.started.Load() }

// OnChange adds a function that is called with the names that changed, by the
// duty that learnt of them. It must not block.
func (s *Sync) OnChange(f func(names []string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// merge takes a delta in and tells the listeners.
func (s *Sync) merge(d mtview.Delta) error {
	changed, err := s.config.View.Merge(d)
	s.started.Store(true)
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

// pull brings the copy up to a peer's frontier and reports whether it could.
func (s *Sync) pull(ctx context.Context, address string) bool {
	whole := false
	for {
		after := s.config.View.Snapshot().Frontier()
		d, err := s.pullOnce(ctx, address, after, whole)
		if err != nil {
			s.config.Count("pull_failed")
			s.config.Log.Debug("pull failed", "address", address, "error", err)
			return false
		}
		s.config.Count("pulled")
		err = s.merge(d)
		var gap *mtshard.GapError
		switch {
		case errors.As(err, &gap) && !whole:
			whole = true
			continue
		case err != nil:
			s.mend(ctx, err)
			return false
		case !d.More || d.Revision <= after:
			return true
		}
	}
}

func (s *Sync) pullOnce(ctx context.Context, address string, after mtid.Revision, whole bool) (mtview.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return s.config.Peers.Pull(ctx, address, after, whole)
}

// mend reads a value from the store after a peer's form of it was no use. A
// frontier that can't pass the value would stay for good otherwise.
func (s *Sync) mend(ctx context.Context, failed error) {
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
		s.config.Log.Warn("value can't be read", "name", item.Name, "error", err)
	}
}

// readStore reads at the start, when asked to, and once a minute.
func (s *Sync) readStore(ctx context.Context) {
	for !s.readOnce(ctx) {
		if s.startFromSeeds(ctx) {
			break
		}
		if !mtduty.Sleep(ctx, retryAfter) {
			return
		}
	}
	ticker := time.NewTicker(antiEntropy)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.refresh:
		}
		s.readOnce(ctx)
	}
}

// readOnce takes in all changes that the store knows now.
func (s *Sync) readOnce(ctx context.Context) bool {
	return s.watch(ctx, 0, refreshTimeout) == nil
}

// watch takes in the changes after the frontier, waiting for some if there are
// none.
func (s *Sync) watch(ctx context.Context, wait, spare time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+spare)
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
			s.config.Log.Warn("live state can't be read", "error", err)
			return err
		}
		if !changes.More {
			return nil
		}
	}
}

// startFromSeeds takes the state from the seeds while the store is down. All
// are asked, since one of them may have started just now and know nothing: the
// highest revision wins.
func (s *Sync) startFromSeeds(ctx context.Context) bool {
	found := false
	for _, address := range s.config.Seeds {
		if s.pull(ctx, address) && s.config.View.Snapshot().Frontier() > 0 {
			found = true
		}
	}
	return found
}

// watchStore keeps a watch open while this daemon is among its zone's watchers.
func (s *Sync) watchStore(ctx context.Context) {
	for {
		if !s.Started() || !s.Watcher() {
			if !mtduty.Sleep(ctx, retryAfter) {
				return
			}
			continue
		}
		if err := s.watch(ctx, watchWait, refreshTimeout); err != nil && !mtduty.Sleep(ctx, retryAfter) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// Watcher reports whether this daemon watches the store for its zone: whether
// it has one of the first ranks there. Daemons that see another roster may
// disagree; then there is a watcher more or fewer, which anti-entropy covers.
func (s *Sync) Watcher() bool {
	var zone []mtid.Daemon
	for _, r := range s.config.View.Snapshot().Roster() {
		if r.Zone == s.config.Zone && r.MayHoldLease() && r.Holder.Daemon != s.config.Self {
			zone = append(zone, r.Holder.Daemon)
		}
	}
	zone = append(zone, s.config.Self)
	slices.SortFunc(zone, func(a, b mtid.Daemon) int {
		return cmp.Compare(mtid.Rank(b, 0), mtid.Rank(a, 0))
	})
	return slices.Index(zone, s.config.Self) < WatchersPerZone
}
