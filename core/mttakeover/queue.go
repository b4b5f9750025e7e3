package mttakeover

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Queue limits the rate at which one daemon starts takeovers, and starts those
// with the highest load first. It keeps the simultaneous loss of several hundred
// daemons within the write rate of the platform's store.
//
// It is a pure state machine, and not safe for concurrent use.
type Queue struct {
	// Interval is the time between two takeovers. Burst is how many may start at
	// once after an idle period.
	Interval time.Duration
	Burst    int

	waiting []waiting
	refill  mtclock.Instant // when Burst takeovers may start at once again
}

type waiting struct {
	holder mtid.Holder
	load   float64
}

// Push adds a lost incarnation. load is the total load of its shards, in any
// unit. If the incarnation is already queued, only its load is updated.
func (q *Queue) Push(h mtid.Holder, load float64) {
	i := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.holder == h })
	if i >= 0 {
		q.waiting[i].load = load
		return
	}
	q.waiting = append(q.waiting, waiting{holder: h, load: load})
}

// Pop removes and returns the queued incarnation with the highest load, or
// returns false if the queue is empty or the rate limit permits no start now.
func (q *Queue) Pop(now mtclock.Instant) (mtid.Holder, bool) {
	full := q.refill
	if full.Before(now) {
		full = now
	}
	if len(q.waiting) == 0 || full.Sub(now) > time.Duration(q.Burst-1)*q.Interval {
		return mtid.Holder{}, false
	}
	q.refill = full.Add(q.Interval)
	best := 0
	for i, w := range q.waiting {
		if w.load > q.waiting[best].load {
			best = i
		}
	}
	h := q.waiting[best].holder
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return h, true
}

// Len returns the number of queued incarnations.
func (q *Queue) Len() int { return len(q.waiting) }
