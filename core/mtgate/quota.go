package mtgate

import (
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
)

const (
	// quotaBurst is how far starts may run ahead of the server's rate limit, as time at that
	// rate.
	quotaBurst = 250 * time.Millisecond
	// minQuota is the lowest rate that is enforced, in requests per second. A server that is
	// sent nothing could never report that its limit has ended.
	minQuota mtbackend.Rate = 0.25
)

// quota limits starts to the rate that the server takes, with a burst. It is a generic cell
// rate algorithm: each start moves the time up to which the rate is used up by an interval.
type quota struct {
	interval   time.Duration   // between two starts; zero means no limit
	usedUntil  mtclock.Instant // the starts so far use up the rate until then
	nextReturn mtclock.Instant // the next refused request is told to return then, at the earliest
}

// set changes the rate. What is used up already stays the same number of requests.
func (q *quota) set(now mtclock.Instant, rate mtbackend.Rate) {
	interval := quotaInterval(rate)
	if used := q.usedUntil.Sub(now); used > 0 && q.interval > 0 {
		q.usedUntil = now.Add(time.Duration(float64(used) * float64(interval) / float64(q.interval)))
	}
	q.interval = interval
}

// quotaInterval returns the time between two starts at a rate. For a rate at which it is less
// than a nanosecond it is zero.
func quotaInterval(rate mtbackend.Rate) time.Duration {
	return time.Duration(float64(time.Second) / float64(max(rate, minQuota)))
}

// record records a start.
func (q *quota) record(now mtclock.Instant) { q.usedUntil = max(q.usedUntil, now).Add(q.interval) }

// at returns the earliest time at which the nth request from now may start.
func (q *quota) at(now mtclock.Instant, n int) mtclock.Instant {
	if q.interval == 0 {
		return now
	}
	ahead := time.Duration(n-1) * q.interval
	return max(now, max(q.usedUntil, now).Add(ahead-quotaBurst))
}

// bookReturn returns the time after which a refused request, which would have waited for the
// given time, is to return. The returns are an interval apart, since there is room for one in
// each.
func (q *quota) bookReturn(now mtclock.Instant, wait time.Duration) time.Duration {
	at := max(now.Add(wait), q.nextReturn)
	if at.Sub(now) >= maxRetryAfter {
		return maxRetryAfter
	}
	q.nextReturn = at.Add(q.interval)
	return clampRetry(at.Sub(now))
}

// LimitRate limits starts to the rate that the server takes. Waiting requests that can't start
// in time any more are refused at once.
func (g *Gate[O]) LimitRate(now mtclock.Instant, rate mtbackend.Rate) []Effect {
	g.begin(now)
	lowered := quotaInterval(rate) > g.quota.interval
	g.quota.set(now, rate)
	if lowered {
		g.refuseDelayed(now)
	}
	return g.end(now)
}

// refuseDelayed refuses the waiting requests that the server's rate limit delays for too long.
func (g *Gate[O]) refuseDelayed(now mtclock.Instant) {
	for _, e := range g.byArrival() {
		if e.heldBy != nil || e.Ticket.Alone {
			continue
		}
		if wait := g.quotaDelay(now, e); wait > 0 && g.order.TooLate(now, e, wait) {
			g.removeWaiting(e)
			g.refuse(e, g.quotaRefusal(now, e, wait))
		}
	}
}

// quotaDelay returns how long the server's rate limit would delay e if e waited now.
func (g *Gate[O]) quotaDelay(now mtclock.Instant, e *Entry) time.Duration {
	if g.quota.interval == 0 {
		return 0
	}
	return g.quota.at(now, g.order.Ahead(now, e)+1).Sub(now)
}

// quotaRefusal returns the refusal of e because of the server's rate limit.
func (g *Gate[O]) quotaRefusal(now mtclock.Instant, e *Entry, wait time.Duration) *mtreply.RefusedError {
	return refusal(mtreply.CauseQuota, g.quota.bookReturn(now, g.order.Retry(e, wait)), "the server takes no more requests per second")
}
