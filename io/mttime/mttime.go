// Package mttime reads the clocks of the VM: instants for time-based decisions,
// the raw boot-time clock that the daemon shares with backend servers, and wall
// time for ages that are compared across VMs.
//
// # Usage
//
//	clock := mttime.New()
//	now := clock.Now()
//
// There are two kinds of instant. Now never runs slow: use it for code that must
// stop in time, such as the holder of a lease. Steady never runs ahead of the
// monotonic clock: use it for code that must wait long enough, such as a witness.
// The two have different origins and rates, so their instants must not be
// compared with each other.
//
// All methods are safe for concurrent use.
package mttime

import (
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
)

// Clock provides instants and times from the monotonic, boot-time and wall clocks
// of this VM.
type Clock struct {
	origin time.Time // carries a monotonic reading

	mu     sync.Mutex
	fusion mtclock.FusedClock
}

// New returns a clock. A process should have only one, since the instants of
// different clocks can't be compared.
func New() *Clock {
	c := &Clock{origin: time.Now()}
	c.Now()
	return c
}

// Now returns the current instant according to the fastest of the monotonic,
// boot-time and wall clocks. It is called for each request.
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

// Steady returns the current instant according to the monotonic clock only. Its
// origin differs from that of Now.
func (c *Clock) Steady() mtclock.Instant {
	return mtclock.Instant(time.Since(c.origin))
}

// Boot returns the raw boot-time clock in nanoseconds. All processes of the VM
// read the same value.
func (c *Clock) Boot() int64 { return boot() }

// Wall returns the current wall time, for ages that are compared across VMs.
func (c *Clock) Wall() time.Time { return time.Now() }
