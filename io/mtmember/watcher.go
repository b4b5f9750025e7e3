package mtmember

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mttakeover"
)

const (
	// orphanDelay is the wait before a daemon whose witnesses are all gone, or
	// that never had any, is taken over: it may be registering.
	orphanDelay = 5 * time.Second
	// searchInterval is how often the tables are searched for fenced owners that
	// no claimant has replaced, for example since the claimant was lost itself.
	searchInterval = 500 * time.Millisecond
	// takeoverInterval and takeoverBurst limit the rate of takeovers that one
	// daemon starts, and thereby its writes to the store.
	takeoverInterval = 100 * time.Millisecond
	takeoverBurst    = 4
	// minRetryDelay and maxRetryDelay bound the delay before another takeover of a
	// daemon that proved to be alive.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// suspicion is the state of a daemon whose promises have expired.
type suspicion struct {
	since mtclock.Instant
	next  mtclock.Instant // when a takeover may be tried again
	delay time.Duration
}

// watcher detects lost daemons and queues their takeovers.
type watcher struct {
	*Member
	queue       mttakeover.Queue
	suspects    map[mtid.Holder]*suspicion
	fences      mttakeover.Fences
	orphans     map[mtid.Holder]mtclock.Instant
	pausedUntil mtclock.Instant // no daemon is suspected before this
	lastSearch  mtclock.Instant // when the tables were last searched
	dueSince    mtclock.Instant // since when a failover is due, zero if none is
	lastRun     mtclock.Instant
}

func newWatcher(m *Member) *watcher {
	return &watcher{
		Member:   m,
		queue:    mttakeover.Queue{Interval: takeoverInterval, Burst: takeoverBurst},
		suspects: make(map[mtid.Holder]*suspicion),
		orphans:  make(map[mtid.Holder]mtclock.Instant),
		lastRun:  m.config.Clock.Steady(),
	}
}

// run watches for lost daemons until the member stops.
func (w *watcher) run() {
	for w.sleep(watchInterval) {
		now := w.config.Clock.Steady()
		if now.Sub(w.lastRun) > watchInterval+mtlease.MaxTimerDelay {
			// This process was paused. Renewal requests of its peers may still be
			// unread, so their promises must not count as expired.
			w.pausedUntil = now.Add(mtlease.WitnessLength)
		}
		w.lastRun = now
		if now.Before(w.pausedUntil) || w.Holder().IsZero() {
			continue
		}
		w.findLost(now)
		w.startTakeovers(now)
		w.searchTables(now)
	}
}

// findLost queues the takeover of each daemon whose promises have expired.
func (w *watcher) findLost(now mtclock.Instant) {
	var roster mttakeover.Roster
	seen := make(map[mtid.Holder]bool)
	for _, record := range w.config.View.Roster() {
		w.fences.Note(now, record)
		if !record.MayHoldLease() || record.Holder.Daemon == w.config.Profile.Daemon || !w.mayTakeOver(now, record) {
			continue
		}
		if roster == nil {
			roster = w.roster()
		}
		seen[record.Holder] = true
		w.suspect(now, record, roster)
	}
	for h := range w.suspects {
		if !seen[h] {
			delete(w.suspects, h)
		}
	}
}

// mayTakeOver reports whether this daemon may start a takeover of record's daemon. If
// it is a witness, its own promise must have expired. Otherwise it leaves the takeover
// to the live witnesses, or waits for orphanDelay if there are none.
func (w *watcher) mayTakeOver(now mtclock.Instant, record *mtroster.Record) bool {
	h := record.Holder
	isWitness := slices.ContainsFunc(record.Witnesses, func(o mtid.Holder) bool {
		return o.Daemon == w.config.Profile.Daemon
	})
	if isWitness {
		return w.config.Lease.PromiseExpired(h)
	}
	hasLiveWitness := slices.ContainsFunc(record.Witnesses, func(o mtid.Holder) bool {
		other, _, ok := w.config.View.Record(o.Daemon)
		return ok && other.MayHoldLease()
	})
	if hasLiveWitness {
		delete(w.orphans, h)
		return false
	}
	since, ok := w.orphans[h]
	if !ok {
		w.orphans[h] = now
		return false
	}
	return now.Sub(since) > orphanDelay
}

// suspect queues the takeover of a daemon once this daemon's start delay or the
// retry delay has passed.
func (w *watcher) suspect(now mtclock.Instant, record *mtroster.Record, roster mttakeover.Roster) {
	delay, ok := mttakeover.StartDelay(w.config.Profile.Daemon, record, roster)
	if !ok {
		return
	}
	s, ok := w.suspects[record.Holder]
	if !ok {
		s = &suspicion{since: now, next: now.Add(delay), delay: minRetryDelay}
		w.suspects[record.Holder] = s
	}
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(s.delay)
	s.delay = min(2*s.delay, maxRetryDelay)
	load := 0.0
	if w.config.Load != nil {
		load = w.config.Load(record.Holder)
	}
	w.queue.Push(record.Holder, load)
}

// startTakeovers passes queued takeovers to the workers, as the rate limit permits.
func (w *watcher) startTakeovers(now mtclock.Instant) {
	for {
		h, ok := w.queue.Pop(now)
		if !ok {
			return
		}
		record, version, found := w.config.View.Record(h.Daemon)
		if !found || record.Holder != h || !record.MayHoldLease() {
			continue
		}
		if _, running := w.inProgress.LoadOrStore(h, struct{}{}); running {
			continue
		}
		if !w.jobs.Put(job{record: record, version: version, expired: w.expiredWitnesses(now, record)}) {
			w.inProgress.Delete(h)
		}
	}
}

// expiredWitnesses returns the witnesses of record that were fenced so long ago that
// their promises have expired.
func (w *watcher) expiredWitnesses(now mtclock.Instant, record *mtroster.Record) []mtid.Holder {
	var expired []mtid.Holder
	for _, o := range record.Witnesses {
		if w.fences.PromisesExpired(now, o) {
			expired = append(expired, o)
		}
	}
	return expired
}

// searchTables queues the failover of chunks whose owner was fenced but not
// replaced. The daemon that fenced the owner does so immediately. Others do it only
// if it is still due at the next search, one after another.
func (w *watcher) searchTables(now mtclock.Instant) {
	if now.Sub(w.lastSearch) < searchInterval {
		return
	}
	w.lastSearch = now
	delay, due := w.failoverDelay()
	switch {
	case !due:
		w.dueSince = 0
	case w.dueSince == 0:
		w.dueSince = now
	case now.Sub(w.dueSince) >= delay:
		w.queueFailover()
	}
}

// failoverDelay returns how long this daemon waits before it writes failovers that
// are due. It returns false if none is due, or if they are left to other daemons.
func (w *watcher) failoverDelay() (time.Duration, bool) {
	roster := w.roster()
	for _, table := range w.config.View.Tables() {
		if _, due := mttakeover.Failover(table, roster); !due {
			continue
		}
		if delay, mine := mttakeover.FailoverDelay(w.config.Profile.Daemon, table, roster); mine {
			return searchInterval + 4*delay, true
		}
	}
	return 0, false
}
