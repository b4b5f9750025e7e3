// Package mtroom decides at which of several servers a call waits while servers are full.
//
// A daemon receives the load of a server only with the answers to its own calls, so what it
// knows is mostly older than the time that calls wait there. A call that can still meet its latency
// objective is therefore sent with a limit on how long it may wait at a server (see
// Patience). A server at which it would wait longer hands it back at once, with the wait
// that it expects, and the call goes to the next one. After MaxHandedBack servers, or when
// none is left that is expected to be better, the call stays at the server that expected
// the shortest wait (see Search).
//
// The waits that servers reported are remembered for a moment (see ExpectedWaits), so that
// calls of the same route don't ask again those that are known to be full.
//
// # Usage
//
//	patience := mtroom.Patience(now, call.Objective.Add(-call.TypicalService))
//	search.HandedBack(mtroom.Offer{Holder: server, Wait: wait})
//	waits.Record(now, server, call.Route, wait)
//	if search.Ended() { best, ok := search.Settle() }
//
// A Search and ExpectedWaits aren't safe for concurrent use.
package mtroom

import (
	"fmt"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// patienceDivisor divides the time until the latest start of a call to give the wait
	// that it accepts at the first servers. A call with a loose objective accepts the
	// queue of a near server, one with a tight objective finds a free one.
	patienceDivisor = 8
	// minPatience is longer than the pause between two requests in a slot, so that a call is
	// not handed back by a server that is about to start it.
	minPatience = time.Millisecond
	// MaxHandedBack is how many servers hand a call back before it stays at one of them. Each
	// of them costs the call another trip.
	MaxHandedBack = 3
	// maxWaitAge is how long an expected wait is remembered. Queues in front of servers that
	// take some hundred milliseconds per request have changed by then.
	maxWaitAge = 100 * time.Millisecond
	// maxRemembered is the maximum number of waits that are remembered. It bounds the memory
	// for servers and routes that are gone.
	maxRemembered = 1 << 14
	// maxWait is the longest wait that a server can report.
	maxWait = time.Minute
)

// Patience returns how long a call that has to start by latestStart may wait at a server
// that isn't its last choice. It returns 0, for no limit, if the call is late already.
func Patience(now, latestStart mtclock.Instant) time.Duration {
	left := latestStart.Sub(now)
	if left <= 0 {
		return 0
	}
	return max(left/patienceDivisor, minPatience)
}

// WaitError means that the wait that a server reported can't be right.
type WaitError struct{ Wait time.Duration }

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("expected wait of %s is not between 0 and %s", e.Wait, maxWait)
}

// CheckWait returns a *WaitError if a wait that a server reported can't be right.
func CheckWait(wait time.Duration) error {
	if wait < 0 || wait > maxWait {
		return &WaitError{Wait: wait}
	}
	return nil
}

// Offer is the wait that a server expects for a call.
type Offer struct {
	Holder mtid.Holder
	Wait   time.Duration
}

// Search is the search of one call for a server. The zero value is a search that hasn't
// begun.
type Search struct {
	offers     []Offer
	handedBack int
	settled    bool
}

// HandedBack records that a server handed the call back.
func (s *Search) HandedBack(o Offer) {
	s.handedBack++
	s.offers = append(s.offers, o)
}

// Known records a server that is known to be full and was not asked.
func (s *Search) Known(o Offer) { s.offers = append(s.offers, o) }

// Ended reports whether no further server is to be asked.
func (s *Search) Ended() bool { return s.settled || s.handedBack >= MaxHandedBack }

// Settle ends the search and returns the server at which the call waits, among those that
// are still usable. It returns false if no such server has made an offer, or if the search
// has ended before.
func (s *Search) Settle(usable func(mtid.Holder) bool) (mtid.Holder, bool) {
	if s.settled {
		return mtid.Holder{}, false
	}
	s.settled = true
	var best Offer
	found := false
	for _, o := range s.offers {
		if usable(o.Holder) && (!found || o.Wait < best.Wait) {
			best, found = o, true
		}
	}
	return best.Holder, found
}

// serverRoute is a route at a server. Servers expect a different wait for each route.
type serverRoute struct {
	holder mtid.Holder
	route  mtid.Class
}

// reportedWait is the wait that a server reported, and when.
type reportedWait struct {
	wait time.Duration
	at   mtclock.Instant
}

// ExpectedWaits remembers the waits that servers expect.
type ExpectedWaits struct{ reported map[serverRoute]reportedWait }

// NewExpectedWaits returns ExpectedWaits that know of no server.
func NewExpectedWaits() *ExpectedWaits {
	return &ExpectedWaits{reported: make(map[serverRoute]reportedWait)}
}

// Record records the wait that a server expects for calls of a route now.
func (w *ExpectedWaits) Record(now mtclock.Instant, holder mtid.Holder, route mtid.Class, wait time.Duration) {
	if len(w.reported) >= maxRemembered {
		clear(w.reported)
	}
	w.reported[serverRoute{holder, route}] = reportedWait{wait, now}
}

// Wait returns the wait that a server is expected to have for calls of a route now. It
// returns false if nothing recent is known.
func (w *ExpectedWaits) Wait(now mtclock.Instant, holder mtid.Holder, route mtid.Class) (time.Duration, bool) {
	reported, ok := w.reported[serverRoute{holder, route}]
	if !ok {
		return 0, false
	}
	age := now.Sub(reported.at)
	if age < 0 || age >= maxWaitAge {
		delete(w.reported, serverRoute{holder, route})
		return 0, false
	}
	return max(reported.wait-age, 0), true
}
