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
	// Next takes out the entry that starts now, or returns nil.
	Next(now mtclock.Instant) *Entry
	// Remove takes out a waiting entry.
	Remove(e *Entry)
	// Victim returns the waiting entry that gives way to e, or nil if e itself
	// should. It takes nothing out.
	Victim(e *Entry) *Entry
	// Wait estimates how long e would wait if it were pushed now.
	Wait(now mtclock.Instant, e *Entry) time.Duration
	// Predicts reports whether the gate may refuse by estimate.
	Predicts() bool
	// Len returns how many entries wait.
	Len() int
}

// FIFO is the plain order: first come, first served, whatever the class, and
// who finds the queue full is refused.
type FIFO struct{ queue []*Entry }

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
func (o *FIFO) Next(mtclock.Instant) *Entry {
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
func (*FIFO) Wait(mtclock.Instant, *Entry) time.Duration { return 0 }

// Predicts implements Order.
func (*FIFO) Predicts() bool { return false }

// Len implements Order.
func (o *FIFO) Len() int { return len(o.queue) }

// DefaultGuaranteed is the part of the starts that go by share.
const DefaultGuaranteed = 0.5

// Fair starts requests by two rules in turn. The guaranteed part of the starts
// goes by start-time fair queuing: to the flow that is furthest behind its
// share, so that no class starves and no business crowds out another. The rest
// goes to the highest priority that waits, so that a payment above its share
// still goes before a status check. Both kinds of start are charged to the
// flow, hence a flow that got more by its priority gets less by its share.
//
// Within a flow the oldest starts first. When the gate is full, the business
// whose waiting requests exceed its share the most gives way, with the newest
// request of its lowest priority.
type Fair struct {
	guaranteed float64
	credit     float64 // starts by share that are due
	virtual    float64 // virtual time: start tag of the last start by share
	flows      []*Flow
	waiting    int
}

// NewFair returns an empty Fair; guaranteed is the part of the starts that go
// by share, 0 to 1. Zero is strict priority, one is pure fair queuing.
func NewFair(guaranteed float64) *Fair { return &Fair{guaranteed: guaranteed} }

// Join implements Order.
func (o *Fair) Join(f *Flow) { o.flows = append(o.flows, f) }

// Push implements Order.
func (o *Fair) Push(e *Entry) {
	e.Flow.queue = append(e.Flow.queue, e)
	o.waiting++
}

// Next implements Order.
func (o *Fair) Next(mtclock.Instant) *Entry {
	if o.waiting == 0 {
		return nil
	}
	o.credit += o.guaranteed
	var f *Flow
	if o.credit >= 1 {
		o.credit--
		f = o.pick(o.behind)
		o.virtual = max(o.virtual, o.tag(f))
	} else {
		f = o.pick(o.above)
	}
	e := f.queue[0]
	o.Remove(e)
	f.finish = o.tag(f) + 1/f.Share
	return e
}

// pick returns the waiting flow that comes before all others.
func (o *Fair) pick(before func(f, g *Flow) bool) *Flow {
	var best *Flow
	for _, f := range o.flows {
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
func (o *Fair) behind(f, g *Flow) bool { return o.tag(f) < o.tag(g) }

// above reports whether f has the higher priority; among equals the one that
// is further behind its share goes first.
func (o *Fair) above(f, g *Flow) bool {
	if f.Priority != g.Priority {
		return f.Priority > g.Priority
	}
	return o.behind(f, g)
}

// tag returns the start tag of the flow's next request. A flow that was idle
// begins at the present virtual time: it saves up no credit.
func (o *Fair) tag(f *Flow) float64 { return max(f.finish, o.virtual) }

// Remove implements Order.
func (o *Fair) Remove(e *Entry) {
	before := len(e.Flow.queue)
	e.Flow.queue = without(e.Flow.queue, e)
	o.waiting -= before - len(e.Flow.queue)
}

// Victim implements Order.
func (o *Fair) Victim(e *Entry) *Entry {
	crowded := o.crowded(e)
	var lowest *Flow
	for _, f := range o.flows {
		if f.Key.Business != crowded.Key.Business || len(f.queue) == 0 {
			continue
		}
		if lowest == nil || f.Priority < lowest.Priority {
			lowest = f
		}
	}
	if lowest == nil {
		return nil
	}
	if lowest.Key.Business == e.Flow.Key.Business && lowest.Priority >= e.Flow.Priority {
		return nil
	}
	return lowest.queue[len(lowest.queue)-1]
}

// crowded returns a flow of the business that exceeds its share of the waiting
// room the most, e counted in.
func (o *Fair) crowded(e *Entry) *Flow {
	waiting := make(map[string]float64)
	share := make(map[string]float64)
	for _, f := range o.flows {
		waiting[string(f.Key.Business)] += float64(len(f.queue))
		share[string(f.Key.Business)] += f.Share
	}
	own := string(e.Flow.Key.Business)
	waiting[own]++
	worst := e.Flow
	most := waiting[own] / share[own]
	for _, f := range o.flows {
		name := string(f.Key.Business)
		if over := waiting[name] / share[name]; over > most {
			most, worst = over, f
		}
	}
	return worst
}

// Wait implements Order. A place in the flow's queue costs the usual time
// between two of its starts, or the time since the last one if that is longer
// already.
func (o *Fair) Wait(now mtclock.Instant, e *Entry) time.Duration {
	f := e.Flow
	if len(f.queue) == 0 {
		return 0
	}
	place := f.interval
	if since := now.Sub(max(f.lastStart, f.queue[0].Arrival)); since > place {
		place = since
	}
	return time.Duration(len(f.queue)) * place
}

// Predicts implements Order.
func (*Fair) Predicts() bool { return true }

// Len implements Order.
func (o *Fair) Len() int { return o.waiting }
