package mtclock

import "time"

// anchorInterval is how long elapsed time is measured from one reading (the
// anchor) before a newer reading replaces it. If each reading were measured from
// the previous one, the jitter between the three clocks would add up with every
// reading, and the result would run fast under load.
const anchorInterval = time.Second

// Reading holds the values of the three clocks of a VM, read at about the same
// time, in nanoseconds since the origin of each clock.
type Reading struct {
	Monotonic int64 // stops while the VM is suspended
	Boot      int64 // continues while the VM is suspended
	Wall      int64 // may step forward or back
}

// FusedClock combines the readings of three clocks into one elapsed time that is
// never too short: the largest of the three deltas.
//
// It guards against a frozen VM that resumes as if no time had passed. Its
// monotonic clock may have stopped, and so may the boot-time clock of a restored
// snapshot; a lease measured by either of them alone would still appear valid. A
// clock that runs too fast only costs an extra renewal.
//
// It is meant for code that must stop in time, such as the holder of a lease.
// Code that must wait long enough, such as a witness, needs the opposite and reads
// only the monotonic clock: a wall clock that steps forward would end its promise
// early.
//
// The zero FusedClock is ready to use. It is not safe for concurrent use.
type FusedClock struct {
	anchor  Reading
	base    Instant
	now     Instant
	started bool
}

// Advance processes the next reading and returns the current instant, which is
// never earlier than the previous one. The first instant is the boot-time reading.
func (f *FusedClock) Advance(r Reading) Instant {
	if !f.started {
		f.started = true
		f.base, f.now = Instant(r.Boot), Instant(r.Boot)
		f.anchor = r
		return f.now
	}
	elapsed := max(r.Monotonic-f.anchor.Monotonic, r.Boot-f.anchor.Boot, r.Wall-f.anchor.Wall, 0)
	f.now = max(f.now, f.base+Instant(elapsed))
	if f.now.Sub(f.base) >= anchorInterval || r.Wall < f.anchor.Wall {
		// After a step back, the wall clock would not reveal a freeze until it
		// has caught up with the anchor, so a new anchor is set.
		f.base, f.anchor = f.now, r
	}
	return f.now
}
