package mtgate

import (
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Hold says what becomes of new work in a stopped range.
type Hold int

// The ways to stop a range.
const (
	// RefuseNew refuses it at once, with CauseMoving.
	RefuseNew Hold = iota
	// HoldNew lets it wait, up to MaxHeld requests and its patience, for Resume
	// or Release.
	HoldNew
)

// MaxHeld is how many requests may wait in one stopped range.
const MaxHeld = 256

// stop is a range that takes no new work.
type stop struct {
	low, high mtid.Point
	hold      Hold
	inFlight  int
	quiet     bool // reported
	held      []*Entry
}

// covers reports whether p lies in the stopped range.
func (s *stop) covers(p mtid.Point) bool { return s.low <= p && p <= s.high }

// remove takes out a held entry.
func (s *stop) remove(e *Entry) { s.held = without(s.held, e) }

// Stop takes the range from low to high, both included, out of service for a
// planned move: nothing in it is started any more, and what waits is treated
// like what comes. Quiet follows once nothing of it is in flight. A range must
// be stopped once only until Resume or Release ends it.
func (g *Gate[O]) Stop(now mtclock.Instant, low, high mtid.Point, hold Hold) []Effect {
	g.begin(now)
	s := &stop{low: low, high: high, hold: hold, inFlight: g.InFlight(low, high)}
	g.stops = append(g.stops, s)
	for _, e := range g.inOrder() {
		if e.held == nil && s.covers(e.Ticket.Point) {
			g.drop(e)
			g.hold(s, e)
		}
	}
	return g.end(now)
}

// Resume takes the range back into service, after a move that will not happen.
// What was held goes on as if it came now, with the patience it had.
func (g *Gate[O]) Resume(now mtclock.Instant, low, high mtid.Point) []Effect {
	g.begin(now)
	for _, e := range g.unstop(low, high) {
		g.admit(now, e)
	}
	return g.end(now)
}

// Release ends the stop of a range that has a new owner. What was held is
// refused with CauseStaleRoute, so that it goes to the new owner at once.
func (g *Gate[O]) Release(now mtclock.Instant, low, high mtid.Point) []Effect {
	g.begin(now)
	for _, e := range g.unstop(low, high) {
		g.refuse(e, refusal(mtreply.CauseStaleRoute, 0, ""))
	}
	return g.end(now)
}

// InFlight returns how many requests are in flight in the range, both ends
// included.
func (g *Gate[O]) InFlight(low, high mtid.Point) int {
	n := 0
	for _, e := range g.running {
		if low <= e.Ticket.Point && e.Ticket.Point <= high {
			n++
		}
	}
	return n
}

// unstop removes the stop of exactly that range and returns what it held.
func (g *Gate[O]) unstop(low, high mtid.Point) []*Entry {
	i := slices.IndexFunc(g.stops, func(s *stop) bool { return s.low == low && s.high == high })
	if i < 0 {
		return nil
	}
	s := g.stops[i]
	g.stops = slices.Delete(g.stops, i, i+1)
	for _, e := range s.held {
		e.held = nil
		delete(g.waiting, e.Ticket.Number)
	}
	return s.held
}

// stopAt returns the stop that covers p, or nil.
func (g *Gate[O]) stopAt(p mtid.Point) *stop {
	for _, s := range g.stops {
		if s.covers(p) {
			return s
		}
	}
	return nil
}

// hold lets e wait in a stopped range or refuses it.
func (g *Gate[O]) hold(s *stop, e *Entry) {
	if s.hold == RefuseNew || len(s.held) >= MaxHeld || len(g.waiting) >= g.limits.Waiting {
		g.refuse(e, refusal(mtreply.CauseMoving, movingRetryAfter, ""))
		return
	}
	g.wait(e)
	e.held = s
	s.held = append(s.held, e)
}

// report tells of ranges that have become quiet and of the end of a drain.
func (g *Gate[O]) report() {
	for _, s := range g.stops {
		if s.inFlight == 0 && !s.quiet {
			s.quiet = true
			g.out = append(g.out, Quiet{Low: s.low, High: s.high})
		}
	}
	if g.draining && !g.idle && len(g.running) == 0 {
		g.idle = true
		g.out = append(g.out, Idle{})
	}
}
