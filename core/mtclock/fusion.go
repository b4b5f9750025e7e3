package mtclock

import "time"

// anchorSpan is how long a Fusion measures from one set of readings before it
// takes a newer one. Measuring each step from the one before would add up the
// jitter between the three clocks at every reading and run fast under load.
const anchorSpan = time.Second

// Reading is what the three clocks of a VM said at about the same moment, in
// nanoseconds from origins of their own.
type Reading struct {
	Monotonic int64 // stops while the VM is suspended
	Boot      int64 // goes on while the VM is suspended
	Wall      int64 // may step in either direction
}

// Fusion turns readings of three clocks into one elapsed time that is never
// too short: the largest of the three deltas.
//
// The failure it guards against is a frozen VM that wakes up as though nothing
// had happened. Its monotonic clock may have stood still, and a restored
// snapshot's boot-time clock too; a lease measured by either alone would still
// seem valid. A clock that ran too fast only costs a renewal.
//
// It is therefore for whoever must stop in time. Whoever must wait long enough
// (a witness) needs the opposite, and reads the monotonic clock alone: a wall
// clock that steps forward would let its promise end early.
//
// The zero Fusion is ready. It is not safe for concurrent use.
type Fusion struct {
	anchor Reading
	base   Instant
	now    Instant
	begun  bool
}

// Advance takes the next reading and returns the present instant. Instants
// never go back. The first one is the boot-time reading.
func (f *Fusion) Advance(r Reading) Instant {
	if !f.begun {
		f.begun = true
		f.base, f.now = Instant(r.Boot), Instant(r.Boot)
		f.anchor = r
		return f.now
	}
	passed := max(r.Monotonic-f.anchor.Monotonic, r.Boot-f.anchor.Boot, r.Wall-f.anchor.Wall, 0)
	f.now = max(f.now, f.base+Instant(passed))
	if f.now.Sub(f.base) >= anchorSpan || r.Wall < f.anchor.Wall {
		// A wall clock that stepped back would hide a later freeze for as long
		// as it takes to catch up, so measuring starts anew from here.
		f.base, f.anchor = f.now, r
	}
	return f.now
}
