package mtmesh

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtwatch"
)

// Each change costs the store one reply for each watch, and all calls to it are billed. So
// two daemons watch it, and the others pull updates from them (core/mtspread).
const (
	// batchDelay is how long a watcher waits after a change before it requests the next
	// ones, so that changes in quick succession cost one reply.
	batchDelay = 110 * time.Millisecond
	// startupBatchDelay replaces batchDelay while no configuration is known: no requests
	// are served yet, and all daemons write their records at once when the whole system
	// starts.
	startupBatchDelay = 500 * time.Millisecond
	// storePause is how long a watcher pulls from the other one before it tries the store again.
	storePause = 2 * time.Second
	// upstreamPause is how long an upstream is skipped after a failed pull.
	upstreamPause = time.Second
	// maxUpstreamAttempts is how many upstreams are tried before the store. While the
	// distributor of a zone restarts, all others of the zone need another upstream for a
	// second.
	maxUpstreamAttempts = 2
	// minPullInterval is the minimum time between two pulls that return no changes. An
	// upstream whose configuration is fresh, but not yet known here, would answer each of
	// them at once.
	minPullInterval = 50 * time.Millisecond
	// startupPause is how long a daemon that should not watch the store waits for an
	// upstream when the whole system starts, and maxStartupPauses how often it does.
	startupPause     = 300 * time.Millisecond
	maxStartupPauses = 8
	// maxPullWait is how long a pull waits at the upstream for changes before it is repeated.
	// That is longer than it takes to detect a lost connection.
	maxPullWait = 10 * time.Second
	// formerUse is how long after the beginning of an era of the store daemons count as present
	// that have not written their records in it.
	formerUse = 3 * time.Second
	// maxServingHops is the maximum distance from the store of a daemon that serves pulls.
	// Without the limit, two daemons could pull from each other, count ever more hops and
	// receive nothing.
	maxServingHops = 2
)

// upstreamClient pulls updates from other daemons.
type upstreamClient interface {
	PullChanges(ctx context.Context, address string, q mtforward.ChangesRequest) (mtforward.ChangesReply, error)
}

// changeFeed receives the changes of the store, from the store itself or from an upstream
// daemon, and serves them to other daemons.
type changeFeed struct {
	self      mtid.Daemon
	zone      mtid.Zone
	store     mtwatch.Source
	peers     upstreamClient
	clock     clock
	freshness *freshness
	directory func() *mtdirectory.Directory // returns nil before the directory exists
	// configured reports whether a configuration is in force.
	configured func() bool
	// hops is the distance from the store: one if this daemon watches the store itself,
	// zero while it receives no changes.
	hops atomic.Int32
	// changed is signaled when waiting pulls have to be checked again.
	changed *broadcast
	// newestConfiguration returns the entry of the newest configuration received, if it is later than
	// the given version. The directory's may be older.
	newestConfiguration func(known mtid.Version) (mtstore.Entry, bool)
	// tree returns the distribution tree as this daemon knows it.
	tree   func() *mtspread.Tree
	cached atomic.Pointer[cachedTree]
	// fullReadStarted is when the last full read from the store itself began.
	fullReadStarted atomic.Int64
	// pausedUntil is until when upstreams are skipped, by address. Only the goroutine that
	// calls Watch uses it.
	pausedUntil map[string]time.Time
	// silent tracks the daemons that answer nothing; nil if all answer.
	silent *silentPeers
	// storePausedUntil is until when a watcher pulls from the other one, because the store
	// turned it away. Only the goroutine that calls Watch uses it.
	storePausedUntil time.Time
	startupPauses    int // made so far, before a configuration was in force
}

// cachedTree is the distribution tree for one version of the members.
type cachedTree struct {
	membership uint64 // MembershipVersion of the view
	former     bool   // it contains members whose records are of an earlier era of the store
	silent     uint64 // version of the daemons that are passed over
	tree       *mtspread.Tree
}

// view returns the current copy of the directory, or nil before the directory exists.
func (f *changeFeed) view() *mtdirectory.View {
	directory := f.directory()
	if directory == nil {
		return nil
	}
	return directory.View()
}

// memberTree returns the distribution tree of the known live members.
func (f *changeFeed) memberTree() *mtspread.Tree {
	view := f.view()
	if view == nil {
		return mtspread.New(nil)
	}
	// Until the daemons have written their records in a new era of the store, they are where they
	// were. If they counted as absent, all of them would read the store themselves.
	useFormer := f.clock.Steady().Sub(view.EraSince) < formerUse
	silent := f.silent.version()
	if p := f.cached.Load(); p != nil && p.membership == view.MembershipVersion && p.former == useFormer && p.silent == silent {
		return p.tree
	}
	own := view.Members[f.self].Address
	nodes := make([]mtspread.Node, 0, len(view.Members))
	for _, m := range view.Members {
		if present := !m.Expired || m.Former && useFormer; present && !m.Leaving && (m.Daemon == f.self || m.Address != own && !f.silent.has(m.Address)) {
			nodes = append(nodes, mtspread.Node{Daemon: m.Daemon, Zone: m.Zone, Address: m.Address, Link: m.Link})
		}
	}
	p := &cachedTree{membership: view.MembershipVersion, former: useFormer, silent: silent, tree: mtspread.New(nodes)}
	f.cached.Store(p)
	return p.tree
}

// pollSchedule returns the schedule by which this daemon polls the store for the
// configuration.
func (f *changeFeed) pollSchedule() mtroute.PollSchedule { return f.tree().PollSchedule(f.self) }

// Watch implements mtwatch.Source. It pulls from an upstream if there is one, and watches
// the store otherwise.
func (f *changeFeed) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	for range maxUpstreamAttempts {
		upstream, ok := f.upstream(time.Now())
		if !ok {
			break
		}
		if f.silent.confirm(ctx, upstream) {
			changes, err := f.pull(ctx, upstream.Address, after, min(wait, f.pullWait()))
			if err == nil || ctx.Err() != nil {
				return changes, err
			}
		}
		f.pausedUntil[upstream.Address] = time.Now().Add(upstreamPause)
		f.silent.suspect(upstream)
	}
	if after == 0 {
		return f.readAll(ctx, prefix)
	}
	if f.deferWatch() {
		mtduty.Sleep(ctx, startupPause)
		return mtstore.Changes{Revision: after}, nil
	}
	f.setHops(1)
	started := f.clock.Now()
	changes, err := f.store.Watch(ctx, prefix, after, wait)
	if err != nil {
		f.setHops(0)
		f.storePausedUntil = time.Now().Add(storePause)
		return changes, err
	}
	if changes.Revision > after { // also after changes that nobody uses
		mtduty.Sleep(ctx, f.batchDelay())
	}
	return changes.From(mtstore.Origin{Way: mtstore.WayWatch, Took: f.clock.Now().Sub(started)}), nil
}

// deferWatch reports whether to pause and look for an upstream again instead of watching
// the store. When the whole system starts, no daemon receives changes yet. Without the
// pause all daemons would watch the store, and each would be woken by the records of all
// others.
func (f *changeFeed) deferWatch() bool {
	if f.configured() || f.pollSchedule() != mtroute.PollFallback || f.startupPauses >= maxStartupPauses {
		return false
	}
	f.startupPauses++
	return true
}

// batchDelay returns how long to wait after a change before requesting the next ones.
func (f *changeFeed) batchDelay() time.Duration {
	if f.configured() {
		return batchDelay
	}
	return startupBatchDelay
}

// readAll reads everything from the store.
func (f *changeFeed) readAll(ctx context.Context, prefix string) (mtstore.Changes, error) {
	started := f.clock.Now()
	changes, err := f.store.Watch(ctx, prefix, 0, 0)
	if err == nil {
		f.fullReadStarted.Store(int64(started))
	}
	return changes.From(mtstore.Origin{Way: mtstore.WayRead, Took: f.clock.Now().Sub(started), Sent: started}), err
}

// applied confirms the freshness of the configuration once a full read from the store has
// been applied.
func (f *changeFeed) applied(u mtwatch.Update) {
	if started := mtclock.Instant(f.fullReadStarted.Swap(0)); u.Snapshot && started != 0 {
		f.freshness.confirm(started)
	}
}

// setHops sets the distance from the store, and wakes the waiting pulls: their daemons need
// another upstream if the distance is now too large.
func (f *changeFeed) setHops(hops int) {
	if f.hops.Swap(int32(hops)) != int32(hops) {
		f.changed.notify()
	}
}

// pull requests changes from an upstream. A full read (after is 0) is accepted only if the
// upstream knows a newer revision than this daemon; otherwise the full read has to come
// from the store. So a daemon that the store rejects can still make a full read.
func (f *changeFeed) pull(ctx context.Context, upstream string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if f.hops.Load() == 1 {
		// This daemon no longer watches the store. Daemons that pull from it have to switch
		// to another upstream, since its own upstream may be one of them.
		f.setHops(0)
	}
	view := f.view()
	q := mtforward.ChangesRequest{After: after, Relays: f.pollSchedule() != mtroute.PollFallback, Age: f.freshness.age(f.clock.Now())}
	if after != 0 {
		q.Epochs, q.Wait = view.Epochs(), wait
	}
	started := f.clock.Now()
	reply, err := f.peers.PullChanges(ctx, upstream, q)
	if err != nil {
		f.setHops(0)
		return reply.Changes, err
	}
	f.setHops(reply.Hops + 1)
	took := f.clock.Now().Sub(started)
	if len(reply.Changes.Entries) == 0 && took < minPullInterval {
		mtduty.Sleep(ctx, minPullInterval-took)
	}
	if after == 0 && reply.Changes.Revision <= view.Revision {
		return reply.Changes, &mtstore.UnavailableError{Op: "learn", Err: notWatching{}}
	}
	return reply.Changes.From(mtstore.Origin{Way: mtstore.WayPull, Peer: upstream, Took: took}), nil
}

// upstream returns the daemon to pull from, or false if this daemon has to
// watch the store itself: it is a watcher, or no upstream is available. A watcher that the store
// has just turned away pulls from the other one.
func (f *changeFeed) upstream(now time.Time) (mtspread.Node, bool) {
	if view := f.view(); view == nil || view.Revision == 0 {
		return mtspread.Node{}, false
	}
	tree := f.tree()
	upstreams := tree.Upstreams(f.self, f.zone)
	if now.Before(f.storePausedUntil) && tree.WatchesStore(f.self) {
		upstreams = tree.OtherWatchers(f.self)
	}
	for _, n := range upstreams {
		if now.After(f.pausedUntil[n.Address]) {
			return n, true
		}
	}
	return mtspread.Node{}, false
}

// pullWait returns how long to wait at an upstream: a watcher tries the store again soon.
func (f *changeFeed) pullWait() time.Duration {
	if f.tree().WatchesStore(f.self) {
		return storePause
	}
	return maxPullWait
}

// mayServe reports whether this daemon is close enough to the store to serve a daemon that
// passes updates on (relays), or one that does not.
func (f *changeFeed) mayServe(relays bool) bool {
	hops := int(f.hops.Load())
	if relays {
		return hops == 1
	}
	return hops > 0 && hops <= maxServingHops
}

// serve waits for changes on behalf of another daemon. It also returns if the configuration
// of this daemon has become so much fresher than the other's that the other should be
// notified. Every daemon hands over the newest configuration, also one that is far from the store:
// configurations are compared by their own versions.
func (f *changeFeed) serve(ctx context.Context, q mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
	if q.Configuration {
		return mtforward.ChangesReply{Changes: mtstore.Changes{Entries: f.configurationAfter(q.Known)}}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	directory := f.directory()
	theirs := f.clock.Now().Add(-q.Age)
	for {
		changed := f.changed.wait()
		if directory == nil || !f.mayServe(q.Relays) {
			return mtforward.ChangesReply{}, &mtstore.UnavailableError{Op: "teach", Err: notWatching{}}
		}
		if _, up := directory.StoreUpSince(); !up {
			return mtforward.ChangesReply{}, &mtstore.UnavailableError{Op: "teach", Err: notWatching{}}
		}
		changes, next := directory.ChangesSince(q.After, q.Epochs)
		if q.After == 0 {
			changes.Entries = f.replaceConfiguration(changes.Entries)
		}
		reply := mtforward.ChangesReply{Changes: changes, Hops: int(f.hops.Load())}
		if len(changes.Entries) > 0 || f.freshness.fresher(theirs) {
			return reply, nil
		}
		select {
		case <-next:
		case <-changed:
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// configurationAfter returns the entry of the newest configuration received if it is later than known.
func (f *changeFeed) configurationAfter(known mtid.Version) []mtstore.Entry {
	if newest, ok := f.newestConfiguration(known); ok {
		return []mtstore.Entry{newest}
	}
	return nil
}

// replaceConfiguration returns the directory's entries with the newest configuration received in
// place of their own. After the store has come back from an older copy, theirs may be older: a
// daemon that starts then gets the newest one only from other daemons.
func (f *changeFeed) replaceConfiguration(entries []mtstore.Entry) []mtstore.Entry {
	newest, ok := f.newestConfiguration(0)
	if !ok {
		return entries
	}
	entries = slices.DeleteFunc(entries, func(e mtstore.Entry) bool { return e.Name == newest.Name })
	return append(entries, newest)
}

// notWatching reports that a daemon cannot serve pulls, since it is too far from the store
// or receives no changes.
type notWatching struct{}

// Error implements error.
func (notWatching) Error() string { return "this daemon does not watch the store" }

// sendOwnershipUpdate sends a daemon the changes of an assignment that gives it keys.
func (m *Mesh) sendOwnershipUpdate(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch) {
	member, ok := m.directory.Load().View().Members[to]
	if !ok {
		return
	}
	entry, err := patchEntry(a, since)
	if err != nil {
		m.config.Log.Error("encoding an ownership update failed", "service", a.Service, "error", err)
		return
	}
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := peers.PushEntry(ctx, member.Address, entry); err != nil {
			m.config.Log.Info("sending an ownership update to a daemon failed", "peer", to, "error", err)
		}
	}()
}
