package mtload

import (
	"maps"
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
)

// Bounds for comparing the loads that successive owners report for a shard.
const (
	// compareDelay is how long the new owner's meter gets to measure the
	// shard's load. maxCompareAge is how old the previous owner's report may
	// be.
	compareDelay  = 10 * time.Second
	maxCompareAge = 90 * time.Second
	// minComparedLoad is the load in slots below which reports differ by
	// chance. Above maxComparedLoad, the load may come from a single hot key
	// that cools.
	minComparedLoad = 0.03
	maxComparedLoad = 0.5
	// maxComparisons is how many comparisons are retained for a server.
	// minComparisons is how many are required to correct its reports.
	maxComparisons = 15
	minComparisons = 5
	// tolerance is the factor by which the median of a server's comparisons may
	// be off before its reports are corrected. maxCorrection limits the
	// correction factor.
	tolerance     = 1.5
	maxCorrection = 5
)

// calibration compares the loads that successive owners report for the same
// shard. A server whose measurements are wrong by some factor disagrees with
// most servers that it exchanges shards with, and an accurate server only with
// that one. So the median of a server's comparisons shows which of the two is
// wrong. Deviations are measured from the median over all servers, since
// comparisons alone define no common scale.
type calibration struct {
	logFactors map[mtid.Holder][]float64 // logarithms of the required correction factors
	medians    map[mtid.Holder]float64   // of the servers with at least minComparisons values
	baseline   float64
}

func newCalibration() calibration {
	return calibration{logFactors: make(map[mtid.Holder][]float64), medians: make(map[mtid.Holder]float64)}
}

// add compares the loads that two successive owners reported for a shard: the
// previous owner before reported loadBefore, and the next owner after reported
// loadAfter. Both loads are already corrected, so the current factor is added
// back to obtain the total factor required.
func (c *calibration) add(before, after mtid.Holder, loadBefore, loadAfter float64) {
	ratio := math.Log(loadBefore / max(loadAfter, minComparedLoad/maxCorrection))
	toAfter := ratio + math.Log(c.factor(after))
	toBefore := -ratio + math.Log(c.factor(before))
	c.push(after, toAfter)
	c.push(before, toBefore)
	c.baseline = lowerMedian(slices.Collect(maps.Values(c.medians)))
}

func (c *calibration) push(holder mtid.Holder, value float64) {
	values := append(c.logFactors[holder], value)
	if len(values) > maxComparisons {
		values = values[1:]
	}
	c.logFactors[holder] = values
	if len(values) >= minComparisons {
		c.medians[holder] = lowerMedian(values)
	}
}

// remove deletes the comparisons of a server.
func (c *calibration) remove(holder mtid.Holder) {
	delete(c.logFactors, holder)
	delete(c.medians, holder)
}

// lowerMedian returns the lower median, or 0 for no values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

// factor returns the correction factor for a server's reports.
func (c *calibration) factor(holder mtid.Holder) float64 {
	value, ok := c.medians[holder]
	if !ok || math.Abs(value-c.baseline) < math.Log(tolerance) {
		return 1
	}
	return min(max(math.Exp(value-c.baseline), 1.0/maxCorrection), maxCorrection)
}
