package mtbackend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
)

// trialSim advances a trial in steps of 50 ms of simulated time.
type trialSim struct {
	trial mtbackend.LimitTrial
	now   mtclock.Instant
}

// quietFor advances the trial without calls, and returns how often a trial began.
func (s *trialSim) quietFor(d time.Duration, limit mtbackend.Rate) (began int) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(50 * time.Millisecond)
		if s.trial.Advance(s.now, limit, false) {
			began++
		}
	}
	return began
}

// capacity returns the capacity of a server with four slots whose calls take 10 ms.
func (s *trialSim) capacity(limit mtbackend.Rate) float64 {
	return s.trial.Capacity(limit, 4, 10*time.Millisecond)
}

// Guards against a server that keeps its limit, and is avoided, since no call can confirm it.
func TestLimitWithoutCallsIsTriedStepByStep(t *testing.T) {
	s := &trialSim{now: at(1000)}
	assert.Equal(t, s.quietFor(1900*time.Millisecond, 20), 0)
	assert.Equal(t, s.capacity(20), 0.2)
	assert.Equal(t, s.quietFor(1500*time.Millisecond, 20), 1)
	assert.Assert(t, s.capacity(20) > 0.3 && s.capacity(20) < 0.8, "%v", s.capacity(20))
	s.quietFor(5*time.Second, 20)
	assert.Equal(t, s.capacity(20), 4.0)
}

// Guards against frequent trials of a limit in force, and against trials between calls at a low one.
func TestCallEndsTrialAndDelaysTheNext(t *testing.T) {
	s := &trialSim{now: at(1000)}
	for _, wait := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		assert.Equal(t, s.quietFor(wait-50*time.Millisecond, 20), 0, wait)
		assert.Equal(t, s.quietFor(2*time.Second, 20), 1, wait)
		s.trial.Advance(s.now, 20, true)
		assert.Equal(t, s.capacity(20), 0.2)
	}
	s.trial.Advance(s.now, mtbackend.Unlimited, true)
	assert.Equal(t, s.capacity(mtbackend.Unlimited), 4.0) // so that others offer it work
	s.quietFor(21*time.Second, mtbackend.Unlimited)
	assert.Equal(t, s.capacity(mtbackend.Unlimited), 0.0)
	assert.Equal(t, s.quietFor(3*time.Second, 20), 1)
	s = &trialSim{now: at(1000)}
	assert.Equal(t, s.quietFor(7900*time.Millisecond, 0.1), 0)
	assert.Equal(t, s.quietFor(time.Second, 0.1), 1)
}

// Guards against time that nobody could use: a pause of the process or a jump of the clock.
func TestClockJumpIsNoTimeWithoutCalls(t *testing.T) {
	s := &trialSim{now: at(1000)}
	s.quietFor(time.Second, 20)
	s.now = s.now.Add(time.Hour)
	assert.Equal(t, s.quietFor(700*time.Millisecond, 20), 0)
	s.now = s.now.Add(-2 * time.Hour)
	assert.Equal(t, s.quietFor(time.Second, 20), 1)
}
