// Package mtroom decides at which of several servers a call waits while servers are full.
//
// A daemon learns how full a server is only from the answers to its own calls, so what it
// knows is mostly older than the queues are long. A call that can still meet its latency
// objective is therefore sent with a limit on how long it may wait at a server (see
// Patience). A server at which it would wait longer hands it back at once, with the wait
// that it expects, and the call goes to the next one. After MaxHandedBack servers, or when
// none is left that is expected to be better, the call stays at the server that expected
// the shortest wait (see Search).
//
// What servers have told is remembered for a moment (see Board), so that calls of the same
// route don't ask again those that are known to be full.
//
// # Usage
//
//	patience := mtroom.Patience(now, call.Objective.Add(-call.TypicalService))
//	search.HandedBack(mtroom.Offer{Holder: server, Wait: wait})
//	board.Record(now, server, call.Route, wait)
//	if search.Ended() { best, ok := search.Settle() }
//
// A Search and a Board aren't safe for concurrent use.
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
	// minPatience is longer than the pause between two requests in a slot.
	minPatience = time.Millisecond
	// minReturn is the shortest time after which a refused caller returns.
	minReturn = 50 * time.Millisecond
	// MaxHandedBack is how many servers hand a call back before it stays at one of them.
	MaxHandedBack = 3
	// boardAge is how long an expected wait is remembered. Queues in front of servers that
	// take some hundred milliseconds per request have changed by then.
	boardAge = 100 * time.Millisecond
	// maxFlows bounds the memory for servers and routes that are gone.
	maxFlows = 1 << 14
	// maxWait is the longest wait that a server can expect.
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

// returnDivisor divides the time until the latest start of a refused call to give the time
// after which its caller returns. As much is left then for a wait.
const returnDivisor = 2

// Return returns when the caller of a call that was refused for load is to return, which a
// server told to return after the given time: while it can still meet its objective. Then
// it goes before calls that came later. A call that is late already returns as told.
func Return(now, latestStart mtclock.Instant, told time.Duration) time.Duration {
	left := latestStart.Sub(now)
	if left <= 0 || told < 0 {
		return told
	}
	return min(told, max(left/returnDivisor, minReturn))
}

// WaitError means that the wait that a server told can't be right.
type WaitError struct{ Wait time.Duration }

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("expected wait of %s is not between 0 and %s", e.Wait, maxWait)
}

// CheckWait returns a *WaitError if a wait that a server told can't be right.
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

// Settle ends the search and returns the server at which the call waits. It returns false
// if no server has made an offer, or if the search has ended before.
func (s *Search) Settle() (mtid.Holder, bool) {
	if s.settled || len(s.offers) == 0 {
		return mtid.Holder{}, false
	}
	s.settled = true
	best := s.offers[0]
	for _, o := range s.offers[1:] {
		if o.Wait < best.Wait {
			best = o
		}
	}
	return best.Holder, true
}

// flow is a route at a server. Servers expect a different wait for each route.
type flow struct {
	holder mtid.Holder
	route  mtid.Class
}

// told is what a server told and when.
type told struct {
	wait time.Duration
	at   mtclock.Instant
}

// Board remembers the waits that servers expect.
type Board struct{ flows map[flow]told }

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{flows: make(map[flow]told)} }

// Record records the wait that a server expects for calls of a route now.
func (b *Board) Record(now mtclock.Instant, holder mtid.Holder, route mtid.Class, wait time.Duration) {
	if len(b.flows) >= maxFlows {
		clear(b.flows)
	}
	b.flows[flow{holder, route}] = told{wait, now}
}

// Wait returns the wait that a server is expected to have for calls of a route now. It
// returns false if nothing recent is known.
func (b *Board) Wait(now mtclock.Instant, holder mtid.Holder, route mtid.Class) (time.Duration, bool) {
	t, ok := b.flows[flow{holder, route}]
	if !ok {
		return 0, false
	}
	age := now.Sub(t.at)
	if age < 0 || age >= boardAge {
		delete(b.flows, flow{holder, route})
		return 0, false
	}
	return max(t.wait-age, 0), true
}
