// Package mtclock gives the decisions their notion of time.
//
// An Instant counts elapsed nanoseconds on this VM since its boot, and is
// what leases, queues and deadlines are measured with. Decisions never read a
// clock: the present Instant is an argument. Wall time (time.Time) is passed
// beside it only where an age has to be compared across VMs.
//
// # Usage
//
//	until := now.Add(1200 * time.Millisecond)
//	if now.After(until) { ... }
package mtclock

import "time"

// Instant is a point in elapsed time on this VM, in nanoseconds since boot.
// Instants of different VMs must never be compared.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i lies before j.
func (i Instant) Before(j Instant) bool { return i < j }

// After reports whether i lies after j.
func (i Instant) After(j Instant) bool { return i > j }
