// Package mtattempt recognizes the retries that callers make of their own requests.
//
// A caller whose request was refused retries within the deadline that it set at its
// first try. The time to the objective has been running since then, but the retry
// doesn't carry that information: it has an identifier of its own, and the deadlines
// that callers of one route set differ by a sixth. What identifies a retry is that
// it has the same content as a try that failed here, and that its deadline ends at
// the same time.
//
// If retries are taken for new requests, half of the slots during an overload go to
// requests whose callers have already waited past the objective. If they are
// recognized by a short deadline alone, four in ten new requests are taken for late
// ones and refused while slots are free.
//
// # Usage
//
//	attempts := mtattempt.New(2048)
//	first := attempts.FirstArrival(now, fingerprint, deadline) // now, if the request is new
//	attempts.RecordFailure(now, fingerprint, first, deadline)  // its caller may retry
//
// Attempts isn't safe for concurrent use.
package mtattempt

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtpoison"
)

// tolerance is the maximum difference between the deadlines of two tries. Both are
// counted from arrival, and requests take some milliseconds to arrive, or a fifth of a
// second if a packet is lost.
const tolerance = 60 * time.Millisecond

// attempt is a failed try.
type attempt struct {
	fingerprint mtpoison.Fingerprint
	first       mtclock.Instant // arrival of its caller's first try
	deadline    mtclock.Instant
}

// Attempts remembers recent failed tries.
type Attempts struct {
	maxAttempts int
	recent      []attempt // the oldest first
	counts      map[mtpoison.Fingerprint]int
}

// New returns an Attempts that remembers at most maxAttempts tries.
func New(maxAttempts int) *Attempts {
	return &Attempts{maxAttempts: maxAttempts, counts: make(map[mtpoison.Fingerprint]int)}
}

// FirstArrival returns when the caller's first try of a request arrived: now, unless the
// request retries a failed one, which has about the same deadline. Each failure is
// followed by at most one retry, so FirstArrival forgets a failure that it has matched.
func (a *Attempts) FirstArrival(now mtclock.Instant, fingerprint mtpoison.Fingerprint, deadline mtclock.Instant) mtclock.Instant {
	if a.counts[fingerprint] == 0 {
		return now
	}
	i := slices.IndexFunc(a.recent, func(t attempt) bool {
		return t.fingerprint == fingerprint && withinTolerance(t.deadline, deadline)
	})
	if i < 0 {
		return now
	}
	first := a.recent[i].first
	a.forget(i)
	return first
}

func withinTolerance(a, b mtclock.Instant) bool {
	difference := a.Sub(b)
	return difference <= tolerance && difference >= -tolerance
}

// RecordFailure remembers a failed try whose caller's first try arrived at first. It is
// forgotten after the deadline, when its caller no longer retries.
func (a *Attempts) RecordFailure(now mtclock.Instant, fingerprint mtpoison.Fingerprint, first, deadline mtclock.Instant) {
	for len(a.recent) > 0 && (len(a.recent) >= a.maxAttempts || a.recent[0].deadline.Before(now)) {
		a.forget(0)
	}
	a.recent = append(a.recent, attempt{fingerprint: fingerprint, first: first, deadline: deadline})
	a.counts[fingerprint]++
}

func (a *Attempts) forget(i int) {
	fingerprint := a.recent[i].fingerprint
	a.recent = slices.Delete(a.recent, i, i+1)
	if a.counts[fingerprint]--; a.counts[fingerprint] == 0 {
		delete(a.counts, fingerprint)
	}
}
