package mtpoison_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that crashes two of three runs, in no order, and that is let through for as long as
// it is sent.
func TestRequestThatCrashesMostRunsInRandomOrderIsRefused(t *testing.T) {
	const seeds, sends, mostMean = 60, 80, 12 // as in a fixed order
	var crashed []int
	total := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		var cycle strings.Builder
		for range 8 * sends {
			cycle.WriteByte("cca"[random.IntN(3)])
		}
		o := newRecurringFleet(t, 6).play(cycle.String(), sends)
		crashed = append(crashed, o.crashed)
		total += o.crashed
	}
	slices.Sort(crashed)
	t.Logf("crashes: %v, mean %.1f", crashed, float64(total)/seeds)
	assert.Assert(t, total <= mostMean*seeds)
}
