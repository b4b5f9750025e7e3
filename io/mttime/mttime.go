// Package mttime reads the clocks of the VM for the duties: the instants that
// decisions are given, the raw boot-time clock that backend servers share, and
// wall time for ages that are compared across VMs.
//
// # Usage
//
//	clock := mttime.New()
//	now := clock.Now()
//
// There are two instants, for two kinds of decision. Now never runs slow: it is
// for whoever must stop in time, such as the holder of a lease. Steady never
// runs ahead of the monotonic clock: it is for whoever must wait long enough,
// such as a witness. Instants of the two must not be compared with each other.
//
// All methods are safe for concurrent use.
package mttime

import (
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
)

// Clock reads the clocks of this VM.
type Clock struct {
	origin time.Time // carries a monotonic reading

	mu     sync.Mutex
	fusion mtclock.FusedClock
}

// New returns a clock. One is made per process, so that its instants compare.
func New() *Clock {
	c := &Clock{origin: time.Now()}
	c.Now()
	return c
}

// Now returns the present instant by the fastest of monotonic, boot-time and
// wall clock. It is called for each request.
func (c *Clock) Now() mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now()
	return c.fusion.Advance(mtclock.Reading{
		Monotonic: int64(wall.Sub(c.origin)),
		Boot:      boot(),
		Wall:      wall.UnixNano(),
	})
}

// Steady returns the present instant by the monotonic clock alone, from an
// origin of its own.
func (c *Clock) Steady() mtclock.Instant {
	return mtclock.Instant(time.Since(c.origin))
}

// Boot returns the raw boot-time clock in nanoseconds, which every process of
// the VM shares.
func (c *Clock) Boot() int64 { return boot() }

// Wall returns wall time.
func (c *Clock) Wall() time.Time { return time.Now() }
