package mtmesh

import (
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroute"
)

// certainty is how old the knowledge of the configuration is, for several goroutines.
type certainty struct {
	mu   sync.Mutex
	core mtroute.Freshness
	told mtclock.Instant // up to which others were told to look
	// stirred is told when others should look.
	stirred *beacon
}

func newCertainty(now mtclock.Instant, within time.Duration, stirred *beacon) *certainty {
	return &certainty{core: mtroute.NewFreshness(now, within), stirred: stirred}
}

func (c *certainty) confirm(at mtclock.Instant) {
	c.change(func() { c.core.Confirm(at) })
}

func (c *certainty) hear(own, theirs mtid.Version, age time.Duration, sent mtclock.Instant) {
	c.change(func() { c.core.MergeRemote(own, theirs, age, sent) })
}

// change lets those look who wait for news, if there are.
func (c *certainty) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	if c.core.ShouldNotify(c.core.ConfirmedAt(), c.told) {
		c.told = c.core.ConfirmedAt()
		c.stirred.fire()
	}
}

// fresher reports whether the knowledge is so much newer than another daemon's that it
// should hear of it.
func (c *certainty) fresher(theirs mtclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.ShouldNotify(c.core.ConfirmedAt(), theirs)
}

func (c *certainty) at() mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.ConfirmedAt()
}

func (c *certainty) age(now mtclock.Instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Age(now)
}

func (c *certainty) ask(now mtclock.Instant, turn mtroute.PollSchedule) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.StartPoll(now, turn)
}

func (c *certainty) due(turn mtroute.PollSchedule) mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.NextPoll(turn)
}

func (c *certainty) denies(now mtclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.MayDenyRoute(now)
}

// beacon wakes all who wait for something to happen.
type beacon struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBeacon() *beacon { return &beacon{next: make(chan struct{})} }

// wait returns what is closed at the next fire.
func (b *beacon) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

func (b *beacon) fire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}
