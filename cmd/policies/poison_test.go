package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request crashes each server that runs it and is sent again every 700 ms,
// through any daemon, among hundreds of innocent ones. Told in time, the fleet
// loses two servers to each such request and refuses nothing innocent.
func TestNarrowLosesTwoServersAtMost(t *testing.T) {
	for _, l := range poisonLoads {
		if l.delay > 0 {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				got := poisonRules[3].run(l, seed, 30*time.Second)
				assert.Assert(t, got.crashes <= 2*l.kinds, "seed %d: %d servers lost", seed, got.crashes)
				assert.Equal(t, len(got.wronged), 0, "seed %d", seed)
			}
		})
	}
}
