package mtgate

import (
	"time"

	"magnoliaturn/core/mtclock"
)

// serviceMargin is the multiple of the mean service time for which a request is
// expected to run. Service times vary by a third or more around their mean; with a
// margin of one, half of the requests that start at the latest time would miss
// their objective.
const serviceMargin = 1.25

// Urgent starts the most valuable requests that can still meet their objective. It
// is for loads that exceed the slots for seconds, in which serving in order of
// arrival makes every answer late.
//
// It compares requests by these rules, each of which applies if the previous ones
// tie:
//
//  1. Nested requests first: each occupies a slot at another server until it ends,
//     so every second that it waits uses up a second of that slot as well.
//  2. Requests that can still meet their objective before those that can't.
//  3. The higher priority of the class.
//  4. The earlier latest start: the objective less the expected service time.
//
// When the gate is full, the request that would start last is shed.
//
// While nested requests arrive, requests that can't meet their objective get at most
// half of the slots. Otherwise a slow server has no slots for nested requests: after
// a loss of power a server was six times slower, every request was late and held its
// slot for seconds, and nested ones, which take a tenth of that, found no free slot
// before their deadlines. The work of the servers that waited for them was wasted.
type Urgent struct {
	deadlineBased
	waiting     []*Entry
	runningLate int             // running requests that can't meet their objective
	lastNested  mtclock.Instant // time of the last nested request
	reservation *reservation    // nil if no slots are reserved
}

// NewUrgent returns an Urgent without entries.
func NewUrgent() *Urgent { return &Urgent{} }

// AddFlow implements Order.
func (*Urgent) AddFlow(*Flow) {}

// Arrived implements Order.
func (o *Urgent) Arrived(now mtclock.Instant, e *Entry) {
	if o.reservation != nil {
		o.reservation.record(now, e)
	}
}

// Push implements Order.
func (o *Urgent) Push(e *Entry) {
	if e.Ticket.Nested {
		o.lastNested = e.Arrival
	}
	o.waiting = append(o.waiting, e)
	e.Flow.queue = append(e.Flow.queue, e)
}

// Next implements Order.
func (o *Urgent) Next(now mtclock.Instant, slots int) *Entry {
	best := o.next(now, slots)
	if best != nil {
		o.Remove(best)
	}
	return best
}

func (o *Urgent) next(now mtclock.Instant, slots int) *Entry {
	if o.reservation != nil {
		return o.nextReserving(now, slots)
	}
	best := o.first(now, func(*Entry) bool { return true })
	if best == nil || !o.Admits(now, best, slots) {
		return nil
	}
	return best
}

const (
	// lateSlotsDivisor divides the slots to give the maximum for requests that
	// can't meet their objective.
	lateSlotsDivisor = 2
	// nestedWindow is the time after a nested request in which more are expected.
	nestedWindow = time.Second
)

// Admits implements Order. Requests that can't meet their objective come last in the
// order, so denying one of them a slot delays no other request.
func (o *Urgent) Admits(now mtclock.Instant, e *Entry, slots int) bool {
	if o.reservation != nil && !o.reservation.admits(now, e, slots) {
		return false
	}
	if e.Ticket.Nested || !missesObjective(now, e) || now.Sub(o.lastNested) > nestedWindow {
		return true
	}
	return o.runningLate < max(slots/lateSlotsDivisor, 1)
}

// missesObjective reports whether e can no longer meet its objective.
func missesObjective(now mtclock.Instant, e *Entry) bool {
	return e.Ticket.Objective != 0 && now.After(latestStart(e))
}

// Started implements Order.
func (o *Urgent) Started(now mtclock.Instant, e *Entry) {
	if o.reservation != nil {
		o.reservation.running = append(o.reservation.running, e)
	}
	if e.Ticket.Nested {
		o.lastNested = now
	} else if missesObjective(now, e) {
		e.startedLate = true
		o.runningLate++
	}
}

// Ended implements Order.
func (o *Urgent) Ended(e *Entry) {
	if o.reservation != nil {
		o.reservation.running = without(o.reservation.running, e)
	}
	if e.startedLate {
		o.runningLate--
	}
}

// startsBefore reports whether e starts before f.
func startsBefore(now mtclock.Instant, e, f *Entry) bool {
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

// latestStart returns the latest time at which e can start to meet its objective.
func latestStart(e *Entry) mtclock.Instant {
	objective := e.Ticket.Objective
	if objective == 0 {
		objective = e.Ticket.Deadline
	}
	return objective.Add(-expectedRun(e))
}

// expectedRun returns the expected service time of e, including the margin.
func expectedRun(e *Entry) time.Duration {
	return time.Duration(float64(e.service()) * serviceMargin)
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
		if o.before(e.Arrival, last, w) {
			last = w
		}
	}
	if last == e {
		return nil
	}
	return last
}

// Wait implements Order. The entries that start before e occupy the slots for their
// service times; while all slots are in use, one becomes free every service time
// divided by slots.
func (o *Urgent) Wait(now mtclock.Instant, e *Entry, slots int) time.Duration {
	if o.startsAtOnce(now, e, slots) {
		return 0
	}
	if o.reservation != nil && !e.Ticket.Nested {
		slots = min(slots, o.reservation.limit(now, e, slots))
	}
	ahead, lessUrgentNested := e.service(), time.Duration(0)
	for _, w := range o.waiting {
		switch {
		case !o.before(now, w, e):
		case o.reservation != nil && w.lessUrgent(e):
			lessUrgentNested += w.service()
		default:
			ahead += w.service()
		}
	}
	// Half of the slots are not for nested requests that are less urgent.
	ahead += min(lessUrgentNested, ahead)
	return ahead / time.Duration(max(slots, 1))
}

// Ahead implements Order.
func (o *Urgent) Ahead(now mtclock.Instant, e *Entry) int {
	ahead := 0
	for _, w := range o.waiting {
		if o.before(now, w, e) {
			ahead++
		}
	}
	return ahead
}

const (
	// minQueueDivisor divides the service time of a request to give the wait that
	// is acceptable even if it can't meet its objective. On a slow server no
	// request can, and with no queue its slots would be idle between two requests.
	minQueueDivisor = 4
	// lateWaitDivisor divides the time between objective and deadline to give the
	// time that a request waits beyond its latest start. With a quarter, a second
	// of overload passes without refusals of admitted requests.
	lateWaitDivisor = 4
	// minOverloadRetry is the least time to retry after during an overload.
	minOverloadRetry = 400 * time.Millisecond
)

// worthStartingUntil returns the latest useful start of e, which arrives now.
func worthStartingUntil(now mtclock.Instant, e *Entry) mtclock.Instant {
	return max(latestStart(e), now.Add(e.service()/minQueueDivisor))
}

// GiveUp implements Order. A late request starts only while no request that can still
// meet its objective waits. If it waited until its deadline, it would mostly be refused
// anyway, with no time left for its caller to retry.
func (*Urgent) GiveUp(now mtclock.Instant, e *Entry, waitUntil mtclock.Instant) mtclock.Instant {
	waitUntil = latestGiveUp(e, waitUntil)
	if e.Ticket.Objective == 0 || e.Ticket.Nested {
		return waitUntil
	}
	late := max(e.Ticket.Deadline.Sub(e.Ticket.Objective), 0) / lateWaitDivisor
	return min(waitUntil, worthStartingUntil(now, e).Add(late))
}

// TooLate implements Order. A request with an objective must be expected to meet it:
// during an overload a longer queue makes every answer late without producing more of
// them, and a request that is refused at once can still be served when its caller
// retries.
// A nested request only has to start in time, since refusing it wastes the work of
// the server that waits for it.
func (o *Urgent) TooLate(now mtclock.Instant, e *Entry, wait time.Duration) bool {
	switch {
	case e.Ticket.Nested:
		return now.Add(wait).After(e.GiveUp)
	case e.Ticket.Objective != 0:
		return now.Add(wait).After(worthStartingUntil(now, e))
	}
	return o.deadlineBased.TooLate(now, e, wait)
}

// Retry implements Order. The queue is so short that its length says little about
// when the overload ends: an overload lasts for seconds, and a caller that retries
// after the estimated wait is refused again. With minOverloadRetry, another 2% of all
// requests were served on the heaviest days of two deployments.
func (*Urgent) Retry(e *Entry, wait time.Duration) time.Duration {
	if e.Ticket.Objective == 0 {
		return wait
	}
	return max(wait, minOverloadRetry)
}

// Len implements Order.
func (o *Urgent) Len() int { return len(o.waiting) }
