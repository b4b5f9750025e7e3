package mtmesh_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/io/mtmesh"
)

// Guards against requests that pass for prompt because only their caller's last try counts.
func TestSlowStartCountsFromTheFirstTry(t *testing.T) {
	const start = mtclock.Instant(time.Hour)
	call := &mtcall.Call{FirstArrived: start, Arrived: start.Add(500 * time.Millisecond), Objective: start.Add(800 * time.Millisecond)}
	ended := func(after time.Duration) mtclock.Instant { return start.Add(after) }
	answer := &mtcall.Answer{Served: 100 * time.Millisecond}
	assert.Assert(t, mtmesh.SlowStart(ended(600*time.Millisecond), call, answer))
	assert.Assert(t, !mtmesh.SlowStart(ended(500*time.Millisecond), call, answer))
	assert.Assert(t, !mtmesh.SlowStart(ended(time.Second), call, nil), "no server answered")
	nested := *call
	nested.Nested = true
	assert.Assert(t, !mtmesh.SlowStart(ended(time.Second), &nested, answer))
	without := *call
	without.Objective = 0
	assert.Assert(t, !mtmesh.SlowStart(ended(time.Second), &without, answer), "no objective")
}
