package mtgate

import (
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// StopMode is the treatment of waiting and new requests in a stopped range.
type StopMode int

// The ways to stop a range.
const (
	// RefuseNew refuses them at once with CauseMoving.
	RefuseNew StopMode = iota
	// HoldNew lets up to MaxHeld of them wait for Resume or Release, each until its
	// time to give up.
	HoldNew
)

// MaxHeld is the maximum number of requests that wait in one stopped range.
const MaxHeld = 256

// stoppedRange is a range in which no requests start.
type stoppedRange struct {
	low, high mtid.Point
	mode      StopMode
	inFlight  int
	idle      bool // no requests in flight, and reported
	held      []*Entry
}

// covers reports whether p lies in the stopped range.
func (s *stoppedRange) covers(p mtid.Point) bool { return s.low <= p && p <= s.high }

// remove removes a held entry.
func (s *stoppedRange) remove(e *Entry) { s.held = without(s.held, e) }

// Stop takes the range from low to high, both inclusive, out of service for a
// planned move: no request in it starts any more, and waiting requests are treated
// like new ones. RangeIdle is emitted once nothing in the range is in flight. The same
// range must not be stopped again before Resume or Release.
func (g *Gate[O]) Stop(now mtclock.Instant, low, high mtid.Point, mode StopMode) []Effect {
	g.begin(now)
	s := &stoppedRange{low: low, high: high, mode: mode, inFlight: g.InFlight(low, high)}
	g.stopped = append(g.stopped, s)
	for _, e := range g.byArrival() {
		if e.heldBy == nil && s.covers(e.Ticket.Point) {
			g.removeWaiting(e)
			g.hold(s, e)
		}
	}
	return g.end(now)
}

// Resume puts the range back into service after a move was abandoned. Held requests
// are admitted as if they arrived now, but keep their time to give up.
func (g *Gate[O]) Resume(now mtclock.Instant, low, high mtid.Point) []Effect {
	g.begin(now)
	for _, e := range g.removeStop(low, high) {
		g.admit(now, e)
	}
	return g.end(now)
}

// Release ends the stop of a range that has a new owner. Held requests are refused
// with CauseStaleRoute, so that they are sent to the new owner at once.
func (g *Gate[O]) Release(now mtclock.Instant, low, high mtid.Point) []Effect {
	g.begin(now)
	for _, e := range g.removeStop(low, high) {
		g.refuse(e, refusal(mtreply.CauseStaleRoute, 0, ""))
	}
	return g.end(now)
}

// InFlight returns the number of requests in flight in the range from low to high,
// both inclusive.
func (g *Gate[O]) InFlight(low, high mtid.Point) int {
	n := 0
	for _, e := range g.running {
		if low <= e.Ticket.Point && e.Ticket.Point <= high {
			n++
		}
	}
	return n
}

// removeStop removes the stop of exactly that range and returns the held requests.
func (g *Gate[O]) removeStop(low, high mtid.Point) []*Entry {
	i := slices.IndexFunc(g.stopped, func(s *stoppedRange) bool { return s.low == low && s.high == high })
	if i < 0 {
		return nil
	}
	s := g.stopped[i]
	g.stopped = slices.Delete(g.stopped, i, i+1)
	for _, e := range s.held {
		e.heldBy = nil
		delete(g.waiting, e.Ticket.Number)
	}
	return s.held
}

// stoppedAt returns the stopped range that covers p, or nil.
func (g *Gate[O]) stoppedAt(p mtid.Point) *stoppedRange {
	for _, s := range g.stopped {
		if s.covers(p) {
			return s
		}
	}
	return nil
}

// hold adds e to the held requests of a stopped range, or refuses it.
func (g *Gate[O]) hold(s *stoppedRange, e *Entry) {
	if s.mode == RefuseNew || len(s.held) >= MaxHeld || len(g.waiting) >= g.limits.Waiting {
		g.refuse(e, refusal(mtreply.CauseMoving, movingRetryAfter, ""))
		return
	}
	g.addWaiting(e)
	e.heldBy = s
	s.held = append(s.held, e)
}

// reportIdle emits the effects for stopped ranges and drains with nothing in flight.
func (g *Gate[O]) reportIdle() {
	for _, s := range g.stopped {
		if s.inFlight == 0 && !s.idle {
			s.idle = true
			g.effects = append(g.effects, RangeIdle{Low: s.low, High: s.high})
		}
	}
	if g.draining && !g.idle && len(g.running) == 0 {
		g.idle = true
		g.effects = append(g.effects, Idle{})
	}
}
