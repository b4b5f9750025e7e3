package mtroute

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Turn says when a daemon asks the store for the configuration, if nobody tells it
// anything: the few first, so that their word spares the others the question.
type Turn int

// The turns.
const (
	Regular  Turn = iota // one of the few that ask regularly
	Relaying             // one that passes their word on to others
	Last                 // all others
)

const (
	// Within is within which time a configuration has to be in force everywhere, where
	// nothing else is set.
	Within = 2 * time.Second
	// Of that time, these parts are the ages of its certainty at which a daemon asks the
	// store itself. Those whose turn it is do so in less than half of it: it takes the
	// rest to tell the others. One that hears nobody, or only others that hear nothing,
	// is still in time.
	regularPart  = 0.4
	relayingPart = 0.6
	lastPart     = 0.75
	// trustPart is the age up to which a daemon says that there is no such route. One that
	// was added longer ago than the whole time must not be denied.
	trustPart = 0.95
)

// Certainty is how old a daemon's knowledge is that its configuration is the newest.
//
// A daemon hears of a configuration by its own watch, by the daemon that it learns
// from, by others' messages, and from the few that ask the store regularly. All of
// these have been seen quiet at the same time: watches were deaf, the teacher and the
// askers were cut off, and nobody had calls for it. It went on to deny a route three
// seconds after it had been added. So each daemon counts how long ago it last was
// certain, asks by itself when that is too long, and does not deny a route that it
// may not have heard of.
//
// It isn't safe for concurrent use.
type Certainty struct {
	within time.Duration   // time in which a configuration has to be in force
	at     mtclock.Instant // when the configuration certainly was the newest
	asked  mtclock.Instant // the last question to the store
}

// NewCertainty returns the Certainty of a daemon that starts now, where a configuration
// has to be in force within a time. Its first reading of the store tells it more than a
// question would, so that it has none for a while.
func NewCertainty(now mtclock.Instant, within time.Duration) Certainty {
	return Certainty{within: within, asked: now}
}

// part returns a part of the time in which a configuration has to be in force.
func (c *Certainty) part(part float64) time.Duration {
	return time.Duration(part * float64(c.within))
}

// Confirm notes that the configuration in force was the newest at an instant: the
// store was asked then and named no newer one.
func (c *Certainty) Confirm(at mtclock.Instant) { c.at = max(c.at, at) }

// Hear takes in another daemon's word, an answer to what was sent at an instant: it
// had a configuration of that version in force, and was certain of it so long before
// its answer. That there is no configuration yet is known in the same way.
func (c *Certainty) Hear(own, theirs mtid.Version, age time.Duration, sent mtclock.Instant) {
	if own == theirs {
		c.Confirm(sent.Add(-age))
	}
}

// At returns when the daemon was certain.
func (c *Certainty) At() mtclock.Instant { return c.at }

// Age returns how long ago the daemon was certain.
func (c *Certainty) Age(now mtclock.Instant) time.Duration { return now.Sub(c.at) }

// Due returns when the store is to be asked, if nothing is heard until then. A question
// that was not answered is not asked again for a while: the store is away, for seconds,
// and each is paid for.
func (c *Certainty) Due(turn Turn) mtclock.Instant {
	age := c.part(lastPart)
	switch turn {
	case Regular:
		age = c.part(regularPart)
	case Relaying:
		age = c.part(relayingPart)
	}
	return max(c.at, c.asked).Add(age)
}

// Ask reports whether the store is to be asked now.
func (c *Certainty) Ask(now mtclock.Instant, turn Turn) bool {
	if now.Before(c.Due(turn)) {
		return false
	}
	c.asked = now
	return true
}

// Fresher reports whether an instant of certainty is so much later than another one that
// others should be told of it.
func (c *Certainty) Fresher(at, than mtclock.Instant) bool {
	return at.Sub(than) >= c.part(regularPart)/2
}

// Denies reports whether the daemon may say that there is no such route.
func (c *Certainty) Denies(now mtclock.Instant) bool { return c.Age(now) <= c.part(trustPart) }
