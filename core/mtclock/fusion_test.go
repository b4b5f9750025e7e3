package mtclock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
)

const second = int64(time.Second)

// A VM is frozen and resumed. Depending on how, one, two or none of its clocks
// advanced during the freeze. A daemon that relied on a clock that stopped would
// serve under a lease that a claimant had already revoked.
func TestFusedClockTakesLargestDelta(t *testing.T) {
	tests := []struct {
		name string
		next mtclock.Reading
		want time.Duration
	}{
		{"all agree", mtclock.Reading{Monotonic: second, Boot: second, Wall: second}, time.Second},
		{"suspended: monotonic clock stopped", mtclock.Reading{Boot: 5 * second, Wall: 5 * second}, 5 * time.Second},
		{"snapshot: only the wall clock advanced", mtclock.Reading{Wall: 5 * second}, 5 * time.Second},
		{"wall clock stepped back", mtclock.Reading{Monotonic: second, Boot: second, Wall: -9 * second}, time.Second},
		{"all clocks stepped back", mtclock.Reading{Monotonic: -1, Boot: -1, Wall: -1}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f mtclock.FusedClock
			start := f.Advance(mtclock.Reading{})
			assert.Equal(t, f.Advance(tt.next).Sub(start), tt.want)
		})
	}
}

// The wall clock is set back by an hour. Soon after, the VM is frozen so that only
// the wall clock advances. The freeze must be detected at once, not only when the
// wall clock has caught up with its old value.
func TestFusedClockDetectsFreezeAfterStepBack(t *testing.T) {
	var f mtclock.FusedClock
	f.Advance(mtclock.Reading{Wall: 3600 * second})
	before := f.Advance(mtclock.Reading{Monotonic: 1, Boot: 1, Wall: 0})
	after := f.Advance(mtclock.Reading{Monotonic: 2, Boot: 2, Wall: 5 * second})
	assert.Equal(t, after.Sub(before), 5*time.Second)
}

func TestFusedClockIsMonotonicAndNeverTooSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f mtclock.FusedClock
		var r mtclock.Reading
		start := f.Advance(r)
		last, monotonic := start, int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "readings") {
			step := rapid.Int64Range(0, 2*second).Draw(t, "monotonic")
			monotonic += step
			r.Monotonic += step
			r.Boot += step + rapid.Int64Range(0, second).Draw(t, "suspended")
			r.Wall += rapid.Int64Range(-2*second, 2*second).Draw(t, "wall")
			now := f.Advance(r)
			assert.Assert(t, !now.Before(last))
			assert.Assert(t, now.Sub(start) >= time.Duration(monotonic))
			last = now
		}
	})
}
