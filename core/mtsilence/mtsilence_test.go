package mtsilence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtsilence"
)

// A VM is disconnected for twelve seconds, with a call for its keys every 10 ms. Calls
// hang until an acknowledgment is overdue. If calls instead of probes had to find out
// whether the VM is available again, a third of them would hang.
func TestDisconnectedDaemonDelaysOnlyTheFirstCalls(t *testing.T) {
	const (
		every   = 10 * time.Millisecond
		cut     = 12 * time.Second
		usual   = 4 * time.Millisecond
		address = "peer"
	)
	d := mtsilence.New()
	for range 50 {
		d.Answered(address, usual)
	}
	hung, refused, recovered := 0, 0, time.Duration(0)
	var suspected, probe mtclock.Instant
	for now := time.Duration(0); now < cut+time.Second; now += every {
		at := mtclock.Instant(time.Hour + now)
		reachable := now >= cut
		if suspected != 0 && !at.Before(probe) {
			if reachable {
				d.Answered(address, usual)
			} else if pause, more := d.ProbeFailed(at, address); more {
				probe = at.Add(probeTimeout(d, address) + pause)
			}
		}
		switch {
		case d.Unresponsive(at, address):
			refused++
		case reachable:
			recovered = now - cut
			now = cut + time.Second
		default:
			hung++
			if now >= d.Timeout(address) && d.Suspect(at, address) {
				suspected, probe = at, at
			}
		}
	}
	t.Logf("%d calls hung, %d were refused at once, recovered after %s", hung, refused, recovered)
	assert.Assert(t, hung <= 26, "%d calls hung", hung)
	assert.Assert(t, refused > 1100)
	assert.Assert(t, recovered <= 700*time.Millisecond, "recovered after %s", recovered)
}

// probeTimeout returns how long a probe waits for an acknowledgment.
func probeTimeout(d *mtsilence.Detector, address string) time.Duration { return d.Timeout(address) }

// On a saturated slow link, acknowledgments take half a second although the daemon
// works. If it counted as unresponsive, calls for its keys would be refused.
func TestTimeoutAdaptsToSlowLink(t *testing.T) {
	d := mtsilence.New()
	for range 30 {
		d.Answered("narrow", 480*time.Millisecond)
		d.Answered("wide", 3*time.Millisecond)
	}
	assert.Assert(t, d.Timeout("narrow") >= 480*time.Millisecond)
	assert.Equal(t, d.Timeout("wide"), 250*time.Millisecond)
	assert.Equal(t, d.Timeout("unknown address"), 600*time.Millisecond)
}

// No call is intended any more for a terminated daemon. Probing must stop, and its
// state must not be applied to a daemon that gets the same address later.
func TestDaemonWithoutCallsIsNoLongerProbed(t *testing.T) {
	d := mtsilence.New()
	now := mtclock.Instant(time.Hour)
	assert.Assert(t, d.Suspect(now, "gone"))
	assert.Assert(t, !d.Suspect(now, "gone"), "probed twice")
	probes := 0
	for {
		pause, more := d.ProbeFailed(now, "gone")
		if !more {
			break
		}
		probes++
		now = now.Add(pause)
	}
	assert.Assert(t, probes < 12, "%d probes", probes)
	assert.Assert(t, !d.Unresponsive(now, "gone"))
}
