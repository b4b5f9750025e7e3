package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtchoice"
)

// Servers of the map service break, flake, slow down or restart. Dispatch asks
// for door lists all the while, and must get fewer failures and a shorter tail
// than from taking one server after the other.
func TestPowerBeatsRoundRobin(t *testing.T) {
	for _, l := range choiceLoads {
		t.Run(l.name, func(t *testing.T) {
			plain := runChoice(choicePolicies[0].make, l, 1, 15*time.Second)
			power := runChoice(powerWith(mtchoice.NewAverage), l, 1, 15*time.Second)
			if plain.bad > 0 {
				assert.Assert(t, 4*power.bad < plain.bad, "%d failures, %d by round robin", power.bad, plain.bad)
			}
			assert.Assert(t, power.imbalance() < 1.3, "imbalance is %.3f", power.imbalance())
			assert.Assert(t, 10*power.far < 7*plain.far, "%d went far, %d by round robin", power.far, plain.far)
			if l.fault == slowServer {
				got, want := power.latency.ValueAtQuantile(99), plain.latency.ValueAtQuantile(99)
				assert.Assert(t, 2*got < want, "p99 is %d us, %d by round robin", got, want)
			}
		})
	}
}
