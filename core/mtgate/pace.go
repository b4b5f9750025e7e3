package mtgate

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
)

// paceSpan is the time in which no more than a pace's number of requests is started. It is
// longer than the second for which servers count, since a request reaches its server a
// little after it was started, and not always equally so.
const paceSpan = 1100 * time.Millisecond

// Pace is how many requests are started in a second at most. Zero is no limit.
type Pace int

// pacer remembers the starts of the last second, whether they are limited or not: a server
// may become cold in the middle of one.
type pacer struct {
	pace   Pace
	starts []mtclock.Instant // within the span, the oldest first
	// unseen is until when starts of which this gate knows nothing may count: those of
	// the process before this one.
	unseen mtclock.Instant
}

// note notes a start.
func (p *pacer) note(now mtclock.Instant) {
	p.forget(now)
	p.starts = append(p.starts, now)
}

// forget drops what lies too far back to count.
func (p *pacer) forget(now mtclock.Instant) {
	recent := slices.IndexFunc(p.starts, func(at mtclock.Instant) bool { return at.Add(paceSpan).After(now) })
	if recent < 0 {
		recent = len(p.starts)
	}
	p.starts = slices.Delete(p.starts, 0, recent)
}

// allows reports whether a request may be started now.
func (p *pacer) allows(now mtclock.Instant) bool { return !p.at(now, 1).After(now) }

// at returns when the nth request from now on may be started.
func (p *pacer) at(now mtclock.Instant, n int) mtclock.Instant {
	if p.pace <= 0 {
		return now
	}
	p.forget(now)
	starts, at := slices.Clone(p.starts), now
	for range n {
		at = max(now, p.unseen)
		if i := len(starts) - int(p.pace); i >= 0 {
			at = max(at, starts[i].Add(paceSpan))
		}
		starts = append(starts, at)
	}
	return at
}

// shift moves what is remembered by as much as the clock has jumped. A clock that runs
// ahead would make the last second's starts look old.
func (p *pacer) shift(by time.Duration) {
	for i := range p.starts {
		p.starts[i] = p.starts[i].Add(by)
	}
	p.unseen = p.unseen.Add(by)
}

// Limit bounds how many requests are started in a second: at a server that has just
// started and takes few. It counts what was started before it, too.
func (g *Gate[O]) Limit(now mtclock.Instant, pace Pace) []Effect {
	g.begin(now)
	g.pacer.pace = pace
	return g.end(now)
}

// Unseen notes that requests were started just before now of which the gate knows nothing.
func (g *Gate[O]) Unseen(now mtclock.Instant) { g.pacer.unseen = now.Add(paceSpan) }

// Jumped notes that the clock has run ahead by some time at once.
func (g *Gate[O]) Jumped(by time.Duration) { g.pacer.shift(by) }

// held returns how long the pace holds e back, if it waited now.
func (g *Gate[O]) held(now mtclock.Instant, e *Entry) time.Duration {
	if g.pacer.pace <= 0 {
		return 0
	}
	return g.pacer.at(now, g.order.Ahead(now, e)+1).Sub(now)
}

// Slow sets how much longer requests take at the server at the moment than they do on
// average, as a multiple: whether they can be in time is judged by that.
func (g *Gate[O]) Slow(now mtclock.Instant, multiple float64) []Effect {
	g.begin(now)
	g.slow = multiple
	for _, f := range g.flows {
		f.slow = multiple
	}
	return g.end(now)
}
