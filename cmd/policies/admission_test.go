package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtgate"
)

// At up to three times the capacity, admission must keep the goodput at 0.9 or
// more, admitted requests must meet their class's deadline, and a class of the
// highest priority must lose no request while it stays within its share.
func TestFairAdmissionKeepsGoodputUnderOverload(t *testing.T) {
	for _, l := range admissionLoads {
		t.Run(l.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				got := runTrial(mtgate.NewFair(mtgate.DefaultGuaranteed), mtgate.DefaultMaxWaitFraction, l, seed, 10*time.Second)
				assert.Assert(t, got.goodput() >= 0.9, "goodput is %.3f", got.goodput())
				for _, r := range got.results {
					p99 := time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
					assert.Assert(t, p99 <= r.class.class.Timeout, "%s: p99 is %v", r.class.class.Name, p99)
					// A class of the highest priority has at least half of its
					// business's share, and each of the two businesses of the
					// last load has half of the capacity.
					inShare := r.class.class.Priority == 3 && r.class.share <= 0.5
					lost := r.offered - r.inTime
					assert.Assert(t, !inShare || lost == 0, "%s: %d of %d lost", r.class.class.Name, lost, r.offered)
				}
			}
		})
	}
}

func TestTrialIsDeterministic(t *testing.T) {
	l := admissionLoads[4]
	first, second := disciplines[3].run(l, 7, time.Second), disciplines[3].run(l, 7, time.Second)
	assert.Equal(t, first.goodput(), second.goodput())
	for i := range first.results {
		assert.Equal(t, first.results[i].refused, second.results[i].refused)
	}
}
