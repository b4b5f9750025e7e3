package mtbackend_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
)

// A machine is slow for a moment: the report takes effect at once, and then decays.
func TestSlownessDecays(t *testing.T) {
	var s mtbackend.Slowness
	assert.Equal(t, s.Now(0), 1.0)
	now := mtclock.Instant(time.Second)
	for range 100 {
		s.Note(now, 1)
	}
	s.Note(now, 3)
	assert.Assert(t, s.Now(now) > 2.5)
	assert.Assert(t, s.Now(now.Add(200*time.Millisecond)) < s.Now(now))
	assert.Assert(t, s.Now(now.Add(5*time.Second)) < 1.1)
}

// Reports that are not finite and positive must be ignored.
func TestSlownessIgnoresInvalidReports(t *testing.T) {
	var s mtbackend.Slowness
	for _, report := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		s.Note(1, report)
		assert.Equal(t, s.Now(1), 1.0)
	}
}
