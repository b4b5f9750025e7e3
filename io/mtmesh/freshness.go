package mtmesh

import (
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroute"
)

// freshness is a mtroute.Freshness for concurrent use: the instant at which the
// configuration of this daemon was last known to be the newest.
type freshness struct {
	mu       sync.Mutex
	core     mtroute.Freshness
	notified mtclock.Instant // the instant of which waiting daemons were last notified
	// changed is signaled when waiting daemons should be sent the newer instant.
	changed *broadcast
}

func newFreshness(now mtclock.Instant, within time.Duration, changed *broadcast) *freshness {
	return &freshness{core: mtroute.NewFreshness(now, within), changed: changed}
}

func (f *freshness) confirm(at mtclock.Instant) {
	f.update(func() { f.core.Confirm(at) })
}

func (f *freshness) observe(own, theirs mtid.Version, age time.Duration, sent mtclock.Instant) {
	f.update(func() { f.core.MergeRemote(own, theirs, age, sent) })
}

// update calls apply and signals changed if the instant has advanced far enough.
func (f *freshness) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	if f.core.ShouldNotify(f.core.ConfirmedAt(), f.notified) {
		f.notified = f.core.ConfirmedAt()
		f.changed.notify()
	}
}

// fresher reports whether the configuration was confirmed so much later here than at
// another daemon that the other one should be notified.
func (f *freshness) fresher(theirs mtclock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ShouldNotify(f.core.ConfirmedAt(), theirs)
}

func (f *freshness) at() mtclock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ConfirmedAt()
}

func (f *freshness) age(now mtclock.Instant) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Age(now)
}

func (f *freshness) startPoll(now mtclock.Instant, schedule mtroute.PollSchedule) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.StartPoll(now, schedule)
}

func (f *freshness) nextPoll(schedule mtroute.PollSchedule) mtclock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.NextPoll(schedule)
}

func (f *freshness) mayDenyRoute(now mtclock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.MayDenyRoute(now)
}

func (f *freshness) report(version mtid.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Report(version)
}

func (f *freshness) forget(version mtid.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Forget(version)
}

func (f *freshness) passOver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.PassOver()
}

func (f *freshness) adopt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Adopt()
}

func (f *freshness) outdated(now mtclock.Instant, own mtid.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Outdated(now, own)
}

// broadcast signals an event to all goroutines that wait for it.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{next: make(chan struct{})} }

// wait returns a channel that is closed by the next call of notify.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}
