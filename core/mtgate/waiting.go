package mtgate

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
)

// admit holds e if its range is stopped; otherwise it starts or queues it.
func (g *Gate[O]) admit(now mtclock.Instant, e *Entry) {
	if s := g.stoppedAt(e.Ticket.Point); s != nil {
		g.hold(s, e)
		return
	}
	g.startOrQueue(now, e)
}

// startOrQueue starts e, queues it, or refuses e or the request that it displaces.
func (g *Gate[O]) startOrQueue(now mtclock.Instant, e *Entry) {
	if e.Ticket.Alone {
		g.queueAlone(e)
		return
	}
	if g.canStart(now) && g.order.Len() == 0 && !g.aloneNext(now) && g.order.Admits(now, e, g.capacity()) {
		g.start(now, e)
		return
	}
	wait, delay := max(g.order.Wait(now, e, g.capacity()), g.startDelay(now, e)), g.quotaDelay(now, e)
	if e.Ticket.Patience > 0 && max(wait, delay) > e.Ticket.Patience {
		g.refuse(e, refusal(mtreply.CauseBusy, max(wait, delay), "another server may have room"))
		return
	}
	if delay > wait && g.order.TooLate(now, e, delay) {
		g.refuse(e, g.quotaRefusal(now, e, delay))
		return
	}
	if !e.GiveUp.After(now) || g.order.TooLate(now, e, wait) {
		g.refuse(e, refusal(mtreply.CauseShed, clampRetry(g.order.Retry(e, wait)), "the queue is longer than its time allows"))
		return
	}
	if e.Flow.Waiting() >= e.Flow.Queue {
		g.refuse(e, refusal(mtreply.CauseQueueFull, clampRetry(wait), ""))
		return
	}
	if len(g.waiting) >= g.limits.Waiting && !g.shedFor(now, e) {
		g.refuse(e, refusal(mtreply.CauseShed, clampRetry(wait), ""))
		return
	}
	g.addWaiting(e)
	g.order.Push(e)
}

// shedFor sheds a waiting request in favor of e and reports whether there was one
// to shed.
func (g *Gate[O]) shedFor(now mtclock.Instant, e *Entry) bool {
	victim := g.order.Victim(e)
	if victim == nil {
		return false
	}
	g.removeWaiting(victim)
	g.refuse(victim, refusal(mtreply.CauseShed, clampRetry(g.order.Wait(now, victim, g.capacity())), ""))
	return true
}

// addWaiting adds e to the waiting requests.
func (g *Gate[O]) addWaiting(e *Entry) {
	if len(g.waiting) == 0 || e.GiveUp.Before(g.nextGiveUp) {
		g.nextGiveUp = e.GiveUp
	}
	g.waiting[e.Ticket.Number] = e
}

// removeWaiting removes e from the waiting requests and from its queue.
func (g *Gate[O]) removeWaiting(e *Entry) {
	delete(g.waiting, e.Ticket.Number)
	switch {
	case e.heldBy != nil:
		e.heldBy.remove(e)
	case e.Ticket.Alone:
		g.alone = without(g.alone, e)
		g.aloneWindow.blocking = g.aloneWindow.blocking && len(g.alone) > 0
	default:
		g.order.Remove(e)
	}
}

// startWaiting starts waiting requests while there are free slots.
func (g *Gate[O]) startWaiting(now mtclock.Instant) {
	for g.canStart(now) {
		if g.aloneNext(now) {
			g.startAlone(now)
			return
		}
		e := g.order.Next(now, g.capacity())
		if e == nil {
			return
		}
		delete(g.waiting, e.Ticket.Number)
		g.start(now, e)
	}
}

// start emits a Start for e.
func (g *Gate[O]) start(now mtclock.Instant, e *Entry) {
	e.Started = now
	g.starts.record(now)
	g.quota.record(now)
	g.running[e.Ticket.Number] = e
	e.Flow.started(now, e)
	g.order.Started(now, e)
	for _, s := range g.stopped {
		if s.covers(e.Ticket.Point) {
			s.inFlight++
		}
	}
	g.effects = append(g.effects, Start{Ticket: e.Ticket})
}

// refuseWaiting refuses all waiting requests in order of arrival.
func (g *Gate[O]) refuseWaiting(cause mtreply.Cause, retryAfter time.Duration) {
	for _, e := range g.byArrival() {
		g.removeWaiting(e)
		g.refuse(e, refusal(cause, retryAfter, ""))
	}
}

// expire refuses the requests whose time to give up has come.
func (g *Gate[O]) expire(now mtclock.Instant) {
	if len(g.waiting) == 0 || now.Before(g.nextGiveUp) {
		return
	}
	var nextGiveUp mtclock.Instant
	found := false
	for _, e := range g.byArrival() {
		if e.GiveUp.After(now) {
			if !found || e.GiveUp.Before(nextGiveUp) {
				nextGiveUp, found = e.GiveUp, true
			}
			continue
		}
		g.removeWaiting(e)
		g.refuse(e, g.timeoutRefusal(now, e))
	}
	g.nextGiveUp = nextGiveUp
}

// giveUp returns when e is refused if it hasn't started by then: after the fraction
// of its time that it may wait, or earlier if the order requires it.
func (g *Gate[O]) giveUp(now mtclock.Instant, e *Entry) mtclock.Instant {
	left := e.Ticket.Deadline.Sub(now)
	waitUntil := now.Add(time.Duration(float64(left) * g.limits.MaxWaitFraction))
	return g.order.GiveUp(now, e, waitUntil)
}
