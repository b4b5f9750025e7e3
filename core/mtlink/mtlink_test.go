package mtlink_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtlink"
)

const (
	start  mtclock.Instant     = 1
	narrow mtbackend.Bandwidth = 10
	body   mtlink.Bytes        = 60_000 // 48 ms on the narrow link
)

// Load: uploads of 60 kB at twice what a link of 10 Mbit/s transfers, for three seconds.
func TestUploadsBeyondLinkLeaveRoomForSmallRequests(t *testing.T) {
	in := mtlink.NewInbound(narrow)
	granted := 0
	for at := time.Duration(0); at < 3*time.Second; at += 24 * time.Millisecond {
		if in.Reserve(start.Add(at), body) == 0 {
			granted++
		}
	}
	const share = 0.75 // of the link
	assert.Assert(t, math.Abs(float64(granted)*0.048/3-share) < 0.08, "%d granted", granted)
}

// Failure: a caller that returns when it was told to is refused once more.
func TestRoomIsThereAfterNamedWait(t *testing.T) {
	in := mtlink.NewInbound(narrow)
	wait := time.Duration(0)
	for wait == 0 {
		wait = in.Reserve(start, body)
	}
	assert.Equal(t, in.Reserve(start.Add(wait), body), time.Duration(0))
}

// Failure: a body larger than what may be in transit is never let in.
func TestIdleLinkTakesAnyBody(t *testing.T) {
	assert.Equal(t, mtlink.NewInbound(narrow).Reserve(start, 100*body), time.Duration(0))
}

// Failure: a daemon that announces a size that can't be right closes a link for hours.
func TestHugeBodyOccupiesLinkForSecondAtMost(t *testing.T) {
	in := mtlink.NewInbound(narrow)
	assert.Equal(t, in.Reserve(start, math.MaxInt), time.Duration(0))
	assert.Equal(t, in.Reserve(start.Add(time.Second), body), time.Duration(0))
}

// Failure: after a jump of the clock, granted bodies seem to occupy the link for hours.
func TestClockJumpFreesLink(t *testing.T) {
	in := mtlink.NewInbound(narrow)
	in.Reserve(start, 100*body)
	assert.Equal(t, in.Reserve(start.Add(time.Hour), body), time.Duration(0))
}

// Failure: a bandwidth that can't be right keeps all bodies away.
func TestUnusableBandwidthNeedsNoRoom(t *testing.T) {
	for _, b := range []mtbackend.Bandwidth{0, -1, mtbackend.Bandwidth(math.NaN()), mtbackend.Bandwidth(math.Inf(1))} {
		assert.Assert(t, !mtlink.NeedsRoom(b, body))
	}
	assert.Assert(t, mtlink.NeedsRoom(narrow, body))
	assert.Assert(t, !mtlink.NeedsRoom(narrow, 1000))
}
