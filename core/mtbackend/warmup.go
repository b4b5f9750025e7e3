package mtbackend

import (
	"time"

	"magnoliaturn/core/mtclock"
)

// WarmupTracker tracks whether a server is warm. A server that has just started, or was
// idle, can handle only few requests a second and crashes under many.
//
// The server reports how long it stays cold with its heartbeats, about one a second,
// which may arrive late. So whenever it may have become cold since the last one, it is
// treated as cold until it reports otherwise: a second of little work costs less than a
// crash.
//
// Times are read from a clock that never jumps ahead, except the one passed to
// MarkPossiblyCold, which is from the clock that timestamps connections. The zero value
// is for a server of which nothing is known. A WarmupTracker is not safe for concurrent
// use.
type WarmupTracker struct {
	confirmed   bool            // a heartbeat arrived since the server last became possibly cold
	uncertainAt mtclock.Instant // heartbeats on connections made up to then confirm nothing
	until       mtclock.Instant // end of the cold time, by the heartbeats
}

// MarkPossiblyCold records that the server may have become cold by the given time.
func (w *WarmupTracker) MarkPossiblyCold(at mtclock.Instant) { w.confirmed, w.uncertainAt = false, at }

// ObserveHeartbeat processes a heartbeat that arrives now. Its remaining cold time is
// counted from the arrival, so a late heartbeat makes the server count as cold for too
// long, but never for too short a time.
//
// A heartbeat that was in transit when the server became possibly cold may have been
// sent before that. It confirms the state only if its connection was certainly opened later, or if
// the time of its connection is unknown.
func (w *WarmupTracker) ObserveHeartbeat(now mtclock.Instant, b Heartbeat) {
	coldUntil := now.Add(b.Cold)
	if b.OpenedAfter != 0 && !b.OpenedAfter.After(w.uncertainAt) {
		w.until = max(w.until, coldUntil)
		return
	}
	w.confirmed, w.until = true, coldUntil
}

// Cold reports whether the server is cold or possibly cold.
func (w *WarmupTracker) Cold(now mtclock.Instant) bool { return !w.confirmed || now.Before(w.until) }

// Remaining returns how much longer the server stays cold by its own report.
func (w *WarmupTracker) Remaining(now mtclock.Instant) time.Duration { return max(w.until.Sub(now), 0) }

// Allowance defines by how much the rate of a cold server may be exceeded within any
// one second. The zero value allows no excess.
type Allowance struct {
	Factor float64 // multiple of the rate; values below one count as one
	Extra  float64 // additional requests
}

// reserve is the fraction of the allowed requests that is kept free, for requests that
// arrive at the server closer together than they were sent.
const reserve = 0.1

// Limit returns the maximum number of requests in any one second for a cold server with
// the given rate, in requests per second. Zero means no limit.
func (a Allowance) Limit(rate float64) int {
	if rate <= 0 {
		return 0
	}
	allowed := rate*max(a.Factor, 1) + a.Extra
	return max(int(allowed*(1-reserve)), 1)
}
