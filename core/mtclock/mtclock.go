// Package mtclock defines Instant, the time type of the packages without I/O.
//
// An Instant counts the nanoseconds since the VM booted. Leases, queues and
// deadlines are measured in Instants. Decisions never read a clock: they get the
// current Instant as an argument. Wall time (time.Time) is passed in addition only
// where an age has to be compared across VMs.
//
// # Usage
//
//	until := now.Add(1200 * time.Millisecond)
//	if now.After(until) { ... }
package mtclock

import "time"

// Instant is a point in time on this VM, in nanoseconds since boot. Instants of
// different VMs must never be compared.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// After reports whether i is later than j.
func (i Instant) After(j Instant) bool { return i > j }
