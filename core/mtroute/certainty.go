package mtroute

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// askEvery is how often those daemons ask the store for the configuration whose
	// turn it is. It has to be in force everywhere within two seconds: asked for in
	// less than half of that, told and read in the rest.
	askEvery = 800 * time.Millisecond
	// askAfter is the age of its certainty at which any daemon asks the store itself.
	// The others' word mostly keeps it younger; one that hears nobody, or only
	// others that hear nothing, is still in time.
	askAfter = 1100 * time.Millisecond
	// askPause is between two questions that were not answered: the store is away,
	// for seconds, and each question is paid for.
	askPause = 1500 * time.Millisecond
	// trustFor is the age of its certainty up to which a daemon says that there is no
	// such route. A route that was added longer ago than two seconds must not be
	// denied.
	trustFor = 1900 * time.Millisecond
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
	at    mtclock.Instant // when the configuration certainly was the newest
	asked mtclock.Instant // the last question to the store
}

// Confirm notes that the configuration in force was the newest at an instant: the
// store was asked then and named no newer one.
func (c *Certainty) Confirm(at mtclock.Instant) { c.at = max(c.at, at) }

// Hear takes in another daemon's word, an answer to what was sent at an instant: it
// had a configuration of that version in force, and was certain of it so long ago.
func (c *Certainty) Hear(own, theirs mtid.Version, age time.Duration, sent mtclock.Instant) {
	if own == theirs && own != 0 {
		c.Confirm(sent.Add(-age))
	}
}

// Age returns how long ago the daemon was certain.
func (c *Certainty) Age(now mtclock.Instant) time.Duration { return now.Sub(c.at) }

// Ask reports whether the store is to be asked now. turn says that this daemon is one
// of those that ask regularly.
func (c *Certainty) Ask(now mtclock.Instant, turn bool) bool {
	age, pause := askAfter, askPause
	if turn {
		age, pause = askEvery, askEvery
	}
	if c.Age(now) < age || now.Sub(c.asked) < pause {
		return false
	}
	c.asked = now
	return true
}

// Denies reports whether the daemon may say that there is no such route.
func (c *Certainty) Denies(now mtclock.Instant) bool { return c.Age(now) <= trustFor }
