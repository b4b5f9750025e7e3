package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Poison requests crash every server that runs them and arrive every 700 ms,
// through any daemon, among 400 harmless requests per second. If evidence is
// shared without delay, each different poison request may crash at most two
// servers, and no harmless request may be quarantined.
func TestNarrowRuleLosesAtMostTwoServersPerRequest(t *testing.T) {
	for _, l := range poisonLoads {
		if l.evidenceDelay > 0 {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				got := poisonRules[3].run(l, seed, 30*time.Second)
				assert.Assert(t, got.crashes <= 2*l.kinds, "seed %d: %d servers lost", seed, got.crashes)
				assert.Equal(t, len(got.wronglyQuarantined), 0, "seed %d", seed)
			}
		})
	}
}
