package mtgate

import (
	"time"

	"magnoliaturn/core/mtclock"
)

// Order is the policy of a gate: which waiting request starts next, and which
// gives way.
type Order interface {
	// Join makes a flow known, before its first entry is pushed.
	Join(f *Flow)
	// Push lets e wait.
	Push(e *Entry)
	// Next takes out the entry that starts now, at a server that runs so many
	// requests at once, or returns nil.
	Next(now mtclock.Instant, slots int) *Entry
	// Admits reports whether e, which arrives now while nothing waits, may have a
	// free slot.
	Admits(now mtclock.Instant, e *Entry, slots int) bool
	// Started and Ended tell what runs.
	Started(now mtclock.Instant, e *Entry)
	Ended(e *Entry)
	// Remove takes out a waiting entry.
	Remove(e *Entry)
	// Victim returns the waiting entry that gives way to e, or nil if e itself
	// should. It takes nothing out.
	Victim(e *Entry) *Entry
	// Wait estimates how long e would wait if it were pushed now, at a server
	// that runs so many requests at once.
	Wait(now mtclock.Instant, e *Entry, slots int) time.Duration
	// Ahead returns how many of the waiting would start before e if it were pushed now.
	Ahead(now mtclock.Instant, e *Entry) int
	// GiveUp returns when e, which arrives now, is refused if it hasn't started;
	// patient is until when its caller's time allows it to wait.
	GiveUp(now mtclock.Instant, e *Entry, patient mtclock.Instant) mtclock.Instant
	// TooLate reports whether e is refused on arrival, since it would wait for too
	// long. What has to give up at once is refused anyway.
	TooLate(now mtclock.Instant, e *Entry, wait time.Duration) bool
	// Retry returns when to ask again for e, which is refused after, or for, such
	// a wait.
	Retry(e *Entry, wait time.Duration) time.Duration
	// Len returns how many entries wait.
	Len() int
}

// estimateMargin is how many times its estimated wait must fit into the time
// that a request may wait. An estimate is a mean: with a margin of one, half of
// those let in would wait in vain.
const estimateMargin = 2

// patiently is the part of an Order that goes by the time that a caller gave.
type patiently struct{}

// TooLate implements Order.
func (patiently) TooLate(now mtclock.Instant, e *Entry, wait time.Duration) bool {
	return now.Add(wait * estimateMargin).After(e.GiveUp)
}

// Retry implements Order.
func (patiently) Retry(_ *Entry, wait time.Duration) time.Duration { return wait }

// unreserved is the part of an Order that keeps no slot for anybody.
type unreserved struct{}

// Admits implements Order.
func (unreserved) Admits(mtclock.Instant, *Entry, int) bool { return true }

// Started implements Order.
func (unreserved) Started(mtclock.Instant, *Entry) {}

// Ended implements Order.
func (unreserved) Ended(*Entry) {}

// inTime returns the earlier of patient and when e has to start to end before its
// deadline.
func inTime(e *Entry, patient mtclock.Instant) mtclock.Instant {
	return min(patient, e.Ticket.Deadline.Add(-e.service()))
}

// FIFO is the plain order: first come, first served, whatever the class, and
// who finds the queue full is refused.
type FIFO struct {
	patiently
	unreserved
	queue []*Entry
}

// NewFIFO returns an empty FIFO.
func NewFIFO() *FIFO { return &FIFO{} }

// Join implements Order.
func (*FIFO) Join(*Flow) {}

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
func (*FIFO) GiveUp(_ mtclock.Instant, _ *Entry, patient mtclock.Instant) mtclock.Instant {
	return patient
}

// Ahead implements Order.
func (o *FIFO) Ahead(mtclock.Instant, *Entry) int { return len(o.queue) }

// Len implements Order.
func (o *FIFO) Len() int { return len(o.queue) }

// DefaultGuaranteed is the part of a business's starts that go by share.
const DefaultGuaranteed = 0.25

// minCost is what a start is charged at least, in seconds of server time, so
// that flows whose requests take no time still take turns.
const minCost = 0.0001

// Fair divides the server's time in two steps.
//
// Between businesses it goes by start-time fair queuing alone: to the business
// that is furthest behind its share, the sum of the shares of its classes. No
// business's load, however important to itself, costs another one its share.
//
// Within a business two rules take turns. The guaranteed part of the starts
// goes to the class that is furthest behind its share, so that none starves.
// The rest goes to the highest priority that waits, so that a status check
// gives way to a payment even where payments are above their share. Every start
// is charged to its class, hence one that got more by its priority gets none by
// its share.
//
// What is charged is the mean time that the class's requests have taken, since
// shares are of the server's time and not of the number of requests: an archive
// lookup costs as much as ten status checks.
//
// Within a class the oldest starts first. When the gate is full, the business
// whose waiting requests exceed its share the most gives way, with the newest
// request of its lowest priority.
type Fair struct {
	patiently
	unreserved
	guaranteed float64
	virtual    float64
	tenants    []*tenant
	waiting    int
}

// tenant is one business in a Fair.
type tenant struct {
	flows   []*Flow
	waiting int
	credit  float64 // starts by share that are due
	virtual float64 // of its flows
	finish  float64
}

// NewFair returns an empty Fair; guaranteed is the part of a business's starts
// that go by share, 0 to 1. Zero is strict priority among its classes, one is
// pure fair queuing.
func NewFair(guaranteed float64) *Fair { return &Fair{guaranteed: guaranteed} }

// Join implements Order.
func (o *Fair) Join(f *Flow) {
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

// pickTenant returns the waiting business that is furthest behind its share, or
// nil if nothing waits.
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

// tag returns the start tag of the business's next request. One that was idle
// begins at the present virtual time: it saves up no credit.
func (o *Fair) tag(t *tenant) float64 { return max(t.finish, o.virtual) }

// shares returns the share of the business.
func (t *tenant) shares() float64 {
	sum := 0.0
	for _, f := range t.flows {
		sum += f.Share
	}
	return sum
}

// pick returns the flow whose oldest request is next; some flow waits.
func (t *tenant) pick(guaranteed float64) *Flow {
	t.credit += guaranteed
	if t.credit < 1 {
		return t.first(t.above)
	}
	t.credit--
	f := t.first(t.behind)
	t.virtual = t.tag(f)
	return f
}

// first returns the waiting flow that comes before all others.
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

// behind reports whether f is further behind its share than g.
func (t *tenant) behind(f, g *Flow) bool { return t.tag(f) < t.tag(g) }

// above reports whether f has the higher priority; among equals the one that
// is further behind its share goes first.
func (t *tenant) above(f, g *Flow) bool {
	if f.Priority != g.Priority {
		return f.Priority > g.Priority
	}
	return t.behind(f, g)
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
	crowded, most := own, float64(own.waiting+1)/own.shares()
	for _, t := range o.tenants {
		if over := float64(t.waiting) / t.shares(); over > most {
			crowded, most = t, over
		}
	}
	lowest := crowded.first(func(f, g *Flow) bool { return f.Priority < g.Priority })
	if lowest == nil || (crowded == own && lowest.Priority >= e.Flow.Priority) {
		return nil
	}
	return lowest.queue[len(lowest.queue)-1]
}

// Wait implements Order. A place in the flow's queue costs the usual time
// between two of its starts, or the time since the last one if that is longer
// already.
func (o *Fair) Wait(now mtclock.Instant, e *Entry, _ int) time.Duration {
	f := e.Flow
	if len(f.queue) == 0 {
		return 0
	}
	place := max(f.interval, now.Sub(max(f.lastStart, f.queue[0].Arrival)))
	return time.Duration(len(f.queue)) * place
}

// GiveUp implements Order.
func (*Fair) GiveUp(_ mtclock.Instant, e *Entry, patient mtclock.Instant) mtclock.Instant {
	return inTime(e, patient)
}

// Ahead implements Order. Shares divide the starts of others too evenly for any of them to
// be sure to come first.
func (o *Fair) Ahead(mtclock.Instant, *Entry) int { return o.waiting }

// Len implements Order.
func (o *Fair) Len() int { return o.waiting }
