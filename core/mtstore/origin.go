package mtstore

import (
	"time"

	"magnoliaturn/core/mtclock"
)

// Way is how an entry was received.
type Way string

// The ways by which a daemon receives an entry.
const (
	WayRead  Way = "read"  // a read of all entries of the store
	WayWatch Way = "watch" // a watch of the store
	WayPoll  Way = "poll"  // a read of the operators' entries in the store
	WayPull  Way = "pull"  // changes pulled from another daemon
	WayAsk   Way = "ask"   // another daemon, asked for its newest configuration
)

// Origin is how this daemon received an entry. It is not passed on.
type Origin struct {
	Way  Way
	Peer string // address of the daemon that sent it; empty for the store
	// Took is the time from the request to the end of the reply. It includes the wait for a change.
	Took time.Duration
	// Sent is when the request was sent, if the entry was the newest of its name in the store then or
	// has been written since. It is zero if the reply doesn't show that.
	Sent mtclock.Instant
}

// FromStore reports whether this daemon read the entry from the store itself.
func (o Origin) FromStore() bool { return o.Way == WayRead || o.Way == WayWatch || o.Way == WayPoll }

// From returns the changes with the origin of all their entries set.
func (c Changes) From(origin Origin) Changes {
	for i := range c.Entries {
		c.Entries[i].Origin = origin
	}
	return c
}
