package mtpoison

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// FlightID identifies a request in flight. The caller of the Table assigns it.
type FlightID uint64

// RunResult classifies how a request in flight ended.
type RunResult uint8

// The ways in which a request in flight ends.
const (
	Answered  RunResult = iota // the server sent a complete answer
	NotRun                     // the server did not run it
	Broken                     // the connection to the server broke
	Abandoned                  // it was abandoned; the state of the server is unknown
	GivenUp                    // the server answered that it stopped work on it
)

// String returns the name of the result, for logs.
func (r RunResult) String() string {
	return [...]string{"answered", "not-run", "broken", "abandoned", "given-up"}[r]
}

// breakWindow bounds how long it takes until all connections to a lost server have
// broken. A request whose connection broke within that time before the loss was
// detected counts as in flight.
const breakWindow = 2 * time.Second

// abandonedTTL is how long an abandoned relay still counts as in flight at its
// owner. It is longer than the detection of a lost daemon takes.
const abandonedTTL = 30 * time.Second

// flight is a request in flight at the local server or at another daemon.
type flight struct {
	fingerprint Fingerprint
	alone       bool
	begun       mtclock.Instant // when it was sent
	holder      mtid.Holder     // the daemon that it was relayed to; zero if it runs locally
	detachedAt  mtclock.Instant // when its connection broke or it was abandoned; zero if neither
}

// Started records that a request is sent to the server beside this daemon. alone
// is set if the gate admits no other request until it ends.
func (t *Table[R]) Started(now mtclock.Instant, id FlightID, p Fingerprint, alone bool) {
	t.local[id] = &flight{fingerprint: p, alone: alone, begun: now}
}

// Ended records how a started request ended. It returns true if how is Broken and
// the cause may be a crash that is not recorded yet: the caller then probes the
// server and calls ServerLost if the server is down.
func (t *Table[R]) Ended(now mtclock.Instant, id FlightID, how RunResult) bool {
	f, ok := t.local[id]
	if !ok {
		return false
	}
	if how == Broken {
		f.detachedAt = now
		return true
	}
	delete(t.local, id)
	if how == Answered && f.alone {
		t.markClear(f.begun, f.fingerprint)
	}
	return false
}

// Unattributed reports whether a request whose connection broke is not yet assigned to a
// recorded crash. The caller checks it again right before ServerLost: all requests
// that one crash interrupted probe the server concurrently, and only the first of
// them may report the crash.
func (t *Table[R]) Unattributed(id FlightID) bool {
	_, ok := t.local[id]
	return ok
}

// ServerLost records that the server beside this daemon crashed. It is called once
// per crash; a broken connection alone is not a crash.
func (t *Table[R]) ServerLost(now mtclock.Instant) {
	t.localLosses++
	c := &Crash{ID: CrashID{Holder: t.self, Count: t.localLosses}, At: now, Complete: true}
	for id, f := range t.local {
		delete(t.local, id)
		if f.detachedAt != 0 && now.Sub(f.detachedAt) > breakWindow {
			continue
		}
		c.Fingerprints = append(c.Fingerprints, f.fingerprint)
		if _, ok := t.cleared[f.fingerprint]; ok {
			c.Cleared = append(c.Cleared, f.fingerprint)
		}
		c.alone = c.alone || f.alone
	}
	// A request that was admitted alone is in flight with others only if it was sent to
	// a server that an earlier request had just crashed, undetected. Either may be the
	// cause, so this crash is not evidence against any of them.
	if len(c.Fingerprints) > 1 && c.alone {
		c.alone = false
		c.Complete = false
	}
	if len(c.Fingerprints) > 0 {
		t.addCrash(now, c)
	}
}
