package mtbackend

import (
	"math"
	"time"

	"magnoliaturn/core/mtclock"
)

const (
	// trialWait is how long a limited server has to be without calls before its limit is
	// tried. It doubles after each trial that did not end the limit, up to maxTrialWait.
	trialWait    = 2 * time.Second
	maxTrialWait = 8 * time.Second
	// trialIntervals is the same as a number of calls that the limit allows: at a low limit
	// even a server that is in demand has no call for seconds.
	trialIntervals = 2
	// trialDoubling is the time in which the reported capacity doubles during a trial. Little
	// is offered first, so that a limit that is still in force shows at little cost; but a
	// single busy key may be more work than a low limit allows.
	trialDoubling = time.Second
	// maxTrialStep is the longest time that counts between two calls of Advance. After a pause
	// or a jump of the clock nobody could have sent calls for longer.
	maxTrialStep = 200 * time.Millisecond
	// recoveryPeriod is how long after the end of a limit the server still reports a capacity.
	recoveryPeriod = 20 * time.Second
	// minCapacity is the least capacity of a server with a rate limit, in slots: none at all
	// would make every load infinite.
	minCapacity = 0.05
	// minTrialRate keeps the interval of a limit of zero finite, in calls per second.
	minTrialRate Rate = 0.25
)

// LimitTrial decides how much work a server with a rate limit is offered. Only an answer to a
// call ends a limit, and others send calls by the capacity that is reported to them: a server
// that they avoid would keep its limit forever. So a limit that no call has confirmed for some
// time is tried: the reported capacity is raised step by step, up to all slots, until a call
// begins. Starts stay limited by the rate meanwhile, so that a limit that is still in force is
// never exceeded; the first answer ends it or not.
//
// For some time after the end of a limit the capacity is reported as all slots: others offer work
// to a server that reports one and has none, though they have room themselves.
//
// The zero value is ready to use. A LimitTrial is not safe for concurrent use.
type LimitTrial struct {
	last  mtclock.Instant // of the latest Advance; zero before it
	quiet time.Duration   // time without calls, as far as observed
	tries int             // trials that did not end the limit
	// limited is set while there is a limit, and recovery is the time that is left after it.
	limited  bool
	recovery time.Duration
}

// Advance processes the time since the previous call. It is called several times a second with
// the limit in force; busy means that a call runs or has begun since the previous call of
// Advance. It reports whether a trial begins.
func (t *LimitTrial) Advance(now mtclock.Instant, limit Rate, busy bool) bool {
	step := min(max(now.Sub(t.last), 0), maxTrialStep)
	if t.last == 0 {
		step = 0
	}
	t.last = now
	tried := t.quiet > t.wait(limit)
	t.recovery = max(t.recovery-step, 0)
	if t.limited && limit >= Unlimited {
		t.recovery = recoveryPeriod
	}
	t.limited = limit < Unlimited
	switch {
	case !t.limited:
		t.quiet, t.tries = 0, 0
	case busy && tried:
		t.quiet, t.tries = 0, t.tries+1
	case busy:
		t.quiet = 0
	default:
		t.quiet += step
		return !tried && t.quiet > t.wait(limit)
	}
	return false
}

// wait returns how long the server has to be without calls before its limit is tried.
func (t *LimitTrial) wait(limit Rate) time.Duration {
	interval := time.Duration(float64(time.Second) / float64(max(limit, minTrialRate)))
	return max(min(trialWait<<min(t.tries, 8), maxTrialWait), trialIntervals*interval)
}

// Capacity returns the number of slots that a rate limit lets a server use on average, if a call
// takes the given time; zero without a limit, or if the time isn't known. During a trial it is
// more, and at most all slots; all slots after the end of a limit.
func (t *LimitTrial) Capacity(limit Rate, slots int, service time.Duration) float64 {
	if limit >= Unlimited && t.recovery > 0 {
		return float64(slots)
	}
	if limit >= Unlimited || service <= 0 {
		return 0
	}
	raised := max(float64(limit)*service.Seconds(), minCapacity)
	if over := t.quiet - t.wait(limit); over > 0 {
		raised *= math.Exp2(over.Seconds() / trialDoubling.Seconds())
	}
	return max(min(raised, float64(slots)), minCapacity)
}
