package mtmesh_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtzone"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtmesh"
)

// The watch of a daemon delivers no changes. Other daemons report that the configuration,
// which is the same as its own, is fresh, but they know a zone out of service that it does
// not know. If it adopted their freshness, it would not poll the store.
func TestPeerFreshnessCountsOnlyForTheSameZones(t *testing.T) {
	for zones, want := range map[mtzone.Digest]bool{0: true, 7: false} {
		adopted, err := mtmesh.AdoptsPeerFreshness(mtforward.StateSummary{Zones: zones})
		assert.NilError(t, err)
		assert.Equal(t, adopted, want, "digest %d", zones)
	}
}
