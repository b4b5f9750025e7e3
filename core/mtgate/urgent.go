package mtgate

import (
	"time"

	"magnoliaturn/core/mtclock"
)

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
//
// While nested requests come, those that can't meet their objective have half of
// the slots at most. It answers the pattern of a server that has become slow,
// after a loss of power by six times: every request was late, each held its slot
// for seconds, and nested ones that take a tenth of that found no slot free before
// their deadlines. The servers that waited for them lost what they had done.
type Urgent struct {
	patiently
	waiting []*Entry
	late    int             // run although they can't meet their objective
	nested  mtclock.Instant // the last nested request
}

// NewUrgent returns an empty Urgent.
func NewUrgent() *Urgent { return &Urgent{} }

// Join implements Order.
func (*Urgent) Join(*Flow) {}

// Push implements Order.
func (o *Urgent) Push(e *Entry) {
	if e.Ticket.Nested {
		o.nested = e.Arrival
	}
	o.waiting = append(o.waiting, e)
	e.Flow.queue = append(e.Flow.queue, e)
}

// Next implements Order.
func (o *Urgent) Next(now mtclock.Instant, slots int) *Entry {
	var best *Entry
	for _, e := range o.waiting {
		if best == nil || before(now, e, best) {
			best = e
		}
	}
	if best == nil || !o.Admits(now, best, slots) {
		return nil
	}
	o.Remove(best)
	return best
}

const (
	// latePortion is the part of the slots, one over it, that requests may have
	// which can't meet their objective.
	latePortion = 2
	// nestedMemory is how long after a nested request others are expected.
	nestedMemory = time.Second
)

// Admits implements Order. What can't meet its objective comes last in the order,
// so nothing else waits if it is not admitted.
func (o *Urgent) Admits(now mtclock.Instant, e *Entry, slots int) bool {
	if e.Ticket.Nested || !lost(now, e) || now.Sub(o.nested) > nestedMemory {
		return true
	}
	return o.late < max(slots/latePortion, 1)
}

// lost reports whether e can't meet its objective any more.
func lost(now mtclock.Instant, e *Entry) bool {
	return e.Ticket.Objective != 0 && now.After(latestStart(e))
}

// Started implements Order.
func (o *Urgent) Started(now mtclock.Instant, e *Entry) {
	if e.Ticket.Nested {
		o.nested = now
	} else if lost(now, e) {
		e.late = true
		o.late++
	}
}

// Ended implements Order.
func (o *Urgent) Ended(e *Entry) {
	if e.late {
		o.late--
	}
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
func (o *Urgent) Wait(now mtclock.Instant, e *Entry, slots int) time.Duration {
	var ahead time.Duration
	for _, w := range o.waiting {
		if before(now, w, e) {
			ahead += w.service()
		}
	}
	return (ahead + e.service()) / time.Duration(max(slots, 1))
}

// Ahead implements Order.
func (o *Urgent) Ahead(now mtclock.Instant, e *Entry) int {
	ahead := 0
	for _, w := range o.waiting {
		if before(now, w, e) {
			ahead++
		}
	}
	return ahead
}

const (
	// leastQueue is the part of its service time, one over it, that a request may
	// be expected to wait although it can't meet its objective any more: on a
	// slow server nothing could, and its slots would stand idle between two
	// requests.
	leastQueue = 4
	// latePart is the part, one over it, of the time between objective and
	// deadline that a request waits beyond the time at which it had to start to
	// be in time. With a quarter, a second in which more is asked than can be
	// done passes without refusals of what was admitted.
	latePart = 4
	// overloadRetry is the least time after which asking again makes sense while
	// more is asked than can be done.
	overloadRetry = 400 * time.Millisecond
)

// worthStarting returns until when it is worth starting e, which arrives now.
func worthStarting(now mtclock.Instant, e *Entry) mtclock.Instant {
	return max(latestStart(e), now.Add(e.service()/leastQueue))
}

// GiveUp implements Order. What has become late only starts while nothing waits
// that is in time. Held until its deadline it mostly ends refused all the same,
// without time left for its caller to try again.
func (*Urgent) GiveUp(now mtclock.Instant, e *Entry, patient mtclock.Instant) mtclock.Instant {
	patient = inTime(e, patient)
	if e.Ticket.Objective == 0 || e.Ticket.Nested {
		return patient
	}
	late := max(e.Ticket.Deadline.Sub(e.Ticket.Objective), 0) / latePart
	return min(patient, worthStarting(now, e).Add(late))
}

// TooLate implements Order. A request with an objective has to be expected to
// meet it: while more is asked than can be done, a queue longer than that makes
// every answer late and none more, and what is refused at once can still be
// served after its caller's next try. A nested request only has to start in time,
// since refusing it wastes the work of the server that waits for it.
func (o *Urgent) TooLate(now mtclock.Instant, e *Entry, wait time.Duration) bool {
	switch {
	case e.Ticket.Nested:
		return now.Add(wait).After(e.GiveUp)
	case e.Ticket.Objective != 0:
		return now.Add(wait).After(worthStarting(now, e))
	}
	return o.patiently.TooLate(now, e, wait)
}

// Retry implements Order. The queue is kept so short that its end says little: a
// load that fills it lasts for seconds, and who comes back within the queue's time
// is refused again. On the heaviest days of two deployments 2 in 100 more of all
// requests were served with the longer time, one run each.
func (*Urgent) Retry(e *Entry, wait time.Duration) time.Duration {
	if e.Ticket.Objective == 0 {
		return wait
	}
	return max(wait, overloadRetry)
}

// Len implements Order.
func (o *Urgent) Len() int { return len(o.waiting) }
