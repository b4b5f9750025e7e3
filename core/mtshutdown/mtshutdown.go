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
//	err := schedule.CheckNew(now, call.Deadline) // when a call arrives
//	err := schedule.Check(now, call.Deadline)    // before it is sent to a server
//	deadline, err := schedule.LimitNested(now, call.Deadline) // when a nested call arrives
//
// Calls that wait at the gates of daemons when the shutdown begins, and could outlast it, are
// withdrawn:
//
//	tries.Add(id, address, call.Deadline)     // before a call is sent to a daemon
//	withdrawals := tries.Outlasting(schedule) // when the shutdown begins
//	withdrawn.Add(now, ids, remember)         // at each daemon that receives a Withdrawal
//	if withdrawn.Has(now, id) { refuse it }   // before a call is begun there
//
// A Schedule is immutable and safe for concurrent use; Tries and WithdrawnTries aren't.
package mtshutdown

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
)

const (
	// retireDelay is how long new calls are accepted. By then callers have been told at least
	// twice, one second apart, that this daemon is not ready.
	retireDelay = 2600 * time.Millisecond
	// returnDelay is how long refused callers stay away. Callers that don't know another
	// daemon come back to this one, whose next process mostly serves by then.
	returnDelay = 3600 * time.Millisecond
	// cleanupReserve is reserved for the clean-up functions before the process is killed.
	// They may have to wait for a store that does not answer.
	cleanupReserve = 350 * time.Millisecond
	// finalReplyMargin is how long before the connections are closed the last answers are due.
	finalReplyMargin = 150 * time.Millisecond
	// cleanupFraction and finalReplyFraction bound both in a short grace period, so that the
	// last answers are due in its last sixth.
	cleanupFraction    = 12
	finalReplyFraction = 24
	// keyedNotice and notice are how long before Retire the other daemons are notified that the
	// server leaves. Keys begin to move then, and a move waits for the calls that run on them.
	keyedNotice = 1100 * time.Millisecond
	notice      = 300 * time.Millisecond
	// minRetry is the shortest time after which a refused caller may return.
	minRetry = 500 * time.Millisecond
)

// Schedule holds the times of a shutdown.
type Schedule struct {
	// Return is when refused callers may come back.
	Return mtclock.Instant
	// Retire is when no more calls of callers and other daemons are accepted.
	Retire mtclock.Instant
	// LastAnswers is when calls that are still in flight get their final answers.
	LastAnswers mtclock.Instant
	// Close is when all connections are closed.
	Close mtclock.Instant
}

// New returns the schedule of a shutdown that begins now, of a process that is killed after the
// grace period.
func New(now mtclock.Instant, grace time.Duration) Schedule {
	remaining := grace - min(cleanupReserve, grace/cleanupFraction)
	return Schedule{
		Return:      now.Add(min(returnDelay, grace)),
		Retire:      now.Add(min(retireDelay, remaining/2)),
		LastAnswers: now.Add(remaining - min(finalReplyMargin, grace/finalReplyFraction)),
		Close:       now.Add(remaining),
	}
}

// LeaveAt returns when the server beside the daemon stops getting work. longest is how long its
// calls may last, and keyed says whether it may own keys. Calls that begin until then end before
// the last answers are due, so the server can work while callers are still about to leave. The
// result is in the past if even a call that begins with the shutdown could outlast the daemon.
func (s Schedule) LeaveAt(longest time.Duration, keyed bool) mtclock.Instant {
	before := notice
	if keyed {
		before = keyedNotice
	}
	return min(s.Retire.Add(-before), s.LastAnswers.Add(-longest))
}

// CheckNew returns a *mtreply.RefusedError for a call that arrives after Retire, or that Check
// refuses.
func (s Schedule) CheckNew(now, deadline mtclock.Instant) error {
	if now.Before(s.Retire) {
		return s.Check(now, deadline)
	}
	return s.refusal(now, "the daemon is shutting down")
}

// Check returns a *mtreply.RefusedError if a call that is begun now could still be at work when
// the last answers are due.
func (s Schedule) Check(now, deadline mtclock.Instant) error {
	if !s.Outlasts(deadline) {
		return nil
	}
	return s.refusal(now, "the call could outlast the daemon, which is shutting down")
}

// LimitNested returns until when a nested call may last that arrives now. The call that waits for it
// was accepted, so that until Retire it gets the time that is left. After that LimitNested returns a
// *mtreply.RefusedError if the call could still be at work when the last answers are due.
func (s Schedule) LimitNested(now, deadline mtclock.Instant) (mtclock.Instant, error) {
	if now.Before(s.Retire) {
		return min(deadline, s.LastAnswers), nil
	}
	return deadline, s.Check(now, deadline)
}

// Outlasts reports whether a call could still be at work when the last answers are due.
func (s Schedule) Outlasts(deadline mtclock.Instant) bool { return deadline.After(s.LastAnswers) }

func (s Schedule) refusal(now mtclock.Instant, detail string) error {
	return &mtreply.RefusedError{Cause: mtreply.CauseStopping, RetryAfter: max(s.Return.Sub(now), minRetry), Detail: detail}
}

// CutOff returns when calls that are still in flight are ended. A server that was given until
// LastAnswers has had the time to say so by then.
func (s Schedule) CutOff() mtclock.Instant {
	return s.LastAnswers.Add(s.Close.Sub(s.LastAnswers) / 2)
}
