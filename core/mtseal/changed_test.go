package mtseal_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtseal"
)

// Guards against fallow keys that wait without end since another writer writes the seal of their era again and again.
func TestChangedSealHoldsNoLongerThanOneMay(t *testing.T) {
	first := mtseal.Observed{Seal: mtseal.Seal{Hold: 10 * time.Second}, Version: 7, SeenAt: at(0)}
	seal := first
	for n := range 100 {
		now := at(time.Duration(n) * time.Second)
		seal = seal.Changed(mtseal.Observed{Seal: mtseal.Seal{Hold: mtseal.MaxHold}, Version: seal.Version + 1, SeenAt: now})
		assert.Assert(t, !seal.Proves(now))
		assert.Assert(t, !seal.HoldsUntil().After(at(mtseal.MaxHold)), "after %d changes it holds until %s", n+1, seal.HoldsUntil().Sub(at(0)))
	}
	assert.Equal(t, first.HoldsUntil(), at(10*time.Second))
	earlier := first.Changed(mtseal.Observed{Seal: mtseal.Seal{Hold: 2 * time.Second}, Version: 8, SeenAt: at(5 * time.Second)})
	assert.Equal(t, earlier.HoldsUntil(), at(7*time.Second))
}
