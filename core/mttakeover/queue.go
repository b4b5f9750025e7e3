package mttakeover

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Queue spreads the takeovers that one daemon has to do over time, the hottest
// lost daemon first, so that the loss of several hundred at once stays within
// the write rate of the platform's store.
//
// It is a pure state machine, and not safe for concurrent use.
type Queue struct {
	// Every is the time between two takeovers, and Burst how many may start at
	// once after a quiet time.
	Every time.Duration
	Burst int

	waiting []waiting
	next    mtclock.Instant // when the allowance is full again
}

type waiting struct {
	holder mtid.Holder
	heat   float64
}

// Push adds a lost life. Heat says how much load its shards bear, in any unit.
// A life that waits already keeps its place and takes the new heat.
func (q *Queue) Push(h mtid.Holder, heat float64) {
	i := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.holder == h })
	if i >= 0 {
		q.waiting[i].heat = heat
		return
	}
	q.waiting = append(q.waiting, waiting{holder: h, heat: heat})
}

// Pop returns the hottest life whose takeover may start now, or false if none
// waits or the allowance is used up.
func (q *Queue) Pop(now mtclock.Instant) (mtid.Holder, bool) {
	full := q.next
	if full.Before(now) {
		full = now
	}
	if len(q.waiting) == 0 || full.Sub(now) > time.Duration(q.Burst-1)*q.Every {
		return mtid.Holder{}, false
	}
	q.next = full.Add(q.Every)
	best := 0
	for i, w := range q.waiting {
		if w.heat > q.waiting[best].heat {
			best = i
		}
	}
	h := q.waiting[best].holder
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return h, true
}

// Len returns how many lives wait.
func (q *Queue) Len() int { return len(q.waiting) }
