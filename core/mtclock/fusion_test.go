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
// saw the time pass. A daemon that trusted the wrong one would serve on a lease
// that a taker had ended long before.
func TestFusionTakesTheLargestDelta(t *testing.T) {
	tests := []struct {
		name string
		next mtclock.Reading
		want time.Duration
	}{
		{"all agree", mtclock.Reading{Monotonic: second, Boot: second, Wall: second}, time.Second},
		{"suspended: monotonic stood still", mtclock.Reading{Boot: 5 * second, Wall: 5 * second}, 5 * time.Second},
		{"snapshot: only the wall clock moved on", mtclock.Reading{Wall: 5 * second}, 5 * time.Second},
		{"wall clock stepped back", mtclock.Reading{Monotonic: second, Boot: second, Wall: -9 * second}, time.Second},
		{"everything went back", mtclock.Reading{Monotonic: -1, Boot: -1, Wall: -1}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f mtclock.Fusion
			start := f.Advance(mtclock.Reading{})
			assert.Equal(t, f.Advance(tt.next).Sub(start), tt.want)
		})
	}
}

// The wall clock is set back by an hour, and soon after the VM is frozen in a
// way that only the wall clock notices. The freeze must show at once, not when
// the wall clock has caught up with its old value.
func TestFusionSeesFreezeAfterStepBack(t *testing.T) {
	var f mtclock.Fusion
	f.Advance(mtclock.Reading{Wall: 3600 * second})
	before := f.Advance(mtclock.Reading{Monotonic: 1, Boot: 1, Wall: 0})
	after := f.Advance(mtclock.Reading{Monotonic: 2, Boot: 2, Wall: 5 * second})
	assert.Equal(t, after.Sub(before), 5*time.Second)
}

func TestFusionNeverGoesBackNorFallsBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f mtclock.Fusion
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
