package mtgate

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
)

// startWindow is the time in which the number of starts is limited to the StartRate.
// It is longer than the second over which servers count, since the delay between
// starting a request and its arrival at the server varies.
const startWindow = 1100 * time.Millisecond

// StartRate is a maximum number of starts per second. Zero means no limit.
type StartRate int

// startLimiter enforces the start rate limit. It records starts even without a
// limit, because a server may become cold at any time within the window.
type startLimiter struct {
	rate   StartRate
	starts []mtclock.Instant // within the window, the oldest first
	// unknownUntil is the time until which starts of the previous process, which
	// this gate doesn't know, may still count.
	unknownUntil mtclock.Instant
}

// record records a start.
func (l *startLimiter) record(now mtclock.Instant) {
	l.prune(now)
	l.starts = append(l.starts, now)
}

// prune removes the starts that have left the window.
func (l *startLimiter) prune(now mtclock.Instant) {
	recent := slices.IndexFunc(l.starts, func(at mtclock.Instant) bool { return at.Add(startWindow).After(now) })
	if recent < 0 {
		recent = len(l.starts)
	}
	l.starts = slices.Delete(l.starts, 0, recent)
}

// at returns the earliest time at which the nth request from now may start.
func (l *startLimiter) at(now mtclock.Instant, n int) mtclock.Instant {
	if l.rate <= 0 {
		return now
	}
	l.prune(now)
	starts, at := slices.Clone(l.starts), now
	for range n {
		at = max(now, l.unknownUntil)
		if i := len(starts) - int(l.rate); i >= 0 {
			at = max(at, starts[i].Add(startWindow))
		}
		starts = append(starts, at)
	}
	return at
}

// shift moves the recorded starts by the amount of a clock jump. Without it a clock
// that jumps ahead would make the starts of the last second look old.
func (l *startLimiter) shift(by time.Duration) {
	for i := range l.starts {
		l.starts[i] = l.starts[i].Add(by)
	}
	l.unknownUntil = l.unknownUntil.Add(by)
}

// LimitStartRate limits the number of starts per second, for a cold server, which can
// handle only few. Starts before the call count as well.
func (g *Gate[O]) LimitStartRate(now mtclock.Instant, rate StartRate) []Effect {
	g.begin(now)
	g.starts.rate = rate
	return g.end(now)
}

// AssumeUnknownStarts assumes that a previous process started requests until now.
func (g *Gate[O]) AssumeUnknownStarts(now mtclock.Instant) {
	g.starts.unknownUntil = now.Add(startWindow)
}

// ClockJumped corrects the recorded starts after the clock jumped ahead by some time.
func (g *Gate[O]) ClockJumped(by time.Duration) {
	g.starts.shift(by)
	g.quota.usedUntil = g.quota.usedUntil.Add(by)
}

// startDelay returns how long the start rate limit would delay e if e waited now.
func (g *Gate[O]) startDelay(now mtclock.Instant, e *Entry) time.Duration {
	if g.starts.rate <= 0 {
		return 0
	}
	return g.starts.at(now, g.order.Ahead(now, e)+1).Sub(now)
}

// SetSlowdown sets the server's current service time as a multiple of the average. The
// gate uses it to estimate which requests can end in time.
func (g *Gate[O]) SetSlowdown(now mtclock.Instant, factor float64) []Effect {
	g.begin(now)
	g.slowdown = factor
	for _, f := range g.flows {
		f.slowdown = factor
	}
	return g.end(now)
}
