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
	// trialIntervals is the least number of intervals between calls at the limit for which the
	// server has to be without calls: at a low limit even a server in demand has none for
	// seconds.
	trialIntervals = 2
	// trialDoubling is the time in which the reported capacity doubles during a trial. It
	// begins low, so that few calls are refused if the limit is still in force. It has to grow,
	// because a single busy key may be more work than a low limit allows.
	trialDoubling = time.Second
	// maxTrialStep is the longest time without calls that counts between two calls of Advance.
	// During a pause of the process no calls could arrive, and a jump of the clock is no time.
	maxTrialStep = 200 * time.Millisecond
	// recoveryPeriod is how long after the end of a limit the server still reports a capacity.
	recoveryPeriod = 20 * time.Second
	// minCapacity is the least capacity of a server with a rate limit, in slots: with zero, the
	// load in relation to it would be infinite.
	minCapacity = 0.05
	// minTrialRate keeps the interval of a limit of zero finite, in calls per second.
	minTrialRate Rate = 0.25
)

// LimitTrial determines the capacity that is reported for a server with a rate limit. Only an
// answer to a call shows that a limit has ended, and other daemons send calls according to the
// reported capacity: a server that they avoid would keep its limit forever. So a limit that no call
// has confirmed for some time is tried: the reported capacity is raised step by step, up to all
// slots, until a call begins. The gate keeps to the rate limit meanwhile, so a limit that is still
// in force is never exceeded. The answer to that call confirms the limit or ends it.
//
// For recoveryPeriod after the end of a limit the reported capacity is all slots. Other daemons
// offer work to a server that reports a capacity but has next to no work, also if they have room.
//
// The zero value is ready to use. A LimitTrial is not safe for concurrent use.
type LimitTrial struct {
	last  mtclock.Instant // of the latest Advance; zero before it
	quiet time.Duration   // time without calls, as far as observed
	tries int             // trials that did not end the limit
	// limited is set while there is a limit. recovery is what is left of recoveryPeriod after
	// its end.
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

// wait returns how long the server has to be without calls before its limit is tried, from the
// number of trials so far and the interval between calls at the limit.
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
