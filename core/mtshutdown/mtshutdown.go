// Package mtshutdown schedules the shutdown of a daemon, and decides which calls the daemon
// refuses meanwhile because they could outlast it.
//
// A daemon that stops keeps serving for a while: its callers and other daemons need time to
// switch. The process is killed at the end of its grace period, so that a call that is still
// at work by then is lost to its caller. A call that may last until then is refused while it
// has not run, and its caller takes it to a daemon that stays.
//
// # Usage
//
//	schedule := mtshutdown.New(now, grace)
//	err := schedule.Check(now, call.Deadline) // for each new call
//
// A Schedule is immutable and safe for concurrent use.
package mtshutdown

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
)

const (
	// retireDelay is how long new calls are accepted. By then callers have been notified at
	// least twice, one second apart, to use another daemon.
	retireDelay = 2600 * time.Millisecond
	// callersMoved is the time by which callers have been notified twice, and use another
	// daemon.
	callersMoved = 2 * time.Second
	// cleanupReserve is reserved for the clean-up functions before the process is killed.
	// They may have to wait for a store that does not answer.
	cleanupReserve = 500 * time.Millisecond
	// finalReplyMargin is how long before the connections are closed the last answers are due.
	finalReplyMargin = 200 * time.Millisecond
	// minRetry is the shortest time after which a refused caller may return.
	minRetry = 100 * time.Millisecond
)

// Schedule holds the times of a shutdown.
type Schedule struct {
	// CallersMoved is when callers use other daemons.
	CallersMoved mtclock.Instant
	// Retire is when no more calls are accepted.
	Retire mtclock.Instant
	// LastAnswers is when calls that are still in flight get their final answers.
	LastAnswers mtclock.Instant
	// Close is when all connections are closed.
	Close mtclock.Instant
}

// New returns the schedule of a shutdown that begins now, of a process that is killed after the
// grace period.
func New(now mtclock.Instant, grace time.Duration) Schedule {
	remaining := grace - cleanupReserve
	return Schedule{
		CallersMoved: now.Add(min(callersMoved, remaining/2)),
		Retire:       now.Add(min(retireDelay, remaining/2)),
		LastAnswers:  now.Add(remaining - finalReplyMargin),
		Close:        now.Add(remaining),
	}
}

// Check returns a *mtreply.RefusedError if a call that arrives now could still be at work when
// the last answers are due. Its caller may return when it uses another daemon.
func (s Schedule) Check(now, deadline mtclock.Instant) error {
	if !deadline.After(s.LastAnswers) {
		return nil
	}
	return &mtreply.RefusedError{
		Cause:      mtreply.CauseStopping,
		RetryAfter: max(s.CallersMoved.Sub(now), minRetry),
		Detail:     "the call could outlast the daemon, which is shutting down",
	}
}
