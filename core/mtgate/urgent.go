package mtgate

import (
	"time"

	"magnoliaturn/core/mtclock"
)

// Sized is an Order that estimates by the number of slots.
type Sized interface {
	Order
	// Resize sets how many requests the backend server runs at once.
	Resize(slots int)
}

// serviceMargin is how many times its mean service time a request is expected to
// need. Service times scatter by a third and more around their mean; with a
// margin of one, half of those started as late as that would miss their
// objective.
const serviceMargin = 1.25

// Urgent starts first what is worth most and can still be had. It answers the
// pattern of a load that exceeds the slots for seconds: whoever serves in order
// of arrival then, answers everything late.
//
// Its steps, each of which decides only where the former ones tie:
//
//  1. Nested requests: a slot at another server is taken until they end, so that
//     each second that they wait costs two servers a second.
//  2. Requests that can still meet their objective, before those that can't.
//  3. The higher priority of the class.
//  4. The earlier objective, less the time that the request takes.
//
// When the gate is full, the request that would start last gives way.
type Urgent struct {
	waiting []*Entry
	slots   int
}

// NewUrgent returns an empty Urgent.
func NewUrgent() *Urgent { return &Urgent{slots: 1} }

// Join implements Order.
func (*Urgent) Join(*Flow) {}

// Resize implements Sized.
func (o *Urgent) Resize(slots int) { o.slots = max(slots, 1) }

// Push implements Order.
func (o *Urgent) Push(e *Entry) {
	o.waiting = append(o.waiting, e)
	e.Flow.queue = append(e.Flow.queue, e)
}

// Next implements Order.
func (o *Urgent) Next(now mtclock.Instant) *Entry {
	var best *Entry
	for _, e := range o.waiting {
		if best == nil || before(now, e, best) {
			best = e
		}
	}
	if best != nil {
		o.Remove(best)
	}
	return best
}

// before reports whether e starts before f.
func before(now mtclock.Instant, e, f *Entry) bool {
	if e.Ticket.Nested != f.Ticket.Nested {
		return e.Ticket.Nested
	}
	eStart, fStart := latestStart(e), latestStart(f)
	eInTime, fInTime := !now.After(eStart), !now.After(fStart)
	if eInTime != fInTime {
		return eInTime
	}
	if e.Flow.Priority != f.Flow.Priority {
		return e.Flow.Priority > f.Flow.Priority
	}
	if eStart != fStart {
		return eStart < fStart
	}
	return e.Ticket.Number < f.Ticket.Number
}

// latestStart returns when e has to start to meet its objective.
func latestStart(e *Entry) mtclock.Instant {
	objective := e.Ticket.Objective
	if objective == 0 {
		objective = e.Ticket.Deadline
	}
	return objective.Add(-expected(e))
}

// expected returns how long e is expected to run.
func expected(e *Entry) time.Duration {
	return time.Duration(float64(e.Flow.service) * serviceMargin)
}

// Remove implements Order.
func (o *Urgent) Remove(e *Entry) {
	o.waiting = without(o.waiting, e)
	e.Flow.queue = without(e.Flow.queue, e)
}

// Victim implements Order.
func (o *Urgent) Victim(e *Entry) *Entry {
	last := e
	for _, w := range o.waiting {
		if before(e.Arrival, last, w) {
			last = w
		}
	}
	if last == e {
		return nil
	}
	return last
}

// Wait implements Order. What starts before e keeps the slots for its service
// times; with all slots in use one becomes free every service time over slots.
func (o *Urgent) Wait(now mtclock.Instant, e *Entry) time.Duration {
	var ahead time.Duration
	for _, w := range o.waiting {
		if before(now, w, e) {
			ahead += w.Flow.service
		}
	}
	return (ahead + e.Flow.service) / time.Duration(o.slots)
}

// Predicts implements Order.
func (*Urgent) Predicts() bool { return true }

// Len implements Order.
func (o *Urgent) Len() int { return len(o.waiting) }
