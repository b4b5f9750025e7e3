package mtsilence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtsilence"
)

// A VM is cut off for twelve seconds, and every 10 ms a call is meant for its keys.
// Each call waits for a sign for as long as it is allowed to, and its caller hears
// nothing meanwhile. Were calls to find out whether it is back, a third of them hung.
func TestACutOffDaemonCostsOnlyTheCallsOfTheFirstMoment(t *testing.T) {
	const (
		every = 10 * time.Millisecond
		cut   = 12 * time.Second
		usual = 4 * time.Millisecond
		far   = "peer"
	)
	s := mtsilence.New()
	for range 50 {
		s.Answered(far, usual)
	}
	hung, refused, back := 0, 0, time.Duration(0)
	var suspected, probe mtclock.Instant
	for now := time.Duration(0); now < cut+time.Second; now += every {
		at := mtclock.Instant(time.Hour + now)
		reachable := now >= cut
		if suspected != 0 && !at.Before(probe) {
			if reachable {
				s.Answered(far, usual)
			} else if pause, more := s.Missed(at, far); more {
				probe = at.Add(leastOf(s, far) + pause)
			}
		}
		switch {
		case s.Silent(at, far):
			refused++
		case reachable:
			back = now - cut
			now = cut + time.Second
		default:
			hung++
			if now >= s.Patience(far) && s.Suspect(at, far) {
				suspected, probe = at, at
			}
		}
	}
	t.Logf("%d calls hung, %d were refused at once, served again after %s", hung, refused, back)
	assert.Assert(t, hung <= 26, "%d calls hung", hung)
	assert.Assert(t, refused > 1100)
	assert.Assert(t, back <= 700*time.Millisecond, "served again after %s", back)
}

// leastOf is how long a probe waits.
func leastOf(s *mtsilence.Silences, address string) time.Duration { return s.Patience(address) }

// A narrow link is full: signs take half a second, and the daemon behind it works.
// Passed over for it, its keys would be refused while it serves them.
func TestASlowLinkIsNoSilence(t *testing.T) {
	s := mtsilence.New()
	for range 30 {
		s.Answered("narrow", 480*time.Millisecond)
		s.Answered("wide", 3*time.Millisecond)
	}
	assert.Assert(t, s.Patience("narrow") >= 480*time.Millisecond)
	assert.Equal(t, s.Patience("wide"), 250*time.Millisecond)
	assert.Equal(t, s.Patience("never heard of"), 600*time.Millisecond)
}

// Nobody asks for a daemon that is gone for good. It is not probed for ever, and what
// was known of it says nothing of one that comes to its address later.
func TestADaemonThatNobodyAsksForIsForgotten(t *testing.T) {
	s := mtsilence.New()
	now := mtclock.Instant(time.Hour)
	assert.Assert(t, s.Suspect(now, "gone"))
	assert.Assert(t, !s.Suspect(now, "gone"), "probed twice")
	probes := 0
	for {
		pause, more := s.Missed(now, "gone")
		if !more {
			break
		}
		probes++
		now = now.Add(pause)
	}
	assert.Assert(t, probes < 12, "%d probes", probes)
	assert.Assert(t, !s.Silent(now, "gone"))
}
