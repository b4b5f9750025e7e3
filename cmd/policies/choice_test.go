package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtchoice"
)

// While servers break, fail single requests, slow down or restart, power of two
// choices must fail fewer requests, send fewer across zones and balance the load.
// With one slow server, it must also halve the p99 latency of round robin.
func TestPowerOfTwoOutperformsRoundRobin(t *testing.T) {
	for _, l := range choiceLoads {
		t.Run(l.name, func(t *testing.T) {
			plain := runChoice(choicePolicies[0].make, l, 1, 15*time.Second)
			power := runChoice(powerWith(mtchoice.NewAverage), l, 1, 15*time.Second)
			if plain.failed > 0 {
				assert.Assert(t, 4*power.failed < plain.failed, "%d failures, %d by round robin", power.failed, plain.failed)
			}
			assert.Assert(t, power.imbalance() < 1.3, "imbalance is %.3f", power.imbalance())
			assert.Assert(t, 10*power.crossZone < 7*plain.crossZone, "%d cross-zone requests, %d by round robin", power.crossZone, plain.crossZone)
			if l.fault == slowServer {
				got, want := power.latency.ValueAtQuantile(99), plain.latency.ValueAtQuantile(99)
				assert.Assert(t, 2*got < want, "p99 is %d us, %d by round robin", got, want)
			}
		})
	}
}
