package mtgate

import (
	"time"

	"magnoliaturn/core/mtclock"
)

// Order is the scheduling policy of a gate: it decides which waiting request starts
// next and which one is shed.
type Order interface {
	// AddFlow registers a flow. It is called before the first entry of the flow is pushed.
	AddFlow(f *Flow)
	// Arrived notifies the order of a request, whether or not it is admitted.
	Arrived(now mtclock.Instant, e *Entry)
	// Push adds e to the waiting entries.
	Push(e *Entry)
	// Next removes and returns the entry to start now, or returns nil. slots is the
	// number of requests that the server runs at once.
	Next(now mtclock.Instant, slots int) *Entry
	// Admits reports whether e, which arrives while no entry waits, may take a free
	// slot.
	Admits(now mtclock.Instant, e *Entry, slots int) bool
	// Started and Ended notify the order of requests that start and end.
	Started(now mtclock.Instant, e *Entry)
	Ended(e *Entry)
	// Remove removes a waiting entry.
	Remove(e *Entry)
	// Victim returns the waiting entry to shed in favor of e, or nil if e itself
	// should be shed. It does not remove the entry.
	Victim(e *Entry) *Entry
	// Wait estimates how long e would wait if it were pushed now. slots is the
	// number of requests that the server runs at once.
	Wait(now mtclock.Instant, e *Entry, slots int) time.Duration
	// Ahead returns how many waiting entries would start before e if it were pushed now.
	Ahead(now mtclock.Instant, e *Entry) int
	// GiveUp returns when e, which arrives now, is refused if it hasn't started by
	// then; waitUntil is the latest time that the caller's deadline allows.
	GiveUp(now mtclock.Instant, e *Entry, waitUntil mtclock.Instant) mtclock.Instant
	// TooLate reports whether to refuse e on arrival because its estimated wait is
	// too long. An entry that would have to give up at once is refused in any case.
	TooLate(now mtclock.Instant, e *Entry, wait time.Duration) bool
	// Retry returns the time to retry after for e, which is refused because of an
	// estimated wait or after having waited.
	Retry(e *Entry, wait time.Duration) time.Duration
	// Len returns the number of waiting entries.
	Len() int
}

// estimateMargin is how many times the estimated wait must fit into the time that
// a request may wait. The estimate is a mean: with a margin of one, half of the
// admitted requests would not start in time.
const estimateMargin = 2

// deadlineBased implements the methods of an Order that depend only on the caller's
// deadline.
type deadlineBased struct{}

// TooLate implements Order.
func (deadlineBased) TooLate(now mtclock.Instant, e *Entry, wait time.Duration) bool {
	return now.Add(wait * estimateMargin).After(e.GiveUp)
}

// Retry implements Order.
func (deadlineBased) Retry(_ *Entry, wait time.Duration) time.Duration { return wait }

// noReservation implements the methods of an Order that reserves no slots.
type noReservation struct{}

// Admits implements Order.
func (noReservation) Admits(mtclock.Instant, *Entry, int) bool { return true }

// Arrived implements Order.
func (noReservation) Arrived(mtclock.Instant, *Entry) {}

// Started implements Order.
func (noReservation) Started(mtclock.Instant, *Entry) {}

// Ended implements Order.
func (noReservation) Ended(*Entry) {}

// latestGiveUp returns the earlier of waitUntil and the latest start that meets the
// deadline of e.
func latestGiveUp(e *Entry, waitUntil mtclock.Instant) mtclock.Instant {
	return min(waitUntil, e.Ticket.Deadline.Add(-e.service()))
}

// FIFO starts requests in order of arrival, whatever their class, and refuses new
// ones when the gate is full.
type FIFO struct {
	deadlineBased
	noReservation
	queue []*Entry
}

// NewFIFO returns a FIFO without entries.
func NewFIFO() *FIFO { return &FIFO{} }

// AddFlow implements Order.
func (*FIFO) AddFlow(*Flow) {}

// Push implements Order.
func (o *FIFO) Push(e *Entry) {
	o.queue = append(o.queue, e)
	e.Flow.queue = append(e.Flow.queue, e)
}

// Next implements Order.
func (o *FIFO) Next(mtclock.Instant, int) *Entry {
	if len(o.queue) == 0 {
		return nil
	}
	e := o.queue[0]
	o.Remove(e)
	return e
}

// Remove implements Order.
func (o *FIFO) Remove(e *Entry) {
	o.queue = without(o.queue, e)
	e.Flow.queue = without(e.Flow.queue, e)
}

// Victim implements Order.
func (*FIFO) Victim(*Entry) *Entry { return nil }

// Wait implements Order.
func (*FIFO) Wait(mtclock.Instant, *Entry, int) time.Duration { return 0 }

// GiveUp implements Order.
func (*FIFO) GiveUp(_ mtclock.Instant, _ *Entry, waitUntil mtclock.Instant) mtclock.Instant {
	return waitUntil
}

// Ahead implements Order.
func (o *FIFO) Ahead(mtclock.Instant, *Entry) int { return len(o.queue) }

// Len implements Order.
func (o *FIFO) Len() int { return len(o.queue) }

// DefaultGuaranteed is the default fraction of a business's starts that follow the
// shares of its classes.
const DefaultGuaranteed = 0.25

// minCost is the least cost that a start is charged, in seconds of server time, so
// that flows whose requests take almost no time still alternate.
const minCost = 0.0001

// Fair divides the server's time in two steps.
//
// Between businesses it uses start-time fair queuing alone: the business that is
// furthest behind its share, the sum of the shares of its classes, goes next. A
// business's load, whatever its priority, takes nothing from another one's share.
//
// Within a business there are two rules. The guaranteed fraction of the starts goes
// to the class that is furthest behind its share, so that no class starves. The
// other starts go to the highest waiting priority, so that a payment goes before a
// status check even while payments are above their share. Every start is charged to
// its class, so a class that got more than its share by priority gets nothing from
// the guaranteed fraction.
//
// The charge is the mean service time of the class, since shares divide the
// server's time and not the number of requests: an archive lookup costs as much as
// ten status checks.
//
// Within a class the oldest request starts first. When the gate is full, the
// business that exceeds its share of the waiting requests the most loses one: the
// newest request of its lowest priority.
type Fair struct {
	deadlineBased
	noReservation
	guaranteed float64
	virtual    float64
	tenants    []*tenant
	waiting    int
}

// tenant is the scheduling state of one business in a Fair.
type tenant struct {
	flows   []*Flow
	waiting int
	credit  float64 // accumulated starts that are due by share
	virtual float64 // virtual time of its flows
	finish  float64
}

// NewFair returns a Fair without entries. guaranteed is the fraction of a business's
// starts that follow the shares of its classes, from 0 to 1: zero is strict priority
// among its classes, one is pure fair queuing.
func NewFair(guaranteed float64) *Fair { return &Fair{guaranteed: guaranteed} }

// AddFlow implements Order.
func (o *Fair) AddFlow(f *Flow) {
	for _, t := range o.tenants {
		if t.flows[0].Key.Business == f.Key.Business {
			t.flows = append(t.flows, f)
			f.tenant = t
			return
		}
	}
	f.tenant = &tenant{flows: []*Flow{f}}
	o.tenants = append(o.tenants, f.tenant)
}

// Push implements Order.
func (o *Fair) Push(e *Entry) {
	e.Flow.queue = append(e.Flow.queue, e)
	e.Flow.tenant.waiting++
	o.waiting++
}

// Next implements Order.
func (o *Fair) Next(mtclock.Instant, int) *Entry {
	t := o.pickTenant()
	if t == nil {
		return nil
	}
	f := t.pick(o.guaranteed)
	e := f.queue[0]
	o.Remove(e)
	cost := max(f.service.Seconds(), minCost)
	o.virtual = o.tag(t)
	t.finish = o.virtual + cost/t.shares()
	f.finish = t.tag(f) + cost/f.Share
	return e
}

// pickTenant returns the business that is furthest behind its share among those
// with waiting requests, or nil if nothing waits.
func (o *Fair) pickTenant() *tenant {
	var best *tenant
	for _, t := range o.tenants {
		if t.waiting == 0 {
			continue
		}
		if best == nil || o.tag(t) < o.tag(best) {
			best = t
		}
	}
	return best
}

// tag returns the start tag of the business's next request. An idle business resumes
// at the current virtual time and accumulates no credit.
func (o *Fair) tag(t *tenant) float64 { return max(t.finish, o.virtual) }

// shares returns the sum of the shares of the business's flows.
func (t *tenant) shares() float64 {
	sum := 0.0
	for _, f := range t.flows {
		sum += f.Share
	}
	return sum
}

// pick returns the flow whose oldest request is next. At least one flow must have
// waiting requests.
func (t *tenant) pick(guaranteed float64) *Flow {
	t.credit += guaranteed
	if t.credit < 1 {
		return t.first(t.higherPriority)
	}
	t.credit--
	f := t.first(t.furtherBehind)
	t.virtual = t.tag(f)
	return f
}

// first returns the flow that sorts first among those with waiting requests.
func (t *tenant) first(before func(f, g *Flow) bool) *Flow {
	var best *Flow
	for _, f := range t.flows {
		if len(f.queue) == 0 {
			continue
		}
		if best == nil || before(f, best) {
			best = f
		}
	}
	return best
}

// furtherBehind reports whether f is further behind its share than g.
func (t *tenant) furtherBehind(f, g *Flow) bool { return t.tag(f) < t.tag(g) }

// higherPriority reports whether f has a higher priority than g. With equal
// priorities the flow that is further behind its share goes first.
func (t *tenant) higherPriority(f, g *Flow) bool {
	if f.Priority != g.Priority {
		return f.Priority > g.Priority
	}
	return t.furtherBehind(f, g)
}

// tag returns the start tag of the flow's next request within its business.
func (t *tenant) tag(f *Flow) float64 { return max(f.finish, t.virtual) }

// Remove implements Order.
func (o *Fair) Remove(e *Entry) {
	before := len(e.Flow.queue)
	e.Flow.queue = without(e.Flow.queue, e)
	removed := before - len(e.Flow.queue)
	e.Flow.tenant.waiting -= removed
	o.waiting -= removed
}

// Victim implements Order.
func (o *Fair) Victim(e *Entry) *Entry {
	own := e.Flow.tenant
	overShare, most := own, float64(own.waiting+1)/own.shares()
	for _, t := range o.tenants {
		if over := float64(t.waiting) / t.shares(); over > most {
			overShare, most = t, over
		}
	}
	lowest := overShare.first(func(f, g *Flow) bool { return f.Priority < g.Priority })
	if lowest == nil || (overShare == own && lowest.Priority >= e.Flow.Priority) {
		return nil
	}
	return lowest.queue[len(lowest.queue)-1]
}

// Wait implements Order. Each position in the flow's queue costs the average time
// between two of its starts, or the time since the last start if that is already
// longer.
func (o *Fair) Wait(now mtclock.Instant, e *Entry, _ int) time.Duration {
	f := e.Flow
	if len(f.queue) == 0 {
		return 0
	}
	perPosition := max(f.startInterval, now.Sub(max(f.lastStart, f.queue[0].Arrival)))
	return time.Duration(len(f.queue)) * perPosition
}

// GiveUp implements Order.
func (*Fair) GiveUp(_ mtclock.Instant, e *Entry, waitUntil mtclock.Instant) mtclock.Instant {
	return latestGiveUp(e, waitUntil)
}

// Ahead implements Order. It counts all waiting entries, since with fair shares none
// of them is certain to start after e.
func (o *Fair) Ahead(mtclock.Instant, *Entry) int { return o.waiting }

// Len implements Order.
func (o *Fair) Len() int { return o.waiting }
