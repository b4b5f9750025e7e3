package mtbackend

import (
	"time"

	"magnoliaturn/core/mtclock"
)

// Warmth is what a daemon knows of how warm its server is. A server that has just started,
// or stood without work, takes few requests a second, and crashes under many.
//
// How long it stays cold is told by its beats, about one a second, which may be late. So
// whenever it may have become cold since the last one, it is taken for cold until it says
// otherwise: a second of little work costs less than a crash.
//
// Times are those of a clock that never runs ahead, but for that of a doubt, which goes by
// the clock that stamps connections. The zero value is that of a server that nothing is
// known of. A Warmth isn't safe for concurrent use.
type Warmth struct {
	heard   bool            // a beat has told since the last doubt
	doubted mtclock.Instant // connections of before prove nothing
	until   mtclock.Instant // cold until then, by the beats
}

// Doubt notes that the server may have become cold by the instant at.
func (w *Warmth) Doubt(at mtclock.Instant) { w.heard, w.doubted = false, at }

// Hear takes in a beat that arrives now. Its time is counted from the arrival: a late one
// makes the server pass for cold for too long, never for too short.
//
// A beat that was on its way when the doubt arose may have been sent before the server
// became cold. It ends the doubt only if its connection was made later, or nobody knows
// when it was.
func (w *Warmth) Hear(now mtclock.Instant, b Beat) {
	until := now.Add(b.Cold)
	if b.Connected != 0 && !b.Connected.After(w.doubted) {
		w.until = max(w.until, until)
		return
	}
	w.heard, w.until = true, until
}

// Cold reports whether the server is cold, or may be.
func (w *Warmth) Cold(now mtclock.Instant) bool { return !w.heard || now.Before(w.until) }

// Left returns how much longer the server is cold by its own word.
func (w *Warmth) Left(now mtclock.Instant) time.Duration { return max(w.until.Sub(now), 0) }

// Allowance is by how much the rate of a cold server may be exceeded in any one second.
// The zero value allows nothing.
type Allowance struct {
	Factor float64 // of the rate; below one it counts as one
	Extra  float64 // requests
}

// spared is the part of what is allowed that is left free, for requests that reach the
// server closer to each other than they were sent.
const spared = 0.1

// Most returns how many requests a cold server that takes a rate, in requests a second, is
// given in any one second. Zero is no limit.
func (a Allowance) Most(rate float64) int {
	if rate <= 0 {
		return 0
	}
	allowed := rate*max(a.Factor, 1) + a.Extra
	return max(int(allowed*(1-spared)), 1)
}
