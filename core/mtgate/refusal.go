package mtgate

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
)

// Bounds of RetryAfter, and its values for particular refusals.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// serverRetryAfter applies without a backend server. It is about the time until
	// a new one announces itself or another owner serves the shard.
	serverRetryAfter = time.Second
	// movingRetryAfter applies to a shard that is moving to another owner.
	movingRetryAfter = 100 * time.Millisecond
	// closedRetryAfter applies after Close. It is about the time until all other
	// daemons have been notified.
	closedRetryAfter = 200 * time.Millisecond
)

// precheck returns why e is refused regardless of the waiting requests, or nil.
func (g *Gate[O]) precheck(now mtclock.Instant, e *Entry) *mtreply.RefusedError {
	switch {
	case !e.Ticket.Deadline.After(now):
		return refusal(mtreply.CauseExpired, -1, "")
	case g.draining:
		return refusal(mtreply.CauseDraining, 0, "")
	case g.closed:
		return refusal(mtreply.CauseZoneOut, closedRetryAfter, "")
	case g.capacity() == 0:
		return refusal(mtreply.CauseNoServer, serverRetryAfter, "")
	}
	if wait := e.Flow.takeToken(now); wait > 0 {
		return refusal(mtreply.CauseLimited, clampRetry(wait), "")
	}
	return nil
}

// refuse counts and emits a refusal of e.
func (g *Gate[O]) refuse(e *Entry, err *mtreply.RefusedError) {
	e.Flow.refused(err.Cause)
	if err.Cause == mtreply.CauseShed && g.canStart(g.now) {
		g.refusedWhileReserving++
	}
	g.effects = append(g.effects, Refuse{Ticket: e.Ticket, Err: err})
}

// timeoutRefusal returns the refusal for e, which has waited too long.
func (g *Gate[O]) timeoutRefusal(now mtclock.Instant, e *Entry) *mtreply.RefusedError {
	if !e.Ticket.Deadline.After(now) {
		return refusal(mtreply.CauseExpired, -1, "")
	}
	if e.heldBy != nil {
		return refusal(mtreply.CauseMoving, movingRetryAfter, "")
	}
	if g.quota.at(now, 1).After(now) {
		return g.quotaRefusal(now, e, now.Sub(e.Arrival))
	}
	return refusal(mtreply.CauseShed, clampRetry(g.order.Retry(e, now.Sub(e.Arrival))), "waited too long")
}

// refusal returns a RefusedError with these fields.
func refusal(cause mtreply.Cause, retryAfter time.Duration, detail string) *mtreply.RefusedError {
	return &mtreply.RefusedError{Cause: cause, RetryAfter: retryAfter, Detail: detail}
}

// clampRetry limits an estimated wait to the range that is useful to callers.
func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
