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
	// orphanTime is how long a daemon whose witnesses are all gone, or that
	// never had any, is waited for: it may be registering.
	orphanTime = 5 * time.Second
	// chunkTime is how often the tables are searched for fenced owners that
	// no taker has replaced, for example since it was lost itself.
	chunkTime = 500 * time.Millisecond
	// takeoverEvery and takeoverBurst bound the takeovers that one daemon
	// starts, and with them its writes to the store.
	takeoverEvery = 100 * time.Millisecond
	takeoverBurst = 4
	// shortestRetry and longestRetry bound the pause before a daemon that
	// proved to be alive is suspected again.
	shortestRetry = 250 * time.Millisecond
	longestRetry  = 5 * time.Second
)

// suspicion is a daemon whose promise lapsed.
type suspicion struct {
	since mtclock.Instant
	next  mtclock.Instant // when a takeover may be tried again
	pause time.Duration
}

// watcher is the duty that looks for lost daemons.
type watcher struct {
	*Member
	queue    mttakeover.Queue
	suspects map[mtid.Holder]*suspicion
	fences   mttakeover.Fences
	orphans  map[mtid.Holder]mtclock.Instant
	quiet    mtclock.Instant // until when nobody is suspected
	chunks   mtclock.Instant // when the tables were last searched
	due      mtclock.Instant // since when a failover is due, zero if none is
	last     mtclock.Instant
}

func newWatcher(m *Member) *watcher {
	return &watcher{
		Member:   m,
		queue:    mttakeover.Queue{Interval: takeoverEvery, Burst: takeoverBurst},
		suspects: make(map[mtid.Holder]*suspicion),
		orphans:  make(map[mtid.Holder]mtclock.Instant),
		last:     m.config.Clock.Steady(),
	}
}

// run looks for lost daemons until the member stops.
func (w *watcher) run() {
	for w.sleep(watchTick) {
		now := w.config.Clock.Steady()
		if now.Sub(w.last) > watchTick+mtlease.MaxTimerDelay {
			// This process was paused, and the asks of its peers wait unread:
			// it was deaf, they were not silent.
			w.quiet = now.Add(mtlease.WitnessLength)
		}
		w.last = now
		if now.Before(w.quiet) || w.Holder().IsZero() {
			continue
		}
		w.look(now)
		w.start(now)
		w.searchTables(now)
	}
}

// look queues the takeover of each daemon whose promise lapsed.
func (w *watcher) look(now mtclock.Instant) {
	var roster mttakeover.Roster
	seen := make(map[mtid.Holder]bool)
	for _, record := range w.config.View.Roster() {
		w.fences.Note(now, record)
		if !record.MayHoldLease() || record.Holder.Daemon == w.config.Profile.Daemon || !w.lapsed(now, record) {
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

// lapsed reports whether the daemon of record may be taken over, as far as this
// one can tell.
func (w *watcher) lapsed(now mtclock.Instant, record *mtroster.Record) bool {
	h := record.Holder
	named := slices.ContainsFunc(record.Witnesses, func(o mtid.Holder) bool {
		return o.Daemon == w.config.Profile.Daemon
	})
	if named {
		return w.config.Lease.Lapsed(h)
	}
	witnessed := slices.ContainsFunc(record.Witnesses, func(o mtid.Holder) bool {
		other, _, ok := w.config.View.Record(o.Daemon)
		return ok && other.MayHoldLease()
	})
	if witnessed {
		delete(w.orphans, h)
		return false
	}
	since, ok := w.orphans[h]
	if !ok {
		w.orphans[h] = now
		return false
	}
	return now.Sub(since) > orphanTime
}

// suspect queues the takeover of a daemon when it is this one's turn.
func (w *watcher) suspect(now mtclock.Instant, record *mtroster.Record, roster mttakeover.Roster) {
	delay, ok := mttakeover.StartDelay(w.config.Profile.Daemon, record, roster)
	if !ok {
		return
	}
	s, ok := w.suspects[record.Holder]
	if !ok {
		s = &suspicion{since: now, next: now.Add(delay), pause: shortestRetry}
		w.suspects[record.Holder] = s
	}
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(s.pause)
	s.pause = min(2*s.pause, longestRetry)
	heat := 0.0
	if w.config.Heat != nil {
		heat = w.config.Heat(record.Holder)
	}
	w.queue.Push(record.Holder, heat)
}

// start hands queued takeovers to the takers, within the allowance.
func (w *watcher) start(now mtclock.Instant) {
	for {
		h, ok := w.queue.Pop(now)
		if !ok {
			return
		}
		record, version, found := w.config.View.Record(h.Daemon)
		if !found || record.Holder != h || !record.MayHoldLease() {
			continue
		}
		if _, running := w.busy.LoadOrStore(h, struct{}{}); running {
			continue
		}
		if !w.running.Put(job{record: record, version: version, silent: w.silent(now, record)}) {
			w.busy.Delete(h)
		}
	}
}

// silent returns the witnesses of record that were fenced long ago.
func (w *watcher) silent(now mtclock.Instant, record *mtroster.Record) []mtid.Holder {
	var silent []mtid.Holder
	for _, o := range record.Witnesses {
		if w.fences.PromisesExpired(now, o) {
			silent = append(silent, o)
		}
	}
	return silent
}

// searchTables has chunks failed over whose owner was fenced and not replaced.
// Whoever fenced it does that at once; only if it is still due at the next
// search do others step in, one after another.
func (w *watcher) searchTables(now mtclock.Instant) {
	if now.Sub(w.chunks) < chunkTime {
		return
	}
	w.chunks = now
	delay, due := w.dueTables()
	switch {
	case !due:
		w.due = 0
	case w.due == 0:
		w.due = now
	case now.Sub(w.due) >= delay:
		w.fail()
	}
}

// dueTables returns how long this daemon waits before it writes failovers that
// are due, or false if none is, or if that is for others.
func (w *watcher) dueTables() (time.Duration, bool) {
	roster := w.roster()
	for _, table := range w.config.View.Tables() {
		if _, due := mttakeover.Failover(table, roster); !due {
			continue
		}
		if delay, mine := mttakeover.FailoverDelay(w.config.Profile.Daemon, table, roster); mine {
			return chunkTime + 4*delay, true
		}
	}
	return 0, false
}
