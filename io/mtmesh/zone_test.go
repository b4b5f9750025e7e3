package mtmesh_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtzone"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtmesh"
)

// A daemon whose watch is deaf hears from others that they are certain of the configuration,
// which is the same as its own, while they know of a zone that is out of service and it does
// not. Were it certain then, it would not ask the store.
func TestCertaintyOfOthersCountsOnlyForTheSameZones(t *testing.T) {
	for zones, want := range map[mtzone.Digest]bool{0: true, 7: false} {
		certain, err := mtmesh.HearsCertainty(mtforward.StateSummary{Zones: zones})
		assert.NilError(t, err)
		assert.Equal(t, certain, want, "digest %d", zones)
	}
}
