package mtstore

import "time"

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

// Origin is how this daemon received an entry, for its logs. It is not passed on.
type Origin struct {
	Way  Way
	Peer string // address of the daemon that sent it; empty for the store
	// Took is the time from the request to the end of the reply. It includes the wait for a change.
	Took time.Duration
}

// From returns the changes with the origin of all their entries set.
func (c Changes) From(way Way, peer string, took time.Duration) Changes {
	for i := range c.Entries {
		c.Entries[i].Origin = Origin{Way: way, Peer: peer, Took: took}
	}
	return c
}
