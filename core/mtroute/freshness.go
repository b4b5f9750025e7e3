package mtroute

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// PollSchedule is how soon a daemon polls the store for the configuration if it receives no
// update. A few daemons poll early and update the others, which then need not poll.
type PollSchedule int

// The schedules.
const (
	PollPrimary  PollSchedule = iota // one of the few daemons that poll regularly
	PollRelay                        // a daemon that relays updates to others
	PollFallback                     // all other daemons
)

const (
	// DefaultPropagationLimit is the default time within which a configuration has to be in
	// force on every daemon.
	DefaultPropagationLimit = 2 * time.Second
	// The poll fractions are the ages of the last confirmation, as fractions of the
	// propagation limit, at which a daemon polls the store itself. The few that poll
	// regularly do so in less than half of the limit, since they need the rest to update
	// the others. A daemon that receives no updates, or only from daemons
	// that receive none either, still polls within the limit.
	primaryPollFraction  = 0.4
	relayPollFraction    = 0.6
	fallbackPollFraction = 0.75
	// denyFraction bounds the age of the last confirmation up to which a daemon reports
	// that a route does not exist. It is below 1 because a route that was added longer ago
	// than the propagation limit must not be denied.
	denyFraction = 0.95
)

// Freshness tracks when a daemon last confirmed that its configuration is the newest.
//
// A daemon receives configurations from its own watch, from its upstream daemon, in the
// messages of other daemons, and from the few daemons that poll the store. All of these
// can fail at the same time: watches deliver nothing, the upstream and the pollers are
// partitioned, and no other daemon sends a request. A daemon in this state denied a
// route three seconds after it had been added. Each daemon therefore tracks the age of
// its last confirmation, polls the store itself when that grows too old, and does not
// deny a route that may have been added since.
//
// It isn't safe for concurrent use.
type Freshness struct {
	limit     time.Duration   // time within which a configuration has to be in force
	confirmed mtclock.Instant // when the configuration was last known to be the newest
	polled    mtclock.Instant // when the store was last polled

	newest     mtid.Version // newest version that another daemon has reported, unless it was forgotten
	unreadable bool         // the newest configuration received can't be used
}

// NewFreshness returns the Freshness of a daemon that starts now. The limit is the time
// within which a configuration has to be in force. The start counts as a poll, because
// the daemon's first read of the store returns more than a poll would.
func NewFreshness(now mtclock.Instant, limit time.Duration) Freshness {
	return Freshness{limit: limit, polled: now}
}

// fraction returns a fraction of the propagation limit.
func (f *Freshness) fraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(f.limit))
}

// Confirm records that the configuration in force was the newest at an instant: a poll
// of the store at that instant returned no newer one.
func (f *Freshness) Confirm(at mtclock.Instant) { f.confirmed = max(f.confirmed, at) }

// MergeRemote merges the confirmation of another daemon, received in the reply to a
// message that was sent at an instant. When it replied, that daemon had the version
// theirs in force and had confirmed it the given age before. Two daemons that both have
// no configuration confirm each other in the same way.
func (f *Freshness) MergeRemote(own, theirs mtid.Version, age time.Duration, sent mtclock.Instant) {
	if own == theirs {
		f.Confirm(sent.Add(-age))
	}
}

// Report records that another daemon has a later version than this one.
func (f *Freshness) Report(version mtid.Version) { f.newest = max(f.newest, version) }

// Forget records that the daemons in reach have no version up to the given one that is later than this
// daemon's: those that reported it are gone.
func (f *Freshness) Forget(version mtid.Version) {
	if f.newest <= version {
		f.newest = 0
	}
}

// PassOver records that a configuration was received that can't be used, and Adopt that one was put in
// force.
func (f *Freshness) PassOver() { f.unreadable = true }

// Adopt is the opposite of PassOver.
func (f *Freshness) Adopt() { f.unreadable = false }

// Outdated reports whether requests must not be served by a configuration: it has not been confirmed
// within the limit, and there is a later one. If none is known, a daemon whose store is away serves on,
// as do all others. So does one that can't read the later configuration: waiting would not help its
// callers.
func (f *Freshness) Outdated(now mtclock.Instant, own mtid.Version) bool {
	return own < f.newest && !f.unreadable && !f.MayDenyRoute(now)
}

// ConfirmedAt returns the instant of the last confirmation.
func (f *Freshness) ConfirmedAt() mtclock.Instant { return f.confirmed }

// Age returns the time since the last confirmation.
func (f *Freshness) Age(now mtclock.Instant) time.Duration { return now.Sub(f.confirmed) }

// NextPoll returns when to poll the store unless a confirmation arrives first. A poll
// that got no reply is not repeated before the same interval has passed: the store is
// then unavailable for seconds, and every request to it is billed.
func (f *Freshness) NextPoll(schedule PollSchedule) mtclock.Instant {
	age := f.fraction(fallbackPollFraction)
	switch schedule {
	case PollPrimary:
		age = f.fraction(primaryPollFraction)
	case PollRelay:
		age = f.fraction(relayPollFraction)
	}
	return max(f.confirmed, f.polled).Add(age)
}

// StartPoll reports whether to poll the store now, and if so, records the poll.
func (f *Freshness) StartPoll(now mtclock.Instant, schedule PollSchedule) bool {
	if now.Before(f.NextPoll(schedule)) {
		return false
	}
	f.polled = now
	return true
}

// ShouldNotify reports whether a confirmation is so much later than a previous one that
// other daemons should be notified of it.
func (f *Freshness) ShouldNotify(at, previous mtclock.Instant) bool {
	return at.Sub(previous) >= f.fraction(primaryPollFraction)/2
}

// MayDenyRoute reports whether the daemon may report that a route does not exist.
func (f *Freshness) MayDenyRoute(now mtclock.Instant) bool {
	return f.Age(now) <= f.fraction(denyFraction)
}
