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
	assert.Equal(t, s.Factor(0), 1.0)
	now := mtclock.Instant(time.Second)
	for range 100 {
		s.Observe(now, 1)
	}
	s.Observe(now, 3)
	assert.Assert(t, s.Factor(now) > 2.5)
	assert.Assert(t, s.Factor(now.Add(200*time.Millisecond)) < s.Factor(now))
	assert.Assert(t, s.Factor(now.Add(5*time.Second)) < 1.1)
}

// Reports that are not finite and positive must be ignored.
func TestSlownessIgnoresInvalidReports(t *testing.T) {
	var s mtbackend.Slowness
	for _, report := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		s.Observe(1, report)
		assert.Equal(t, s.Factor(1), 1.0)
	}
}
