// Package mtattempt tells a caller's second try of a request from a fresh one.
//
// A caller that was refused asks again within the deadline that it set itself at
// its first try. Its objective has been running since then, but nothing in the
// second try says so: it has an identifier of its own, and callers of one route
// give deadlines that differ by a sixth. What does tell is that it asks for the
// same, and that its deadline ends at the same moment as that of a try which
// failed here.
//
// Without the difference a second try passes for fresh: while more is asked than
// can be done, half of the slots went to requests whose callers had waited past
// the objective. Told by a short deadline alone, four in ten fresh requests passed
// for late, and were refused beside free slots.
//
// # Usage
//
//	attempts := mtattempt.New(2048)
//	first := attempts.Recall(now, print, deadline) // now, if the request is fresh
//	attempts.Failed(now, print, first, deadline)   // its caller may ask again
//
// Attempts isn't safe for concurrent use.
package mtattempt

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtpoison"
)

// tolerance is by how much the deadlines of two tries may differ. Both are counted
// from their arrival, and on their way requests wait for some milliseconds, a lost
// packet for a fifth of a second.
const tolerance = 60 * time.Millisecond

// attempt is a try that failed.
type attempt struct {
	mark     mtpoison.Fingerprint
	first    mtclock.Instant // arrival of its caller's first try
	deadline mtclock.Instant
}

// Attempts remembers the tries that failed not long ago.
type Attempts struct {
	most   int
	recent []attempt // the oldest first
	known  map[mtpoison.Fingerprint]int
}

// New returns an Attempts that remembers so many tries at most.
func New(most int) *Attempts {
	return &Attempts{most: most, known: make(map[mtpoison.Fingerprint]int)}
}

// Recall returns when the first try of a request arrived that arrives now with a
// deadline: now, unless it is another try of one that failed. Each failure is
// followed by one try at most, so it is forgotten then.
func (a *Attempts) Recall(now mtclock.Instant, mark mtpoison.Fingerprint, deadline mtclock.Instant) mtclock.Instant {
	if a.known[mark] == 0 {
		return now
	}
	i := slices.IndexFunc(a.recent, func(t attempt) bool {
		return t.mark == mark && near(t.deadline, deadline)
	})
	if i < 0 {
		return now
	}
	first := a.recent[i].first
	a.forget(i)
	return first
}

func near(a, b mtclock.Instant) bool {
	apart := a.Sub(b)
	return apart <= tolerance && apart >= -tolerance
}

// Failed remembers a try that was not answered with success, whose caller's first
// try arrived at first. After the deadline nobody asks again.
func (a *Attempts) Failed(now mtclock.Instant, mark mtpoison.Fingerprint, first, deadline mtclock.Instant) {
	for len(a.recent) > 0 && (len(a.recent) >= a.most || a.recent[0].deadline.Before(now)) {
		a.forget(0)
	}
	a.recent = append(a.recent, attempt{mark: mark, first: first, deadline: deadline})
	a.known[mark]++
}

func (a *Attempts) forget(i int) {
	mark := a.recent[i].mark
	a.recent = slices.Delete(a.recent, i, i+1)
	if a.known[mark]--; a.known[mark] == 0 {
		delete(a.known, mark)
	}
}
