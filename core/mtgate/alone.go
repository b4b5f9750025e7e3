package mtgate

import (
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
)

// sharedTimeFactor is the time for which ordinary requests run between two requests
// that run alone, as a multiple of the time that the last one blocked the others.
const sharedTimeFactor = 4

// aloneWindow records since when a request that is to run alone has blocked the
// others, and until when the others take precedence afterwards.
type aloneWindow struct {
	blockedSince mtclock.Instant
	blocking     bool
	sharedUntil  mtclock.Instant
}

// queueAlone queues a request that has to run alone. The queue is short because
// each such request blocks all others while it runs.
func (g *Gate[O]) queueAlone(e *Entry) {
	if len(g.alone) >= e.Flow.Queue || len(g.waiting) >= g.limits.Waiting {
		g.refuse(e, refusal(mtreply.CauseQueueFull, maxRetryAfter, ""))
		return
	}
	g.addWaiting(e)
	g.alone = append(g.alone, e)
}

// aloneNext reports whether a request that has to run alone is next. From then on
// no other request starts, so that those in flight can end.
func (g *Gate[O]) aloneNext(now mtclock.Instant) bool {
	return len(g.alone) > 0 && !now.Before(g.aloneWindow.sharedUntil)
}

// startAlone starts the oldest request that has to run alone, once nothing is in
// flight.
func (g *Gate[O]) startAlone(now mtclock.Instant) {
	if !g.aloneWindow.blocking {
		g.aloneWindow.blocking = true
		g.aloneWindow.blockedSince = now
	}
	if len(g.running) > 0 {
		return
	}
	e := g.alone[0]
	g.alone = g.alone[1:]
	delete(g.waiting, e.Ticket.Number)
	g.aloneWindow.blocking = false
	g.aloneRunning = true
	g.start(now, e)
}
